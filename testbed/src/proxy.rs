//! A TCP proxy that injects faults between two processes.
//!
//! Faults are set at run time, for the connections that are open, for those to come, or for both
//! ([`Scope`]), and for either direction or both ([`Direction`]).

mod pump;

use {
    crate::port::Port,
    pump::Link,
    std::{
        future::pending,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            mpsc::{SyncSender, sync_channel},
        },
        thread,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    },
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
    orders: Option<UnboundedSender<Order>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Says whether new connections are refused, and by the channel when that is so.
struct Order {
    refusing: bool,
    done: SyncSender<()>,
}

/// What the proxy's thread and its owner share.
#[derive(Default)]
pub(crate) struct State {
    target: Option<SocketAddr>,
    accepted: u64,
    faults: Faults,
    links: Vec<Link>,
}

impl Proxy {
    /// Starts a proxy before `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port or thread is available.
    pub fn new(target: SocketAddr) -> io::Result<Self> {
        let proxy = Self::unconnected()?;
        proxy.set_target(target);
        Ok(proxy)
    }

    /// Starts a proxy that resets connections until it has a target.
    ///
    /// # Errors
    ///
    /// Fails when no port or thread is available.
    pub fn unconnected() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let port = Port::new()?;
        let address = port.address();
        let listener = {
            let _context = runtime.enter();
            port.listen()?
        };
        let (orders, receiver) = unbounded_channel();
        let thread = thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || runtime.block_on(run(port, listener, receiver, shared)))?;
        Ok(Self {
            address,
            state,
            orders: Some(orders),
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

    /// Leads new connections to a process started anew, and accepts them again.
    pub fn lead_to(&self, target: SocketAddr) {
        self.set_target(target);
        self.refuse(false);
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

    /// Refuses new connections, as a host does on which nobody listens, or accepts them again.
    pub fn refuse(&self, refusing: bool) {
        let (done, wait) = sync_channel(1);
        if let Some(orders) = &self.orders {
            // A proxy that has ended needs no order.
            let _ = orders.send(Order { refusing, done });
            let _ = wait.recv();
        }
    }
}

impl State {
    fn accept(&mut self, stream: TcpStream) {
        self.accepted += 1;
        self.links.retain(Link::is_open);
        match self.target {
            Some(target) => self.links.push(Link::new(stream, target, self.faults)),
            None => pump::reset(&stream),
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the proxy's thread was already printed by the panic hook.
            let _ = thread.join();
        }
    }
}

async fn run(
    port: Port,
    listener: TcpListener,
    mut orders: UnboundedReceiver<Order>,
    state: Arc<Mutex<State>>,
) {
    let mut listener = Some(listener);
    loop {
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => pending().await,
            }
        };
        tokio::select! {
            order = orders.recv() => {
                let Some(order) = order else {
                    return;
                };
                listener = match order.refusing {
                    true => None,
                    false => listener.or_else(|| port.listen().ok()),
                };
                // Whoever gave the order may have gone.
                let _ = order.done.send(());
            }
            Ok((stream, _)) = accepted => lock(&state).accept(stream),
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
