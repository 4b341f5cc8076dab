//! The first documents of a process: from the key-value service or, while that is down, the newest
//! that a majority of the asked peers knows.

use {
    super::{
        Context,
        catalogue_writer::{Offer, Origin},
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

/// Peers asked about one service.
const ASKED_PEERS: usize = 8;

/// Pause before another try.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Tries until the store or the peers have told the newest documents.
pub(super) async fn run(context: &Context) {
    let mut is_logged = false;
    loop {
        let error = match ask_store(context).await {
            Ok(()) => return,
            Err(error) => error,
        };
        if ask_peers(context).await {
            return;
        }
        if !is_logged {
            log::warn!("no first documents from the store, nor from enough peers: {error}");
            is_logged = true;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Reads the document of every service from the store. One that does not exist yet is no error.
async fn ask_store(context: &Context) -> Result<(), kv::Error> {
    for service in &context.settings.services {
        let entry = context.store.get(&key::document(service)).await?;
        match entry.as_ref().and_then(Offer::of_entry) {
            Some(offer) => context.offer(offer).await,
            None => log::warn!(service = service.as_str(); "the service has no document"),
        }
    }
    Ok(())
}

/// Asks peers for every service; whether each has been told.
async fn ask_peers(context: &Context) -> bool {
    let mut is_complete = true;
    for service in &context.settings.services {
        match newest(context, service).await {
            Some(offer) => context.offer(offer).await,
            None => is_complete = false,
        }
    }
    is_complete
}

/// The newest version of a service's document, if enough peers answer.
async fn newest(context: &Context, service: &str) -> Option<Offer> {
    let addresses: Vec<SocketAddr> = {
        let view = context.view.borrow().clone();
        let holders = view.holders(service).map(|peer| peer.address);
        holders.choose_multiple(&mut rand::rng(), ASKED_PEERS)
    };
    let answers = join_all(addresses.iter().map(|address| ask(*address, service))).await;
    let newest = quorum::newest(&answers)?;
    let holder = answers
        .iter()
        .zip(&addresses)
        .find(|(answer, _)| **answer == Answer::Holds(newest))
        .map(|(_, address)| *address)?;
    let document = peer_client::document(holder, service).await.ok()?;
    Some(Offer::new(service, document, Origin::Peer(holder)))
}

async fn ask(address: SocketAddr, service: &str) -> Answer {
    let Ok(status) = peer_client::status(address).await else {
        return Answer::Silent;
    };
    status
        .documents
        .iter()
        .find(|document| document.service == service)
        .map_or(Answer::HoldsNone, |document| {
            Answer::Holds(Revision(document.revision))
        })
}
