//! Rollout of a written document: pushes it to the instances and waits until it is in force.

use {
    super::push,
    crate::{
        fleet::{Fleet, InstanceResponse},
        outcome::{Code, Outcome},
        settings::Settings,
    },
    serde::Serialize,
    std::time::{Duration, Instant},
    tamarackdale_store::list::Member,
    tamarackdale_wire::{Status, message::Document},
};

/// Delay between two polls of the instances that are behind.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct Rollout<'a> {
    service: &'a str,
    revision: i64,
    superseded: bool,
    in_force: usize,
    behind: Vec<InstanceBehind>,
    waited_ms: u128,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// An instance on which the revision is not known to be in force.
#[derive(Serialize)]
struct InstanceBehind {
    instance: String,
    reason: String,
}

/// A document that has been written to the store.
pub(super) struct WrittenDocument<'a> {
    /// Service.
    pub service: &'a str,
    /// Revision of the current version.
    pub revision: i64,
    /// Text at that revision; `None` if a later edit has replaced this one.
    pub text: Option<&'a str>,
}

/// Pushes the document to the instances and waits until it is in force on all listed ones that are
/// not leaving, or the time limit is reached.
pub(super) async fn wait(settings: &Settings, written: &WrittenDocument<'_>) -> Outcome {
    let started = Instant::now();
    let (service, revision) = (written.service, written.revision);
    let mut rollout = Rollout {
        service,
        revision,
        superseded: written.text.is_none(),
        in_force: 0,
        behind: Vec::new(),
        waited_ms: 0,
        error: None,
    };
    match Fleet::read(settings).await {
        Ok(fleet) => {
            if let Some(text) = written.text {
                let document = Document {
                    revision,
                    text: text.to_owned(),
                };
                push::run(&fleet, service, &document).await;
            }
            let fleet = fleet.of_service(service);
            rollout.behind = poll(settings, &fleet, service, revision).await;
            rollout.in_force = not_leaving(&fleet).len() - rollout.behind.len();
        }
        Err(error) => rollout.error = Some(error.to_string()),
    }
    rollout.waited_ms = started.elapsed().as_millis();
    outcome(&rollout)
}

/// Polls the instances until none is behind or the time limit is reached. Returns those that are
/// still behind.
async fn poll(
    settings: &Settings,
    fleet: &Fleet,
    service: &str,
    revision: i64,
) -> Vec<InstanceBehind> {
    let deadline = Instant::now() + settings.wait;
    let mut members = not_leaving(fleet);
    loop {
        let responses = fleet.statuses(&members).await;
        let behind: Vec<(&Member, String)> = responses
            .iter()
            .filter_map(|response| {
                let reason = reason_behind(response, service, revision)?;
                Some((response.member, reason))
            })
            .collect();
        if behind.is_empty() || Instant::now() >= deadline {
            return behind
                .into_iter()
                .map(|(member, reason)| InstanceBehind {
                    instance: member.instance.clone(),
                    reason,
                })
                .collect();
        }
        members = behind.iter().map(|(member, _)| *member).collect();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn not_leaving(fleet: &Fleet) -> Vec<&Member> {
    fleet
        .members
        .iter()
        .filter(|member| !member.leaving)
        .collect()
}

/// Why a revision is not known to be in force on an instance, or `None` if it is in force.
fn reason_behind(
    response: &InstanceResponse<'_, Status>,
    service: &str,
    revision: i64,
) -> Option<String> {
    let status = match &response.result {
        Ok(status) => status,
        Err(error) => return Some(error.clone()),
    };
    let document = status
        .documents
        .iter()
        .find(|document| document.service == service);
    match document {
        None => Some("has no document of the service".to_owned()),
        Some(document) if document.revision < revision => {
            Some(format!("has revision {}", document.revision))
        }
        Some(_) => None,
    }
}

fn outcome(rollout: &Rollout<'_>) -> Outcome {
    let Rollout {
        service, revision, ..
    } = rollout;
    let note = match rollout.superseded {
        true => " (a later edit has replaced it since)",
        false => "",
    };
    let head = format!("{service}: revision {revision} is written{note}");
    if let Some(error) = &rollout.error {
        let text =
            format!("{head}, but it is not known on which instances it is in force: {error}");
        return Outcome::new(Code::NotInForce, text, rollout);
    }
    if rollout.behind.is_empty() {
        let text = format!(
            "{head} and in force on all {} listed instances after {} ms",
            rollout.in_force, rollout.waited_ms
        );
        return Outcome::done(text, rollout);
    }
    let lines: Vec<String> = rollout
        .behind
        .iter()
        .map(|behind| format!("  {}: {}", behind.instance, behind.reason))
        .collect();
    let text = format!(
        "{head} and in force on {} instances, but after {} ms not on:\n{}",
        rollout.in_force,
        rollout.waited_ms,
        lines.join("\n")
    );
    Outcome::new(Code::NotInForce, text, rollout)
}
