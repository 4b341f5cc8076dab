//! Interim responses (1xx) to a request.
//!
//! `hyper` skips them, in any number. A server in trouble may send them without end, which keeps the thread
//! of its connection busy for as long as they arrive.

use {
    hyper::{Request, ext::on_informational},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    tokio::sync::Notify,
};

/// Most bytes of the interim responses to one request. A server that sends one a second while it works stays
/// far below that; one head may be as long.
pub const MAX_BYTES: usize = 64 * 1024;

/// Bytes of the status line and of the end of a head, about.
const HEAD_BYTES: usize = 20;

/// Bytes of a header besides its name and value.
const HEADER_BYTES: usize = 4;

/// Counts the bytes of the interim responses to one request after another. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    bytes: AtomicUsize,
    exceeded: Notify,
}

impl Meter {
    /// Creates a meter without a request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the interim responses to `request` from now on.
    pub fn observe<B>(&self, request: &mut Request<B>) {
        self.state.bytes.store(0, Ordering::Relaxed);
        let state = Arc::clone(&self.state);
        on_informational(request, move |response| {
            let headers = response.headers().iter();
            let length: usize = headers
                .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES)
                .sum();
            let length = HEAD_BYTES + length;
            if state.bytes.fetch_add(length, Ordering::Relaxed) + length > MAX_BYTES {
                state.exceeded.notify_one();
            }
        });
    }

    /// Whether the interim responses have more than [`MAX_BYTES`] bytes.
    pub fn is_exceeded(&self) -> bool {
        self.state.bytes.load(Ordering::Relaxed) > MAX_BYTES
    }
}

/// Sends a request with `send`. Gives up, and so closes its connection, when the interim responses to it have
/// more than [`MAX_BYTES`] bytes; the result is then `None`.
pub async fn send_bounded<B, F>(
    mut request: Request<B>,
    send: impl FnOnce(Request<B>) -> F,
) -> Option<F::Output>
where
    F: Future,
{
    let meter = Meter::new();
    meter.observe(&mut request);
    tokio::select! {
        biased;
        () = meter.state.exceeded.notified() => None,
        output = send(request) => Some(output),
    }
}
