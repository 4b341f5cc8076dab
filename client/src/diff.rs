//! Differences between two versions of a document.

use similar::TextDiff;

/// Unchanged lines shown around each change.
const CONTEXT_LINES: usize = 2;

/// The difference in unified diff format; empty for equal texts.
pub fn unified(old: &str, new: &str, old_name: &str, new_name: &str) -> String {
    TextDiff::from_lines(old, new)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header(old_name, new_name)
        .to_string()
}
