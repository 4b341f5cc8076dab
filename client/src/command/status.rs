//! `status`: shows the instances with their states, and the revisions and ages of their documents.

use {
    crate::{
        command::store_client,
        fleet::{Fleet, InstanceResponse},
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
    /// Newest revision of each service's document; `None` if the key-value store cannot be read.
    store: Option<HashMap<String, i64>>,
    store_error: Option<String>,
    instances: Vec<Row>,
}

/// A line of the table: an instance with one of its documents, or with none.
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
    let (revisions, responses) = tokio::join!(revisions(settings), fleet.statuses(&members));
    let (store, store_error) = match revisions {
        Ok(revisions) => (Some(revisions), None),
        Err(error) => (None, Some(error)),
    };
    let instances = responses
        .iter()
        .flat_map(|response| rows(response, service, store.as_ref()))
        .collect();
    let overview = Overview {
        store,
        store_error,
        instances,
    };
    Ok(Outcome::done(render(&overview), &overview))
}

/// Reads the newest revision of each service's document from the store.
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
    response: &InstanceResponse<'_, Status>,
    service: Option<&str>,
    store: Option<&HashMap<String, i64>>,
) -> Vec<Row> {
    let status = match &response.result {
        Ok(status) => status,
        Err(error) => return vec![row(response.member, &format!("no answer: {error}"))],
    };
    let state = match response.member.leaving {
        true => "leaving",
        false => &status.state,
    };
    let row_without_document = || Row {
        uptime_s: Some(Duration::from_millis(status.uptime_ms).as_secs()),
        ..row(response.member, state)
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
            ..row_without_document()
        })
        .collect();
    match rows.is_empty() {
        true => vec![row_without_document()],
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

fn render(overview: &Overview) -> String {
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
            format_seconds(row.uptime_s),
            row.service.as_deref().unwrap_or("-"),
            row.revision
                .map_or("-".to_owned(), |revision| revision.to_string()),
            format_seconds(row.age_s),
            row.state,
        )
    }));
    if let Some(error) = &overview.store_error {
        lines.push(format!("{error}; newest revisions are unknown"));
    }
    lines.join("\n")
}

fn format_seconds(seconds: Option<u64>) -> String {
    seconds.map_or("-".to_owned(), |seconds| format!("{seconds}s"))
}
