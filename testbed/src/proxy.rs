//! A TCP proxy that injects faults between two processes.
//!
//! Faults are set at run time, for the connections that are open, for those to come, or for both
//! ([`Scope`]), and for either direction or both ([`Direction`]).

mod pump;

use {
    pump::Link,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::Duration,
    },
    tokio::{net::TcpListener, sync::oneshot},
};

/// What happens to the bytes of one direction of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Time that each piece of data is held back.
    pub delay: Duration,
    /// Whether data and the end of the connection are held back, while the connection stays open.
    pub silent: bool,
    /// Bytes still let through before the connection is reset; no limit if `None`.
    pub remaining: Option<u64>,
}

impl Fault {
    /// No fault: data passes as it comes.
    pub fn none() -> Self {
        Self::default()
    }

    /// Holds each piece of data back.
    pub fn delay(delay: Duration) -> Self {
        Self {
            delay,
            ..Self::default()
        }
    }

    /// Lets nothing through, not even the end of the connection.
    pub fn silence() -> Self {
        Self {
            silent: true,
            ..Self::default()
        }
    }

    /// Resets the connection after `bytes` more bytes.
    pub fn truncate(bytes: u64) -> Self {
        Self {
            remaining: Some(bytes),
            ..Self::default()
        }
    }
}

/// Which way data flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting process to the target.
    ToTarget,
    /// From the target to the connecting process.
    FromTarget,
    /// Both ways.
    Both,
}

/// Which connections a fault is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Those open now.
    Open,
    /// Those to come.
    New,
    /// Those open now and those to come.
    All,
}

/// The two directions' faults of one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Faults {
    pub(crate) to_target: Fault,
    pub(crate) from_target: Fault,
}

impl Faults {
    fn set(&mut self, direction: Direction, fault: Fault) {
        if direction != Direction::FromTarget {
            self.to_target = fault;
        }
        if direction != Direction::ToTarget {
            self.from_target = fault;
        }
    }
}

/// A running proxy; stopped and joined on drop.
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// What the proxy's thread and its owner share.
#[derive(Default)]
pub(crate) struct State {
    target: Option<SocketAddr>,
    refusing: bool,
    accepted: u64,
    faults: Faults,
    links: Vec<Link>,
}

impl Proxy {
    /// Starts a proxy before `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port or thread can be had.
    pub fn new(target: SocketAddr) -> io::Result<Self> {
        let proxy = Self::unconnected()?;
        proxy.set_target(target);
        Ok(proxy)
    }

    /// Starts a proxy that refuses connections until it has a target.
    ///
    /// # Errors
    ///
    /// Fails when no port or thread can be had.
    pub fn unconnected() -> io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || {
                runtime.block_on(async move {
                    tokio::select! {
                        _ = accept(listener, shared) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        Ok(Self {
            address,
            state,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where new connections lead.
    pub fn set_target(&self, target: SocketAddr) {
        lock(&self.state).target = Some(target);
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        lock(&self.state).accepted
    }

    /// Connections open now.
    pub fn open(&self) -> usize {
        let mut state = lock(&self.state);
        state.links.retain(Link::is_open);
        state.links.len()
    }

    /// Sets the fault of one direction, or of both.
    pub fn inject(&self, scope: Scope, direction: Direction, fault: Fault) {
        let mut state = lock(&self.state);
        if scope != Scope::Open {
            state.faults.set(direction, fault);
        }
        if scope != Scope::New {
            for link in &state.links {
                link.change(|faults| faults.set(direction, fault));
            }
        }
    }

    /// Makes open and new connections faultless; what silence held back goes on.
    pub fn heal(&self) {
        self.inject(Scope::All, Direction::Both, Fault::none());
        self.refuse(false);
    }

    /// Resets all open connections.
    pub fn cut(&self) {
        for link in lock(&self.state).links.drain(..) {
            link.cut();
        }
    }

    /// Whether new connections are reset at once.
    pub fn refuse(&self, refusing: bool) {
        lock(&self.state).refusing = refusing;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the proxy's thread was already printed by the panic hook.
            let _ = thread.join();
        }
    }
}

async fn accept(listener: std::net::TcpListener, state: Arc<Mutex<State>>) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        let mut state = lock(&state);
        state.accepted += 1;
        state.links.retain(Link::is_open);
        let target = state.target.filter(|_| !state.refusing);
        match target {
            Some(target) => {
                let link = Link::new(stream, target, state.faults);
                state.links.push(link);
            }
            None => pump::reset(&stream),
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
