//! Validates received document versions; the only writer of the catalogue.

use {
    super::catalogue::Catalogue,
    derive_more::Display,
    std::{net::SocketAddr, sync::Arc},
    tamarackdale_core::{document::Revision, document_registry::OfferOutcome},
    tamarackdale_store::{key, kv},
    tamarackdale_wire::message::Document,
    tokio::sync::{mpsc, watch},
};

/// Target of this module's log lines; part of the log format, so it does not follow the file name.
const LOG_TARGET: &str = "tamarackdaled::configuration::keeper";

/// Where a version was received from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum UpdateSource {
    /// The key-value store.
    #[display("store")]
    Store,
    /// Pulled from a peer that has it active.
    #[display("{_0}")]
    Peer(SocketAddr),
    /// Pushed to this process, by the operator's client that wrote it or by a peer that received
    /// it first.
    #[display("offer")]
    Pushed,
}

/// A received document version that has not been validated yet.
#[derive(Clone, Debug)]
pub struct DocumentUpdate {
    service: String,
    revision: Revision,
    text: String,
    source: UpdateSource,
}

impl DocumentUpdate {
    /// Creates an update from a document message.
    pub fn new(service: &str, document: Document, source: UpdateSource) -> Self {
        Self {
            service: service.to_owned(),
            revision: Revision(document.revision),
            text: document.text,
            source,
        }
    }

    /// Returns the service that the document belongs to.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Creates an update from an entry of the key-value store; `None` if the key is not that of a
    /// document.
    pub fn from_entry(entry: &kv::Entry) -> Option<Self> {
        Some(Self {
            service: key::service_of(&entry.key)?.to_owned(),
            revision: Revision(entry.revision),
            text: String::from_utf8_lossy(&entry.value).into_owned(),
            source: UpdateSource::Store,
        })
    }
}

/// Validates received versions and publishes the resulting catalogue.
pub struct CatalogueWriter {
    catalogue: watch::Sender<Arc<Catalogue>>,
    updates: mpsc::Receiver<DocumentUpdate>,
}

impl CatalogueWriter {
    /// Creates a writer that publishes to `catalogue`.
    pub fn new(
        catalogue: watch::Sender<Arc<Catalogue>>,
        updates: mpsc::Receiver<DocumentUpdate>,
    ) -> Self {
        Self { catalogue, updates }
    }

    /// Processes updates until all senders are gone.
    pub async fn run(mut self) {
        while let Some(update) = self.updates.recv().await {
            self.apply(&update);
        }
    }

    fn apply(&self, update: &DocumentUpdate) {
        let mut catalogue = Catalogue::clone(&self.catalogue.borrow());
        let outcome = catalogue.offer(&update.service, update.revision, &update.text);
        let service = update.service.as_str();
        let (revision, origin) = (update.revision.0, update.source);
        match outcome {
            OfferOutcome::NotNewer => return,
            OfferOutcome::Accepted => {
                log::info!(target: LOG_TARGET, service, revision, origin:%; "document in force");
            }
            OfferOutcome::Refused(_) | OfferOutcome::ServiceMismatch(_) => {
                log::error!(
                    target: LOG_TARGET,
                    service,
                    revision,
                    origin:%;
                    "document refused: {outcome}"
                );
            }
        }
        self.catalogue.send_replace(Arc::new(catalogue));
    }
}
