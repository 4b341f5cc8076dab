//! `check`: tells what is wrong with a document, without the network.

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
    let text = read_file(file)?;
    let document = parse(file, &text)?;
    let summary = Summary {
        tiers: document.tiers.len(),
        organisations: document.organisations.len(),
        actions: document.actions.len(),
        models: document.models.len(),
        service: document.service,
    };
    let shown = format!(
        "{}: valid ({} tiers, {} organisations, {} actions, {} models)",
        summary.service, summary.tiers, summary.organisations, summary.actions, summary.models
    );
    Ok(Outcome::done(shown, &summary))
}

/// Parses the document of a file.
pub(super) fn parse(file: &Path, text: &str) -> Result<Document, Outcome> {
    Document::parse(text)
        .map_err(|problems| problem::outcome(&file.display().to_string(), text, &problems))
}
