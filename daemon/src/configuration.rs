//! The configuration duty: keeps the service documents in force.
//!
//! A few instances watch the key-value service, the others follow the digests of those and pull
//! what is newer ([`tamarackdale_core::spread`]). The revision in force never goes back.

pub mod access;
pub mod bootstrap;
pub mod catalogue;
pub mod comparison;
pub mod follower;
pub mod handlers;
pub mod keeper;
pub mod peer;
pub mod roster;
pub mod subscription;

pub use access::Access;

use {
    self::{
        access::Identity,
        catalogue::Catalogue,
        keeper::{Keeper, Offer},
        roster::View,
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

/// Offered versions that wait to be judged.
const OFFER_CAPACITY: usize = 64;

/// Settings of the duty.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the key-value service.
    pub store: String,
    /// Address of the instance list.
    pub instance_list: String,
    /// Services whose documents this process needs.
    pub services: Vec<String>,
    /// This process.
    pub identity: Identity,
}

/// What the parts of the duty share.
#[derive(Clone)]
pub(crate) struct Context {
    settings: Arc<Settings>,
    store: kv::Client,
    catalogue: catalogue::Shared,
    offers: mpsc::Sender<Offer>,
    view: watch::Receiver<Arc<View>>,
    /// Digest streams that are alive.
    followed: Arc<AtomicUsize>,
}

impl Context {
    /// Whether this process keeps a service's document.
    fn wants(&self, service: &str) -> bool {
        self.settings.services.iter().any(|name| name == service) || self.view.borrow().is_watcher
    }

    /// Whether a revision is worth pulling.
    fn lacks(&self, service: &str, revision: i64) -> bool {
        self.wants(service)
            && self
                .catalogue
                .borrow()
                .is_newer(service, Revision(revision))
    }

    /// Offers a version to the keeper, if this process keeps the service's document.
    async fn offer(&self, offer: Offer) {
        if !self.wants(offer.service()) {
            return;
        }
        // The keeper ends only with the whole duty.
        let _ = self.offers.send(offer).await;
    }
}

/// Starts the duty. The documents appear in the returned access's catalogue.
///
/// Fails when the thread cannot be started.
pub fn spawn(settings: Settings, shutdown: &Shutdown) -> io::Result<(Worker, Access)> {
    let (sender, catalogue) = watch::channel(Arc::new(Catalogue::new()));
    let (offers, offered) = mpsc::channel(OFFER_CAPACITY);
    let (view_sender, view) = watch::channel(Arc::new(View::default()));
    let access = Access {
        catalogue: catalogue.clone(),
        offers: offers.clone(),
        identity: Arc::new(settings.identity.clone()),
        services: settings.services.clone().into(),
        closing: shutdown.closing.clone(),
        view: view.clone(),
    };
    let context = Context {
        store: kv::Client::new(&settings.store),
        settings: Arc::new(settings),
        catalogue,
        offers,
        view,
        followed: Arc::new(AtomicUsize::new(0)),
    };
    let ended = shutdown.aborting.clone();
    let duty = Worker::spawn_async("configuration", async move {
        let list = list::Client::new(&context.settings.instance_list);
        let keeper = Keeper::new(sender, offered);
        let parts = async {
            tokio::join!(
                keeper.run(),
                roster::run(&context, &list, view_sender),
                spread(&context),
            )
        };
        tokio::select! {
            _ = parts => {}
            () = ended.cancelled() => {}
        }
    })?;
    Ok((duty, access))
}

/// Finds the first documents, then follows changes.
async fn spread(context: &Context) {
    bootstrap::run(context).await;
    tokio::join!(follower::run(context), subscription::run(context));
}
