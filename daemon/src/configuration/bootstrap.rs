//! Loads the initial documents of a process from the key-value store or, while the store is down,
//! the newest documents known to a majority of the queried peers.

use {
    super::{
        Context,
        catalogue_writer::{DocumentUpdate, UpdateSource},
        peer_client,
    },
    futures_util::future::join_all,
    rand::seq::IteratorRandom as _,
    std::{net::SocketAddr, time::Duration},
    tamarackdale_core::{
        document::Revision,
        quorum::{self, Answer},
    },
    tamarackdale_store::{key, kv},
    tokio::time::sleep,
};

/// Most peers queried about one service.
const MAX_QUERIED_PEERS: usize = 8;

/// Delay between attempts to load the documents.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Retries until the newest documents have been loaded from the store or from peers.
pub(super) async fn run(context: &Context) {
    let mut is_logged = false;
    loop {
        let error = match load_from_store(context).await {
            Ok(()) => return,
            Err(error) => error,
        };
        if load_from_peers(context).await {
            return;
        }
        if !is_logged {
            log::warn!(
                "initial documents not available from the store or a majority of peers: {error}"
            );
            is_logged = true;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Reads the document of every required service from the store. A document that does not exist
/// yet is not an error.
async fn load_from_store(context: &Context) -> Result<(), kv::Error> {
    for service in &context.settings.services {
        let entry = context.store.get(&key::document(service)).await?;
        match entry.as_ref().and_then(DocumentUpdate::from_entry) {
            Some(update) => context.submit(update).await,
            None => log::warn!(service = service.as_str(); "service has no document in the store"),
        }
    }
    Ok(())
}

/// Loads the document of every required service from peers. Returns whether all were found.
async fn load_from_peers(context: &Context) -> bool {
    let mut is_complete = true;
    for service in &context.settings.services {
        match newest_from_peers(context, service).await {
            Some(update) => context.submit(update).await,
            None => is_complete = false,
        }
    }
    is_complete
}

/// Returns the newest version of a service's document, if a majority of the queried peers answers.
async fn newest_from_peers(context: &Context, service: &str) -> Option<DocumentUpdate> {
    let addresses: Vec<SocketAddr> = {
        let view = context.view.borrow().clone();
        let holders = view.holders(service).map(|peer| peer.address);
        holders.choose_multiple(&mut rand::rng(), MAX_QUERIED_PEERS)
    };
    let queries = addresses
        .iter()
        .map(|address| query_peer(*address, service));
    let answers = join_all(queries).await;
    let newest = quorum::newest(&answers)?;
    let holder = answers
        .iter()
        .zip(&addresses)
        .find(|(answer, _)| **answer == Answer::InForce(newest))
        .map(|(_, address)| *address)?;
    let document = peer_client::fetch_document(holder, service).await.ok()?;
    Some(DocumentUpdate::new(
        service,
        document,
        UpdateSource::Peer(holder),
    ))
}

async fn query_peer(address: SocketAddr, service: &str) -> Answer {
    let Ok(status) = peer_client::fetch_status(address).await else {
        return Answer::NoAnswer;
    };
    status
        .documents
        .iter()
        .find(|document| document.service == service)
        .map_or(Answer::NoDocument, |document| {
            Answer::InForce(Revision(document.revision))
        })
}
