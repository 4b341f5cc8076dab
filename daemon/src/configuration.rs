//! The configuration duty: keeps the service documents in force.

pub mod catalogue;
pub mod handlers;

use {
    self::catalogue::{Catalogue, Shared, Version},
    crate::{duty::Duty, signal::Shutdown},
    std::{io, sync::Arc, time::Duration},
    tamarackdale_core::document::{Document, Revision},
    tamarackdale_platform::kv,
    tokio::{sync::watch, time::sleep},
};

/// Prefix of the documents' keys in the key-value service.
pub const PREFIX: &str = "tamarackdale/documents/";

/// Time between two readings of the key-value service.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the duty for the given services. The documents appear in the returned catalogue.
///
/// Fails when the thread cannot be started.
pub fn spawn(
    store: &str,
    services: Vec<String>,
    shutdown: &Shutdown,
) -> io::Result<(Duty, Shared)> {
    let (sender, shared) = watch::channel(Arc::new(Catalogue::new()));
    let client = kv::Client::new(store);
    let closing = shutdown.cutting.clone();
    let duty = Duty::spawn_async("configuration", async move {
        tokio::select! {
            () = follow(&client, &services, &sender) => {}
            () = closing.cancelled() => {}
        }
    })?;
    Ok((duty, shared))
}

async fn follow(client: &kv::Client, services: &[String], sender: &watch::Sender<Arc<Catalogue>>) {
    loop {
        for service in services {
            match client.get(&format!("{PREFIX}{service}")).await {
                Ok(Some(entry)) => adopt(service, &entry, sender),
                Ok(None) => log::warn!(service = service.as_str(); "the service has no document"),
                Err(error) => log::warn!(service = service.as_str(); "document not read: {error}"),
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Puts a document in force if it is newer than the one that is.
fn adopt(service: &str, entry: &kv::Entry, sender: &watch::Sender<Arc<Catalogue>>) {
    let revision = Revision(entry.revision);
    let text = String::from_utf8_lossy(&entry.value);
    if !sender.borrow().is_newer(service, revision) {
        return;
    }
    let document = match Document::parse(&text) {
        Ok(document) => document,
        Err(problems) => {
            log::error!(service, revision = revision.0; "document refused: {problems}");
            return;
        }
    };
    let version = Version {
        revision,
        document,
        text: text.into_owned(),
    };
    sender.send_modify(|catalogue| *catalogue = Arc::new(catalogue.with(version)));
    log::info!(service, revision = revision.0; "document in force");
}
