//! `apply`: writes an edited document to the store and waits until it is in force.

mod conflict;
mod push;
mod rollout;

use {
    self::rollout::WrittenDocument,
    crate::{
        command::{check, read_failure, read_file, store_client},
        edit::{Edit, WriteResult},
        header::AnnotatedDocument,
        outcome::{Code, Outcome},
        retry,
        settings::Settings,
    },
    serde::Serialize,
    std::path::Path,
    tamarackdale_core::document::{Document, change},
    tamarackdale_store::{
        key,
        kv::{self, Entry},
    },
};

#[derive(Serialize)]
struct DangerousChange {
    error: &'static str,
    exit_code: u8,
    dangers: Vec<String>,
}

/// Runs the command.
pub(super) async fn run(
    settings: &Settings,
    file: &Path,
    revision: Option<i64>,
    allow_dangerous: bool,
) -> Result<Outcome, Outcome> {
    let text = read_file(file)?;
    let document = check::parse(file, &text)?;
    let new = AnnotatedDocument::parse(&text);
    let client = store_client(settings);
    let key = key::document(&document.service);
    let current = retry::read(|| client.get(&key))
        .await
        .map_err(|error| read_failure(&error))?;
    // The store already holds this text, such as after an `apply` whose outcome was unknown.
    if let Some(entry) = current.as_ref().filter(|entry| body(entry) == new.body) {
        let written = WrittenDocument {
            service: &document.service,
            revision: entry.revision,
            text: Some(&String::from_utf8_lossy(&entry.value)),
        };
        return Ok(rollout::wait(settings, &written).await);
    }
    let expected = edited_from(revision.or(new.revision), current.as_ref())?;
    if expected != current.as_ref().map_or(0, |entry| entry.revision) {
        return Err(conflict::outcome(&client, &key, expected, current.as_ref(), &new).await);
    }
    if !allow_dangerous {
        check_dangers(current.as_ref(), &document)?;
    }
    let edit = Edit::new(&document.service, &new, current.as_ref());
    match edit.write(&client).await {
        WriteResult::Written {
            revision,
            superseded,
        } => {
            let written = WrittenDocument {
                service: &document.service,
                revision,
                text: (!superseded).then(|| edit.text()),
            };
            Ok(rollout::wait(settings, &written).await)
        }
        WriteResult::Conflict(current) => {
            Err(conflict::outcome(&client, &key, expected, current.as_ref(), &new).await)
        }
        WriteResult::Unavailable(text) => Err(Outcome::failed(
            Code::Unavailable,
            format!("nothing was written: the key-value store is unavailable: {text}"),
        )),
        WriteResult::Rejected(text) => Err(Outcome::failed(
            Code::Refused,
            format!("nothing was written: the key-value store rejected the write: {text}"),
        )),
        WriteResult::Unknown(text) => Err(Outcome::failed(
            Code::Unknown,
            format!(
                "it is not known whether the edit was written: {text}\napply the same file again \
                 when the key-value store responds; the edit is written at most once"
            ),
        )),
    }
}

/// The revision that the file was edited from; 0 for a new document.
fn edited_from(given: Option<i64>, current: Option<&Entry>) -> Result<i64, Outcome> {
    match (given, current) {
        (Some(revision), _) => Ok(revision),
        (None, None) => Ok(0),
        (None, Some(entry)) => Err(Outcome::failed(
            Code::Usage,
            format!(
                "the file does not say which revision it was edited from; revision {} is present: \
                 edit what `tamarackdale get` prints, or give --revision",
                entry.revision
            ),
        )),
    }
}

/// Refuses a change that can reject callers' requests or repeat actions.
fn check_dangers(current: Option<&Entry>, new: &Document) -> Result<(), Outcome> {
    // No instance can use a version that cannot be parsed, so replacing it is never dangerous.
    let old = current.and_then(|entry| Document::parse(&body(entry)).ok());
    let dangers: Vec<String> = old
        .iter()
        .flat_map(|old| change::dangers(old, new))
        .map(|danger| danger.to_string())
        .collect();
    if dangers.is_empty() {
        return Ok(());
    }
    let text = format!(
        "the change is dangerous, and nothing was written:\n  {}\ngive --allow-dangerous to apply \
         it anyway",
        dangers.join("\n  ")
    );
    let refusal = DangerousChange {
        error: "the change is dangerous",
        exit_code: Code::Dangerous.number(),
        dangers,
    };
    Err(Outcome::new(Code::Dangerous, text, &refusal))
}

/// The document in a store entry, without its header.
fn body(entry: &kv::Entry) -> String {
    AnnotatedDocument::parse(&String::from_utf8_lossy(&entry.value)).body
}
