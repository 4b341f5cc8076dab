//! Header of a document: comment lines that hold the base revision or the IDs of recent edits.
//!
//! In an operator's file, the header holds the revision that the file was edited from. In the
//! store, it holds the random IDs of the most recent edits, newest first. A writer that lost the
//! response to its write looks for its edit ID there, and finds it even if later edits followed.

use rand::Rng as _;

const REVISION_PREFIX: &str = "# tamarackdale-revision: ";
const EDITS_PREFIX: &str = "# tamarackdale-edits: ";

/// Maximum number of edit IDs kept in the header of a stored document.
const MAX_EDIT_IDS: usize = 64;

/// A document's text, split into the header and the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnnotatedDocument {
    /// Revision that the text was edited from.
    pub revision: Option<i64>,
    /// IDs of the most recent edits, newest first.
    pub edit_ids: Vec<String>,
    /// The text without the header.
    pub body: String,
}

impl AnnotatedDocument {
    /// Splits a text into header and body. Header lines may come in any order and may be missing.
    pub fn parse(text: &str) -> Self {
        let mut document = Self::default();
        let mut rest = text;
        loop {
            let (line, remainder) = rest.split_once('\n').unwrap_or((rest, ""));
            if let Some(revision) = line.strip_prefix(REVISION_PREFIX) {
                document.revision = revision.trim().parse().ok();
            } else if let Some(ids) = line.strip_prefix(EDITS_PREFIX) {
                document.edit_ids = ids.split_whitespace().map(str::to_owned).collect();
            } else {
                document.body = rest.to_owned();
                return document;
            }
            rest = remainder;
        }
    }

    /// The text for an operator's file, with the revision that it will be edited from.
    pub fn for_editing(&self, revision: i64) -> String {
        format!("{REVISION_PREFIX}{revision}\n{}", self.body)
    }

    /// The text for the store, with the ID of a new edit before those of the current version.
    pub fn for_store(&self, edit_id: &str, earlier_ids: &[String]) -> String {
        let edit_ids: Vec<&str> = std::iter::once(edit_id)
            .chain(earlier_ids.iter().map(String::as_str))
            .take(MAX_EDIT_IDS)
            .collect();
        format!("{EDITS_PREFIX}{}\n{}", edit_ids.join(" "), self.body)
    }
}

/// Generates a random ID for a new edit.
pub fn generate_edit_id() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}
