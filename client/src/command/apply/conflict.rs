//! The outcome of `apply` when another operator has changed the document first.

use {
    super::body,
    crate::{
        diff::unified,
        header::AnnotatedDocument,
        outcome::{Code, Outcome},
        retry,
    },
    serde::Serialize,
    tamarackdale_store::kv::{self, Entry},
};

#[derive(Serialize)]
struct Conflict {
    error: &'static str,
    exit_code: u8,
    edited_from: i64,
    present_revision: i64,
    their_change: String,
    your_change: String,
}

/// Shows both changes made since revision `expected`: the one in the store and the one in the file.
pub(super) async fn outcome(
    client: &kv::Client,
    key: &str,
    expected: i64,
    current: Option<&Entry>,
    new: &AnnotatedDocument,
) -> Outcome {
    let theirs = current.map_or_else(String::new, body);
    // The store may have compacted the old revision away; then the file is compared with the
    // current version.
    let base = base_version(client, key, expected)
        .await
        .unwrap_or_else(|| theirs.clone());
    let present_revision = current.map_or(0, |entry| entry.revision);
    let old_name = format!("revision {expected}");
    let current_name = format!("revision {present_revision}");
    let conflict = Conflict {
        error: "another operator came first; nothing was written",
        exit_code: Code::Conflict.number(),
        edited_from: expected,
        present_revision,
        their_change: unified(&base, &theirs, &old_name, &current_name),
        your_change: unified(&base, &new.body, &old_name, "your file"),
    };
    let text = format!(
        "another operator came first, and this run wrote nothing: the file was edited from \
         revision {expected}, but revision {present_revision} is present.\n\nTheir change:\n{}\n\
         Your change:\n{}\nRun `tamarackdale get` and make your change again.",
        conflict.their_change, conflict.your_change
    );
    Outcome::new(Code::Conflict, text, &conflict)
}

/// The document at the revision that the file was edited from; empty for a new document, `None` if
/// it cannot be read.
async fn base_version(client: &kv::Client, key: &str, expected: i64) -> Option<String> {
    if expected == 0 {
        return Some(String::new());
    }
    let entry = retry::read(|| client.get_at(key, expected)).await.ok()??;
    (entry.revision == expected).then(|| body(&entry))
}
