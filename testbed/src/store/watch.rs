//! Watches.

use {
    super::{
        Call, Write,
        gateway::{Gateway, header},
        operation::{blob, integer},
    },
    crate::host::Body,
    base64::{Engine as _, engine::general_purpose::STANDARD},
    bytes::Bytes,
    futures_util::stream,
    http_body_util::{BodyExt as _, StreamBody},
    hyper::{Response, body::Frame},
    serde_json::{Value, json},
    std::{
        collections::VecDeque,
        io,
        sync::{Arc, atomic::Ordering},
    },
};

/// One open watch.
struct Watch {
    gateway: Arc<Gateway>,
    written: tokio::sync::watch::Receiver<()>,
    key: Vec<u8>,
    end: Vec<u8>,
    /// Writes of the history that have been looked at.
    seen: usize,
    start_revision: i64,
    silence: u64,
    is_silent: bool,
    pending: VecDeque<Value>,
}

/// Answers a watch request with an endless stream.
pub(super) fn answer(gateway: Arc<Gateway>, call: &Value) -> Response<Body> {
    let watch = Watch::new(gateway, &call["create_request"]);
    let frames = stream::unfold(watch, |mut watch| async move {
        let message = watch.next().await;
        let line = format!("{}\n", json!({"result": message}));
        Some((Ok::<_, io::Error>(Frame::data(Bytes::from(line))), watch))
    });
    Response::new(StreamBody::new(frames).boxed_unsync())
}

impl Watch {
    fn new(gateway: Arc<Gateway>, request: &Value) -> Self {
        gateway.open_watch_count().fetch_add(1, Ordering::SeqCst);
        let revision = gateway.state().revision();
        let start_revision = match integer(&request["start_revision"]) {
            0 => revision + 1,
            start => start,
        };
        let created = json!({"header": header(revision), "created": true});
        Self {
            written: gateway.subscribe(),
            key: blob(&request["key"]),
            end: blob(&request["range_end"]),
            seen: 0,
            start_revision,
            silence: gateway.faults().silence(),
            is_silent: gateway.faults().are_watches_silent(),
            pending: VecDeque::from([created]),
            gateway,
        }
    }

    async fn next(&mut self) -> Value {
        loop {
            if self.is_silent || self.silence != self.gateway.faults().silence() {
                return std::future::pending().await;
            }
            if let Some(message) = self.pending.pop_front() {
                return message;
            }
            self.written.mark_unchanged();
            self.take_writes();
            if self.pending.is_empty() {
                // The sender lives as long as the gateway that this watch holds.
                let _ = self.written.changed().await;
            }
            self.gateway.faults().pass(Call::Watch).await;
        }
    }

    /// Turns the writes since the last look into messages, one per revision.
    fn take_writes(&mut self) {
        let state = self.gateway.state();
        // A store that came back from an older copy of itself has fewer.
        let news = state.history().get(self.seen..).unwrap_or_default();
        for writes in news.chunk_by(|one, other| one.revision == other.revision) {
            let events: Vec<Value> = writes
                .iter()
                .filter(|write| self.concerns(write))
                .map(event)
                .collect();
            if !events.is_empty() {
                let header = header(writes[0].revision);
                self.pending
                    .push_back(json!({"header": header, "events": events}));
            }
        }
        self.seen = state.history().len();
    }

    fn concerns(&self, write: &Write) -> bool {
        let is_in_range = match self.end.as_slice() {
            [] => write.key == self.key,
            [0] => write.key >= self.key,
            end => write.key >= self.key && write.key.as_slice() < end,
        };
        is_in_range && write.revision >= self.start_revision
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.gateway
            .open_watch_count()
            .fetch_sub(1, Ordering::SeqCst);
    }
}

fn event(write: &Write) -> Value {
    let kind = if write.value.is_some() {
        "PUT"
    } else {
        "DELETE"
    };
    json!({
        "type": kind,
        "kv": {
            "key": STANDARD.encode(&write.key),
            "value": STANDARD.encode(write.value.as_deref().unwrap_or_default()),
            "mod_revision": write.revision.to_string(),
        },
    })
}
