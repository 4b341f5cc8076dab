//! Probes of backend servers to which connections broke.

use {
    std::{future::Future, io, time::Duration},
    tokio::{
        sync::Mutex,
        time::{Instant, sleep},
    },
};

/// Time for which the result of a probe holds for other connections that broke at the same moment. A
/// server that has crashed needs longer to return.
const VALIDITY: Duration = Duration::from_millis(100);

/// Time for which a new connection must last to show that a server has not crashed: a proxy or load
/// balancer before it accepts connections also without it, and then resets them.
const LASTING: Duration = Duration::from_millis(10);

/// Probe of one backend server. When many connections break at once, one of those who ask opens a new
/// one, and the others get the same result.
#[derive(Debug, Default)]
pub struct Probe(
    /// Time and result of the last probe. Locked while one is in progress.
    Mutex<Option<(Instant, bool)>>,
);

impl Probe {
    /// Whether the server accepts and keeps a new connection, and so has not crashed. What was opened
    /// is passed to `with_opened`.
    pub async fn is_reachable<T>(
        &self,
        open: impl Future<Output = io::Result<T>>,
        is_closed: impl Fn(&T) -> bool,
        with_opened: impl FnOnce(io::Result<T>),
    ) -> bool {
        let mut last = self.0.lock().await;
        if let Some((at, result)) = *last
            && at.elapsed() < VALIDITY
        {
            return result;
        }
        let opened = lasting(open, is_closed).await;
        let is_reachable = opened.is_ok();
        with_opened(opened);
        *last = Some((Instant::now(), is_reachable));
        is_reachable
    }
}

/// Opens a connection that the other side does not close at once.
async fn lasting<T>(
    open: impl Future<Output = io::Result<T>>,
    is_closed: impl Fn(&T) -> bool,
) -> io::Result<T> {
    let connection = open.await?;
    sleep(LASTING).await;
    match is_closed(&connection) {
        true => Err(io::ErrorKind::ConnectionReset.into()),
        false => Ok(connection),
    }
}
