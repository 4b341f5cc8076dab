//! `apply`: writes an edited document and waits until it is in force.

mod conflict;
mod push;
mod rollout;

use {
    self::rollout::WrittenDocument,
    crate::{
        command::{check, read_failure, read_file, store_client},
        edit::{Edit, Verdict},
        header::Headed,
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
struct Refusal {
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
    let new = Headed::new(&text);
    let client = store_client(settings);
    let key = key::document(&document.service);
    let present = retry::read(|| client.get(&key))
        .await
        .map_err(|error| read_failure(&error))?;
    if let Some(entry) = present.as_ref().filter(|entry| body(entry) == new.body) {
        let written = WrittenDocument {
            service: &document.service,
            revision: entry.revision,
            text: Some(&String::from_utf8_lossy(&entry.value)),
        };
        return Ok(rollout::wait(settings, &written).await);
    }
    let expected = edited_from(revision.or(new.revision), present.as_ref())?;
    if expected != present.as_ref().map_or(0, |entry| entry.revision) {
        return Err(conflict::outcome(&client, &key, expected, present.as_ref(), &new).await);
    }
    if !allow_dangerous {
        check_dangers(present.as_ref(), &document)?;
    }
    let edit = Edit::new(&document.service, &new, present.as_ref());
    match edit.write(&client).await {
        Verdict::Written {
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
        Verdict::Conflict(present) => {
            Err(conflict::outcome(&client, &key, expected, present.as_ref(), &new).await)
        }
        Verdict::Unavailable(text) => Err(Outcome::failed(
            Code::Unavailable,
            format!("nothing was written, the key-value service is unavailable: {text}"),
        )),
        Verdict::Refused(text) => Err(Outcome::failed(
            Code::Refused,
            format!("nothing was written, the key-value service refused it: {text}"),
        )),
        Verdict::Unknown(text) => Err(Outcome::failed(
            Code::Unknown,
            format!(
                "it is not known whether the edit was written: {text}\napply the same file again \
                 when the key-value service answers; it is written at most once"
            ),
        )),
    }
}

/// The revision that the file was edited from; 0 for a new document.
fn edited_from(given: Option<i64>, present: Option<&Entry>) -> Result<i64, Outcome> {
    match (given, present) {
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

fn check_dangers(present: Option<&Entry>, new: &Document) -> Result<(), Outcome> {
    // A version that cannot be parsed is in force nowhere, so nothing can be lost with it.
    let old = present.and_then(|entry| Document::parse(&body(entry)).ok());
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
         it all the same",
        dangers.join("\n  ")
    );
    let refusal = Refusal {
        error: "the change is dangerous",
        exit_code: Code::Dangerous.number(),
        dangers,
    };
    Err(Outcome::new(Code::Dangerous, text, &refusal))
}

/// The document of an entry, without its header.
fn body(entry: &kv::Entry) -> String {
    Headed::new(&String::from_utf8_lossy(&entry.value)).body
}
