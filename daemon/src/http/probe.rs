//! Probes of backend servers to which connections broke.

use {
    std::{
        io::{self, ErrorKind},
        time::Duration,
    },
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
    /// The last probe. Locked while one is in progress.
    Mutex<Option<Outcome>>,
);

#[derive(Clone, Copy, Debug)]
struct Outcome {
    started: Instant,
    ended: Instant,
    result: Result<(), ErrorKind>,
}

impl Probe {
    /// Whether the server accepts and keeps a new connection, and so has not crashed. What was opened
    /// is passed to `with_opened`.
    pub async fn is_reachable<T>(
        &self,
        open: impl Future<Output = io::Result<T>>,
        is_closed: impl Fn(&T) -> bool,
        with_opened: impl FnOnce(io::Result<T>),
    ) -> bool {
        let is_valid = |last: Outcome| last.ended.elapsed() < VALIDITY;
        let result = self.run(is_valid, open, is_closed, with_opened).await;
        result.is_ok()
    }

    /// Whether the server refuses new connections from now on: no process listens any more. A server that
    /// closes them, or does not answer, may have no room for them. What was opened is passed to `with_opened`.
    pub async fn is_refused<T, F>(
        &self,
        open: impl Fn() -> F,
        is_closed: impl Fn(&T) -> bool,
        with_opened: impl Fn(io::Result<T>),
    ) -> bool
    where
        F: Future<Output = io::Result<T>>,
    {
        let probe = async || {
            let asked = Instant::now();
            let is_valid = |last: Outcome| last.started >= asked;
            self.run(is_valid, open(), &is_closed, &with_opened).await
        };
        let result = match probe().await {
            // A process that ends may close its connections before its listener, which then resets the new one.
            Err(ErrorKind::ConnectionReset) => probe().await,
            result => result,
        };
        result == Err(ErrorKind::ConnectionRefused)
    }

    async fn run<T>(
        &self,
        is_valid: impl Fn(Outcome) -> bool,
        open: impl Future<Output = io::Result<T>>,
        is_closed: impl Fn(&T) -> bool,
        with_opened: impl FnOnce(io::Result<T>),
    ) -> Result<(), ErrorKind> {
        let mut last = self.0.lock().await;
        if let Some(last) = last.filter(|last| is_valid(*last)) {
            return last.result;
        }
        let started = Instant::now();
        let opened = lasting(open, is_closed).await;
        let result = opened.as_ref().map(|_| ()).map_err(io::Error::kind);
        with_opened(opened);
        *last = Some(Outcome {
            started,
            ended: Instant::now(),
            result,
        });
        result
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
