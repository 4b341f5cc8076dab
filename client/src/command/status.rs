//! `status`: shows every instance, its state, revisions and age.

use {
    crate::{
        command::store_client,
        fleet::{Fleet, Sighting},
        outcome::{Code, Outcome},
        settings::Settings,
    },
    serde::Serialize,
    std::{collections::HashMap, time::Duration},
    tamarackdale_store::{key, list::Member},
    tamarackdale_wire::Status,
};

#[derive(Serialize)]
struct Overview {
    /// Newest revisions, by service; `None` if the key-value service does not answer.
    store: Option<HashMap<String, i64>>,
    store_error: Option<String>,
    instances: Vec<Row>,
}

/// One line: an instance with one of its documents.
#[derive(Serialize)]
struct Row {
    instance: String,
    role: String,
    data_centre: String,
    state: String,
    uptime_s: Option<u64>,
    service: Option<String>,
    revision: Option<i64>,
    age_s: Option<u64>,
    behind: bool,
}

/// Runs the command.
pub(super) async fn run(settings: &Settings, service: Option<&str>) -> Result<Outcome, Outcome> {
    let mut fleet = Fleet::read(settings)
        .await
        .map_err(|error| Outcome::failed(Code::Unavailable, error.to_string()))?;
    if let Some(service) = service {
        fleet = fleet.of_service(service);
    }
    let members: Vec<&Member> = fleet.members.iter().collect();
    let (revisions, sightings) = tokio::join!(revisions(settings), fleet.statuses(&members));
    let (store, store_error) = match revisions {
        Ok(revisions) => (Some(revisions), None),
        Err(error) => (None, Some(error)),
    };
    let instances = sightings
        .iter()
        .flat_map(|sighting| rows(sighting, service, store.as_ref()))
        .collect();
    let overview = Overview {
        store,
        store_error,
        instances,
    };
    Ok(Outcome::done(show(&overview), &overview))
}

async fn revisions(settings: &Settings) -> Result<HashMap<String, i64>, String> {
    let (entries, _) = store_client(settings)
        .list(key::DOCUMENTS)
        .await
        .map_err(|error| error.to_string())?;
    let revision = |entry: &tamarackdale_store::kv::Entry| {
        let service = key::service_of(&entry.key)?;
        Some((service.to_owned(), entry.revision))
    };
    Ok(entries.iter().filter_map(revision).collect())
}

fn rows(
    sighting: &Sighting<'_, Status>,
    service: Option<&str>,
    store: Option<&HashMap<String, i64>>,
) -> Vec<Row> {
    let status = match &sighting.answer {
        Ok(status) => status,
        Err(error) => return vec![row(sighting.member, &format!("no answer: {error}"))],
    };
    let state = match sighting.member.leaving {
        true => "leaving",
        false => &status.state,
    };
    let base = || Row {
        uptime_s: Some(Duration::from_millis(status.uptime_ms).as_secs()),
        ..row(sighting.member, state)
    };
    let rows: Vec<Row> = status
        .documents
        .iter()
        .filter(|document| service.is_none_or(|service| service == document.service))
        .map(|document| Row {
            service: Some(document.service.clone()),
            revision: Some(document.revision),
            age_s: Some(Duration::from_millis(document.age_ms).as_secs()),
            behind: store
                .and_then(|store| store.get(&document.service))
                .is_some_and(|newest| document.revision < *newest),
            ..base()
        })
        .collect();
    match rows.is_empty() {
        true => vec![base()],
        false => rows,
    }
}

fn row(member: &Member, state: &str) -> Row {
    Row {
        instance: member.instance.clone(),
        role: member.role.to_string(),
        data_centre: member.data_centre.clone(),
        state: state.to_owned(),
        uptime_s: None,
        service: None,
        revision: None,
        age_s: None,
        behind: false,
    }
}

fn show(overview: &Overview) -> String {
    let mut lines = vec![format!(
        "{:<20} {:<8} {:<12} {:>8} {:<16} {:>9} {:>8}  {}",
        "INSTANCE", "ROLE", "DATA-CENTRE", "UP", "SERVICE", "REVISION", "AGE", "STATE"
    )];
    lines.extend(overview.instances.iter().map(|row| {
        let behind = if row.behind { ", behind" } else { "" };
        format!(
            "{:<20} {:<8} {:<12} {:>8} {:<16} {:>9} {:>8}  {}{behind}",
            row.instance,
            row.role,
            row.data_centre,
            seconds(row.uptime_s),
            row.service.as_deref().unwrap_or("-"),
            row.revision
                .map_or("-".to_owned(), |revision| revision.to_string()),
            seconds(row.age_s),
            row.state,
        )
    }));
    if let Some(error) = &overview.store_error {
        lines.push(format!("{error}; newest revisions are not known"));
    }
    lines.join("\n")
}

fn seconds(seconds: Option<u64>) -> String {
    seconds.map_or("-".to_owned(), |seconds| format!("{seconds}s"))
}
