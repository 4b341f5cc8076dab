//! Comment lines before a document: the revision edited from and the last edits.
//!
//! In an operator's file the first line names the revision. In the store it names the last edits,
//! the newest first, each by a random number, by which a writer whose answer was lost finds its
//! own edit, also when others followed.

use rand::Rng as _;

const REVISION: &str = "# tamarackdale-revision: ";
const EDITS: &str = "# tamarackdale-edits: ";

/// Edits remembered with a document.
const MAX_EDITS: usize = 64;

/// The header and the text after it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headed {
    /// Revision edited from.
    pub revision: Option<i64>,
    /// Last edits, the newest first.
    pub edits: Vec<String>,
    /// The document without the header.
    pub body: String,
}

impl Headed {
    /// Splits a text.
    pub fn new(text: &str) -> Self {
        let mut headed = Self::default();
        let mut rest = text;
        loop {
            let (line, after) = rest.split_once('\n').unwrap_or((rest, ""));
            if let Some(revision) = line.strip_prefix(REVISION) {
                headed.revision = revision.trim().parse().ok();
            } else if let Some(edits) = line.strip_prefix(EDITS) {
                headed.edits = edits.split_whitespace().map(str::to_owned).collect();
            } else {
                headed.body = rest.to_owned();
                return headed;
            }
            rest = after;
        }
    }

    /// The text for an operator's file.
    pub fn for_editing(&self, revision: i64) -> String {
        format!("{REVISION}{revision}\n{}", self.body)
    }

    /// The text for the store, with a new edit before those of the present version.
    pub fn for_store(&self, edit: &str, present: &[String]) -> String {
        let edits: Vec<&str> = std::iter::once(edit)
            .chain(present.iter().map(String::as_str))
            .take(MAX_EDITS)
            .collect();
        format!("{EDITS}{}\n{}", edits.join(" "), self.body)
    }
}

/// Draws the name of a new edit.
pub fn draw_edit() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}
