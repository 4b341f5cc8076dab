//! The refusal of an edit that another operator preceded.

use {
    super::body,
    crate::{
        diff::unified,
        header::Headed,
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

/// Shows both changes, from the revision edited from to the present one and to the file.
pub(super) async fn outcome(
    client: &kv::Client,
    key: &str,
    expected: i64,
    present: Option<&Entry>,
    new: &Headed,
) -> Outcome {
    let theirs = present.map_or_else(String::new, body);
    // The store may have dropped the old revision; then the two versions are compared directly.
    let base = base(client, key, expected)
        .await
        .unwrap_or_else(|| theirs.clone());
    let present_revision = present.map_or(0, |entry| entry.revision);
    let old_name = format!("revision {expected}");
    let present_name = format!("revision {present_revision}");
    let conflict = Conflict {
        error: "another operator came first; nothing was written",
        exit_code: Code::Conflict.number(),
        edited_from: expected,
        present_revision,
        their_change: unified(&base, &theirs, &old_name, &present_name),
        your_change: unified(&base, &new.body, &old_name, "your file"),
    };
    let text = format!(
        "another operator came first, and this run wrote nothing: the file was edited from revision \
         {expected}, but revision {present_revision} is present.\n\nTheir change:\n{}\nYour \
         change:\n{}\nRun `tamarackdale get` and make your change again.",
        conflict.their_change, conflict.your_change
    );
    Outcome::new(Code::Conflict, text, &conflict)
}

async fn base(client: &kv::Client, key: &str, expected: i64) -> Option<String> {
    if expected == 0 {
        return Some(String::new());
    }
    let entry = retry::read(|| client.get_at(key, expected)).await.ok()??;
    (entry.revision == expected).then(|| body(&entry))
}
