//! The wait until a document is in force.

use {
    super::push,
    crate::{
        fleet::{Fleet, Sighting},
        outcome::{Code, Outcome},
        settings::Settings,
    },
    serde::Serialize,
    std::time::{Duration, Instant},
    tamarackdale_store::list::Member,
    tamarackdale_wire::{Status, message::Document},
};

/// Pause between two looks at the instances that are behind.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct Applied<'a> {
    service: &'a str,
    revision: i64,
    superseded: bool,
    in_force: usize,
    behind: Vec<Behind>,
    waited_ms: u128,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// An instance on which a revision was not seen in force.
#[derive(Serialize)]
struct Behind {
    instance: String,
    reason: String,
}

/// A document in the store.
pub(super) struct Written<'a> {
    /// Service.
    pub service: &'a str,
    /// Revision of the present version.
    pub revision: i64,
    /// Text at that revision; `None` if a later edit has replaced this one.
    pub text: Option<&'a str>,
}

/// Hands the document to the instances and waits until all that can be seen have it in force.
pub(super) async fn wait(settings: &Settings, written: &Written<'_>) -> Outcome {
    let started = Instant::now();
    let (service, revision) = (written.service, written.revision);
    let mut applied = Applied {
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
            applied.behind = watch(settings, &fleet, service, revision).await;
            applied.in_force = staying(&fleet).len() - applied.behind.len();
        }
        Err(error) => applied.error = Some(error.to_string()),
    }
    applied.waited_ms = started.elapsed().as_millis();
    outcome(&applied)
}

/// Asks again until none is behind or the time is up; returns those that are still behind.
async fn watch(settings: &Settings, fleet: &Fleet, service: &str, revision: i64) -> Vec<Behind> {
    let deadline = Instant::now() + settings.wait;
    let mut members = staying(fleet);
    loop {
        let sightings = fleet.statuses(&members).await;
        let behind: Vec<(&Member, String)> = sightings
            .iter()
            .filter_map(|sighting| {
                let reason = reason_behind(sighting, service, revision)?;
                Some((sighting.member, reason))
            })
            .collect();
        if behind.is_empty() || Instant::now() >= deadline {
            return behind
                .into_iter()
                .map(|(member, reason)| Behind {
                    instance: member.instance.clone(),
                    reason,
                })
                .collect();
        }
        members = behind.iter().map(|(member, _)| *member).collect();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn staying(fleet: &Fleet) -> Vec<&Member> {
    fleet
        .members
        .iter()
        .filter(|member| !member.leaving)
        .collect()
}

/// Why a revision is not seen in force on an instance, or `None` if it is.
fn reason_behind(sighting: &Sighting<'_, Status>, service: &str, revision: i64) -> Option<String> {
    let status = match &sighting.answer {
        Ok(status) => status,
        Err(error) => return Some(error.clone()),
    };
    let held = status
        .documents
        .iter()
        .find(|document| document.service == service);
    match held {
        None => Some("has no document of the service".to_owned()),
        Some(held) if held.revision < revision => Some(format!("has revision {}", held.revision)),
        Some(_) => None,
    }
}

fn outcome(applied: &Applied<'_>) -> Outcome {
    let Applied {
        service, revision, ..
    } = applied;
    let note = match applied.superseded {
        true => " (a later edit has replaced it since)",
        false => "",
    };
    let head = format!("{service}: revision {revision} is written{note}");
    if let Some(error) = &applied.error {
        let text = format!("{head}, but it is not known where it is in force: {error}");
        return Outcome::new(Code::NotInForce, text, applied);
    }
    if applied.behind.is_empty() {
        let text = format!(
            "{head} and in force on all {} instances seen after {} ms",
            applied.in_force, applied.waited_ms
        );
        return Outcome::done(text, applied);
    }
    let lines: Vec<String> = applied
        .behind
        .iter()
        .map(|behind| format!("  {}: {}", behind.instance, behind.reason))
        .collect();
    let text = format!(
        "{head} and in force on {} instances, but after {} ms not on:\n{}",
        applied.in_force,
        applied.waited_ms,
        lines.join("\n")
    );
    Outcome::new(Code::NotInForce, text, applied)
}
