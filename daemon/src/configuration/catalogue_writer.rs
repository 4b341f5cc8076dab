//! Judges offered versions; the only one to change the catalogue.

use {
    super::catalogue::Catalogue,
    derive_more::Display,
    std::{net::SocketAddr, sync::Arc},
    tamarackdale_core::{adoption::Adoption, document::Revision},
    tamarackdale_store::{key, kv},
    tamarackdale_wire::message::Document,
    tokio::sync::{mpsc, watch},
};

/// Target of the log lines, which operators filter by.
const LOG_TARGET: &str = "tamarackdaled::configuration::keeper";

/// Where a version comes from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Origin {
    /// The key-value service.
    #[display("store")]
    Store,
    /// A peer that has it in force.
    #[display("{_0}")]
    Peer(SocketAddr),
    /// An operator's client that has written it, or a peer that learnt of it first.
    #[display("offer")]
    Offered,
}

/// A version offered for adoption.
#[derive(Clone, Debug)]
pub struct Offer {
    service: String,
    revision: Revision,
    text: String,
    origin: Origin,
}

impl Offer {
    /// An offer of a document that came as a message.
    pub fn new(service: &str, document: Document, origin: Origin) -> Self {
        Self {
            service: service.to_owned(),
            revision: Revision(document.revision),
            text: document.text,
            origin,
        }
    }

    /// The service whose document is offered.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// An offer of an entry of the key-value service; `None` if it is no document.
    pub fn of_entry(entry: &kv::Entry) -> Option<Self> {
        Some(Self {
            service: key::service_of(&entry.key)?.to_owned(),
            revision: Revision(entry.revision),
            text: String::from_utf8_lossy(&entry.value).into_owned(),
            origin: Origin::Store,
        })
    }
}

/// Judges offered versions.
pub struct Keeper {
    catalogue: watch::Sender<Arc<Catalogue>>,
    offers: mpsc::Receiver<Offer>,
}

impl Keeper {
    /// A keeper that publishes a catalogue.
    pub fn new(catalogue: watch::Sender<Arc<Catalogue>>, offers: mpsc::Receiver<Offer>) -> Self {
        Self { catalogue, offers }
    }

    /// Judges offers until nobody can make any.
    pub async fn run(mut self) {
        while let Some(offer) = self.offers.recv().await {
            self.judge(&offer);
        }
    }

    fn judge(&self, offer: &Offer) {
        let mut catalogue = Catalogue::clone(&self.catalogue.borrow());
        let adoption = catalogue.offer(&offer.service, offer.revision, &offer.text);
        let service = offer.service.as_str();
        let (revision, origin) = (offer.revision.0, offer.origin);
        match adoption {
            Adoption::NotNewer => return,
            Adoption::Adopted => {
                log::info!(target: LOG_TARGET, service, revision, origin:%; "document in force");
            }
            Adoption::Refused(_) | Adoption::Misplaced(_) => {
                log::error!(target: LOG_TARGET, service, revision, origin:%; "document refused: {adoption}");
            }
        }
        self.catalogue.send_replace(Arc::new(catalogue));
    }
}
