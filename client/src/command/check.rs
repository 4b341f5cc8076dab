//! `check`: validates a document, without any network access.

use {
    crate::{command::read_file, outcome::Outcome, problem},
    serde::Serialize,
    std::path::Path,
    tamarackdale_core::document::Document,
};

#[derive(Serialize)]
struct Summary {
    service: String,
    tiers: usize,
    organisations: usize,
    actions: usize,
    models: usize,
}

/// Runs the command.
pub(super) fn run(file: &Path) -> Result<Outcome, Outcome> {
    let source = read_file(file)?;
    let document = parse(file, &source)?;
    let summary = Summary {
        tiers: document.tiers.len(),
        organisations: document.organisations.len(),
        actions: document.actions.len(),
        models: document.models.len(),
        service: document.service,
    };
    let text = format!(
        "{}: valid ({} tiers, {} organisations, {} actions, {} models)",
        summary.service, summary.tiers, summary.organisations, summary.actions, summary.models
    );
    Ok(Outcome::done(text, &summary))
}

/// Parses the document that was read from `file`.
pub(super) fn parse(file: &Path, text: &str) -> Result<Document, Outcome> {
    Document::parse(text)
        .map_err(|problems| problem::outcome(&file.display().to_string(), text, &problems))
}
