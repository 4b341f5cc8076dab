//! Follows the digests of other instances and pulls what is newer.

use {
    super::{
        Context,
        catalogue_writer::{Offer, Origin},
        peer_client::{self, Digests, Fault},
        peer_revisions::PeerRevisions,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tamarackdale_wire::{Digest, message::Document},
    tokio::{
        task::{AbortHandle, JoinSet},
        time::sleep,
    },
};

/// Pause before a new connection.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(250);

/// Follows the sources that the instance list gives, as long as the process runs.
pub(super) async fn run(context: &Context) {
    let mut view = context.view.clone();
    let mut tasks = JoinSet::new();
    let mut sources: HashMap<SocketAddr, AbortHandle> = HashMap::new();
    loop {
        let wanted = view.borrow_and_update().sources.clone();
        sources.retain(|address, task| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                task.abort();
            }
            is_wanted
        });
        for address in wanted {
            sources
                .entry(address)
                .or_insert_with(|| tasks.spawn(follow(context.clone(), address)));
        }
        while tasks.try_join_next().is_some() {}
        if view.changed().await.is_err() {
            return;
        }
    }
}

async fn follow(context: Context, source: SocketAddr) {
    loop {
        if let Err(fault) = follow_once(&context, source).await {
            log::debug!(source:%; "digests lost: {fault}");
        }
        sleep(RECONNECT_BACKOFF).await;
    }
}

async fn follow_once(context: &Context, source: SocketAddr) -> Result<(), Fault> {
    let mut digests = Digests::open(source).await?;
    let mut digest = digests.next().await?;
    let _presence = Presence::new(&context.followed);
    let mut comparison = PeerRevisions::default();
    loop {
        pull(context, source, &digest).await?;
        comparison.update(&digest);
        offer_back(context, source, &mut comparison).await?;
        digest = digests.next().await?;
    }
}

/// Pulls the documents that a digest says are newer.
async fn pull(context: &Context, source: SocketAddr, digest: &Digest) -> Result<(), Fault> {
    for held in &digest.documents {
        if context.lacks(&held.service, held.revision) {
            let document = peer_client::document(source, &held.service).await?;
            let offer = Offer::new(&held.service, document, Origin::Peer(source));
            context.offer(offer).await;
        }
    }
    Ok(())
}

/// Offers what the source has still not learnt by itself, so that a change which reached this
/// process alone reaches everybody.
async fn offer_back(
    context: &Context,
    source: SocketAddr,
    comparison: &mut PeerRevisions,
) -> Result<(), Fault> {
    let catalogue = Arc::clone(&context.catalogue.borrow());
    let ours = catalogue.held();
    let ours = ours.map(|(service, revision, _)| (service, revision.0));
    for service in comparison.services_to_push(ours) {
        if let Some(version) = catalogue.get(&service) {
            let document = Document {
                revision: version.revision.0,
                text: version.text.clone(),
            };
            peer_client::offer(source, &service, &document).await?;
        }
    }
    Ok(())
}

/// Counts a live stream while it lives.
struct Presence(Arc<AtomicUsize>);

impl Presence {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(count))
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
