//! Subscription to the prefix cache events of a model engine.
//!
//! Events arrive late and with gaps, so they only correct the estimate of what is cached.

use {
    super::{backend_server::BackendServer, dispatch::Command, exchange::stream},
    crate::{channel::BoundedSender, configuration::catalogue::CatalogueReceiver},
    futures_util::StreamExt as _,
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::document::Kind,
};

/// Name of the event for a prefix that is no longer cached.
const EVICTED: &str = "cache.evicted";

/// Pause between two connections.
const RECONNECT_BACKOFF: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct EventData {
    prefix: u64,
}

/// Forwards eviction events to the dispatch worker and reconnects when a connection ends; never
/// returns. Does not connect while the service is not a model, because only models have events.
pub async fn follow(
    backend_server: Arc<BackendServer>,
    dispatch: BoundedSender<Command>,
    service: String,
    catalogue: CatalogueReceiver,
) {
    loop {
        let version = catalogue.borrow().get(&service);
        if version.is_some_and(|version| version.document.kind == Kind::Model) {
            follow_connection(&backend_server, &dispatch).await;
        }
        tokio::time::sleep(RECONNECT_BACKOFF).await;
    }
}

async fn follow_connection(backend_server: &BackendServer, dispatch: &BoundedSender<Command>) {
    let Some(response) = backend_server.cache_events().await else {
        return;
    };
    let mut events = stream::events(response.into_body());
    while let Some(Ok(event)) = events.next().await {
        if event.event != EVICTED {
            continue;
        }
        if let Ok(data) = serde_json::from_str::<EventData>(&event.data) {
            // Events only correct an estimate, so they may be lost when the channel is full.
            let _ = dispatch.send(Command::Evicted(data.prefix));
        }
    }
}
