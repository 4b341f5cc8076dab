//! Follows the cache events of a model engine.
//!
//! They come late and with gaps, so that they only correct what is believed to be cached.

use {
    super::{backend_server::BackendServer, dispatch::Command, exchange::stream},
    crate::{channel::BoundedSender, configuration::catalogue::Shared},
    futures_util::StreamExt as _,
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::document::Kind,
};

/// Event that says that a prefix is no longer cached.
const EVICTED: &str = "cache.evicted";

/// Pause before a new connection.
const RECONNECT_BACKOFF: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Data {
    prefix: u64,
}

/// Follows the events for ever, over as many connections as it takes; a plain service has none.
pub async fn follow(
    backend_server: Arc<BackendServer>,
    dispatch: BoundedSender<Command>,
    service: String,
    catalogue: Shared,
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
        if let Ok(data) = serde_json::from_str::<Data>(&event.data) {
            // Events only correct beliefs, so that a full ring may lose them.
            let _ = dispatch.send(Command::Evicted(data.prefix));
        }
    }
}
