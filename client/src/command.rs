//! The client's commands.

mod apply;
mod check;
mod explain;
mod explain_logs;
mod get;
mod status;

use {
    crate::{
        outcome::{Code, Outcome},
        settings::{Command, Settings},
    },
    std::{fs, path::Path},
    tamarackdale_store::kv,
};

/// Runs the command that the settings name.
pub async fn execute(settings: &Settings) -> Outcome {
    let result = match &settings.command {
        Command::Check(file) => check::run(file),
        Command::Get(service) => get::run(settings, service).await,
        Command::Apply {
            file,
            revision,
            allow_dangerous,
        } => apply::run(settings, file, *revision, *allow_dangerous).await,
        Command::Status(service) => status::run(settings, service.as_deref()).await,
        Command::Explain(request) => explain::run(settings, request).await,
        Command::ExplainLogs { request, files } => explain_logs::run(request, files),
    };
    result.unwrap_or_else(|failure| failure)
}

/// A client of the key-value store.
fn store_client(settings: &Settings) -> kv::Client {
    kv::Client::new(&settings.store).with_timeout(settings.timeout)
}

/// The outcome for a failed read of the key-value store.
fn read_failure(error: &kv::Error) -> Outcome {
    let code = match error {
        kv::Error::Rejected(_) => Code::Refused,
        kv::Error::Unavailable(_) | kv::Error::Unknown(_) => Code::Unavailable,
    };
    Outcome::failed(code, format!("{error}; nothing was changed"))
}

/// Reads a file that was given on the command line.
fn read_file(file: &Path) -> Result<String, Outcome> {
    fs::read_to_string(file).map_err(|error| {
        let text = format!("cannot read {}: {error}", file.display());
        Outcome::failed(Code::Usage, text)
    })
}
