//! Subscribes to the digests of other instances, pulls newer documents from them and pushes newer
//! documents back.

use {
    super::{
        Context,
        catalogue_writer::{DocumentUpdate, UpdateSource},
        peer_client::{self, DigestStream, PeerError},
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

/// Delay before reconnecting to a peer.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(250);

/// Subscribes to the sources of the current fleet view, as long as the process runs.
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
                .or_insert_with(|| tasks.spawn(follow_peer(context.clone(), address)));
        }
        while tasks.try_join_next().is_some() {}
        if view.changed().await.is_err() {
            return;
        }
    }
}

async fn follow_peer(context: Context, source: SocketAddr) {
    loop {
        if let Err(error) = follow_stream(&context, source).await {
            log::debug!(source:%; "digest stream failed: {error}");
        }
        sleep(RECONNECT_BACKOFF).await;
    }
}

async fn follow_stream(context: &Context, source: SocketAddr) -> Result<(), PeerError> {
    let mut digests = DigestStream::open(source).await?;
    let mut digest = digests.next().await?;
    let _live_stream = LiveStream::new(&context.live_streams);
    let mut peer_revisions = PeerRevisions::default();
    loop {
        pull_newer(context, source, &digest).await?;
        peer_revisions.update(&digest);
        push_newer(context, source, &mut peer_revisions).await?;
        digest = digests.next().await?;
    }
}

/// Pulls the documents whose revision in the digest is newer than the local one.
async fn pull_newer(
    context: &Context,
    source: SocketAddr,
    digest: &Digest,
) -> Result<(), PeerError> {
    for held in &digest.documents {
        if context.is_outdated(&held.service, held.revision) {
            let document = peer_client::fetch_document(source, &held.service).await?;
            let update = DocumentUpdate::new(&held.service, document, UpdateSource::Peer(source));
            context.submit(update).await;
        }
    }
    Ok(())
}

/// Pushes documents that the source still lacks, so that a change which reached only this process
/// reaches all others.
async fn push_newer(
    context: &Context,
    source: SocketAddr,
    peer_revisions: &mut PeerRevisions,
) -> Result<(), PeerError> {
    let catalogue = Arc::clone(&context.catalogue.borrow());
    let local = catalogue
        .entries()
        .map(|(service, revision, _)| (service, revision.0));
    for service in peer_revisions.services_to_push(local) {
        if let Some(version) = catalogue.get(&service) {
            let document = Document {
                revision: version.revision.0,
                text: version.text.clone(),
            };
            peer_client::push_document(source, &service, &document).await?;
        }
    }
    Ok(())
}

/// Counts a digest stream as live until it is dropped.
struct LiveStream(Arc<AtomicUsize>);

impl LiveStream {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(count))
    }
}

impl Drop for LiveStream {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
