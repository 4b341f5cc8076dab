//! `get`: prints the current version of a document, for editing.

use {
    crate::{
        command::{read_failure, store_client},
        header::AnnotatedDocument,
        outcome::{Code, Outcome},
        retry,
        settings::Settings,
    },
    serde::Serialize,
    tamarackdale_store::key,
};

#[derive(Serialize)]
struct Version {
    service: String,
    revision: i64,
    text: String,
}

/// Runs the command.
pub(super) async fn run(settings: &Settings, service: &str) -> Result<Outcome, Outcome> {
    let client = store_client(settings);
    let key = key::document(service);
    let entry = retry::read(|| client.get(&key))
        .await
        .map_err(|error| read_failure(&error))?
        .ok_or_else(|| {
            let text = format!("there is no document of service {service}");
            Outcome::failed(Code::NotFound, text)
        })?;
    let document = AnnotatedDocument::parse(&String::from_utf8_lossy(&entry.value));
    let text = document.for_editing(entry.revision);
    let version = Version {
        service: service.to_owned(),
        revision: entry.revision,
        text: document.body,
    };
    Ok(Outcome::done(text, &version))
}
