//! The configuration worker: keeps the active service documents up to date.
//!
//! A few instances watch the key-value store. The others subscribe to digests from those instances
//! and pull newer documents ([`tamarackdale_core::dissemination`]). The active revision never
//! decreases.

pub mod bootstrap;
pub mod catalogue;
pub mod catalogue_writer;
pub mod fleet_view;
pub mod handle;
pub mod handlers;
pub mod peer_client;
pub mod peer_revisions;
pub mod store_watcher;
pub mod subscription;

pub use handle::ConfigurationHandle;

use {
    self::{
        catalogue::Catalogue,
        catalogue_writer::{CatalogueWriter, DocumentUpdate},
        fleet_view::FleetView,
        handle::Identity,
    },
    crate::{signal::Shutdown, worker::Worker},
    std::{
        io,
        sync::{Arc, atomic::AtomicUsize},
    },
    tamarackdale_core::document::Revision,
    tamarackdale_store::{kv, list},
    tokio::sync::{mpsc, watch},
};

/// Capacity of the queue of received document versions that are not processed yet.
const UPDATE_CAPACITY: usize = 64;

/// Settings of the configuration worker.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the key-value store.
    pub store: String,
    /// Address of the instance list.
    pub instance_list: String,
    /// Services whose documents this process requires.
    pub services: Vec<String>,
    /// Identity of this process.
    pub identity: Identity,
}

/// State shared by the tasks of the worker.
#[derive(Clone)]
pub(crate) struct Context {
    settings: Arc<Settings>,
    store: kv::Client,
    catalogue: catalogue::CatalogueReceiver,
    updates: mpsc::Sender<DocumentUpdate>,
    view: watch::Receiver<Arc<FleetView>>,
    /// Number of open digest streams.
    live_streams: Arc<AtomicUsize>,
}

impl Context {
    /// Whether this process keeps a service's document: it serves the service, or it watches the
    /// key-value store for others.
    fn keeps(&self, service: &str) -> bool {
        self.settings.services.iter().any(|name| name == service) || self.view.borrow().is_watcher
    }

    /// Whether this process keeps the service's document and has an older revision of it.
    fn is_outdated(&self, service: &str, revision: i64) -> bool {
        self.keeps(service)
            && self
                .catalogue
                .borrow()
                .is_newer(service, Revision(revision))
    }

    /// Queues a version for the catalogue writer, if this process keeps the service's document.
    async fn submit(&self, update: DocumentUpdate) {
        if !self.keeps(update.service()) {
            return;
        }
        // The catalogue writer runs as long as the worker, so sending fails only at shutdown.
        let _ = self.updates.send(update).await;
    }
}

/// Starts the worker. Documents are published in the catalogue of the returned handle.
///
/// Fails when the thread cannot be started.
pub fn spawn(settings: Settings, shutdown: &Shutdown) -> io::Result<(Worker, ConfigurationHandle)> {
    let (sender, catalogue) = watch::channel(Arc::new(Catalogue::new()));
    let (updates, update_receiver) = mpsc::channel(UPDATE_CAPACITY);
    let (view_sender, view) = watch::channel(Arc::new(FleetView::default()));
    let handle = ConfigurationHandle {
        catalogue: catalogue.clone(),
        updates: updates.clone(),
        identity: Arc::new(settings.identity.clone()),
        services: settings.services.clone().into(),
        closing: shutdown.closing.clone(),
        view: view.clone(),
    };
    let context = Context {
        store: kv::Client::new(&settings.store),
        settings: Arc::new(settings),
        catalogue,
        updates,
        view,
        live_streams: Arc::new(AtomicUsize::new(0)),
    };
    let aborting = shutdown.aborting.clone();
    let worker = Worker::spawn_async("configuration", async move {
        let list = list::Client::new(&context.settings.instance_list);
        let writer = CatalogueWriter::new(sender, update_receiver);
        let tasks = async {
            tokio::join!(
                writer.run(),
                fleet_view::run(&context, &list, view_sender),
                sync_documents(&context),
            )
        };
        tokio::select! {
            _ = tasks => {}
            () = aborting.cancelled() => {}
        }
    })?;
    Ok((worker, handle))
}

/// Loads the initial documents, then follows changes.
async fn sync_documents(context: &Context) {
    bootstrap::run(context).await;
    tokio::join!(store_watcher::run(context), subscription::run(context));
}
