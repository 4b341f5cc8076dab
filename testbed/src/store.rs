//! Stand-in for the key-value service: a subset of the etcd v3 JSON gateway, with faults.

mod fault;
mod gateway;
mod operation;
mod platform;
mod rate;
mod state;
mod watch;

pub use {
    fault::Outage,
    state::{Record, Write},
};

use {
    crate::host::Host,
    gateway::Gateway,
    state::State,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
};

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Range read.
    Read,
    /// Put, delete or transaction, whatever number of keys it concerns.
    Write,
    /// Grant, renewal or end of a lease.
    Lease,
    /// Watch; one call however long it waits.
    Watch,
}

/// A copy of a store's state.
pub struct Copy(State);

/// A running store. It lives on threads of its own, which end with it, and can be used from
/// blocking and asynchronous tests alike.
pub struct Store {
    host: Host,
    gateway: Arc<Gateway>,
}

impl Store {
    /// Starts an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// No port or thread is available.
    pub fn start() -> io::Result<Self> {
        let gateway = Arc::new(Gateway::default());
        let handler = {
            let gateway = Arc::clone(&gateway);
            move |request| gateway::answer(Arc::clone(&gateway), request)
        };
        Ok(Self {
            host: Host::new("store", handler)?,
            gateway,
        })
    }

    /// Caps the calls a second; those above are refused. Watches and leases count as reads.
    pub fn with_caps(self, reads_per_second: u32, writes_per_second: u32) -> Self {
        self.gateway.set_caps(reads_per_second, writes_per_second);
        self
    }

    /// The address served.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// The endpoint for a client.
    pub fn url(&self) -> String {
        format!("http://{}", self.host.address())
    }

    /// Begins an outage. Present connections are cut if it refuses connections.
    pub fn stop(&self, outage: Outage) {
        match outage {
            Outage::Refuse => self.host.close(),
            Outage::Hang => self.gateway.faults().set_hanging(true),
        }
    }

    /// Ends any outage. Calls that hang are then carried out, those of callers long gone too.
    pub fn resume(&self) {
        self.gateway.faults().set_hanging(false);
        self.host.open();
    }

    /// A copy of the present state.
    pub fn copy(&self) -> Copy {
        Copy(self.gateway.state().clone())
    }

    /// Comes back from an older copy: what was written since is gone, leases too, and revisions are
    /// given out again. Watches that wait are not told.
    pub fn restore(&self, copy: Copy) {
        self.gateway.restore(copy.0);
    }

    /// Delays every call by that much before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        self.gateway.faults().set_delay(delay);
    }

    /// Holds back all writes, and nothing else, until that ends. What a test writes directly is done.
    pub fn set_writes_hanging(&self, hanging: bool) {
        self.gateway.faults().set_writes_hanging(hanging);
    }

    /// Cuts the connections of the next `count` writes after they have taken effect.
    pub fn lose_answers(&self, count: u32) {
        self.gateway.faults().lose_answers(count);
    }

    /// Begins a hanging outage as soon as `count` more writes have taken effect. Their answers still
    /// go out, but no watch tells of the last one.
    pub fn hang_after_writes(&self, count: u32) {
        self.gateway.faults().hang_after_writes(count);
    }

    /// Makes all present and future watches silent, or ends that for new ones.
    pub fn set_watches_silent(&self, silent: bool) {
        self.gateway.faults().set_watches_silent(silent);
    }

    /// Cuts the connections of all watches of the users' platform that wait.
    pub fn cut_watches(&self) {
        self.gateway.faults().cut_watches();
    }

    /// Keys and prefixes under `prefix` that were read or watched through the platform's calls.
    pub fn reads_of(&self, prefix: &str) -> Vec<String> {
        self.gateway.reads_of(prefix)
    }

    /// Number of calls of a kind that have arrived, refused ones included.
    pub fn calls(&self, kind: Call) -> u64 {
        self.gateway.calls(kind)
    }

    /// Watches that wait now.
    pub fn open_watches(&self) -> usize {
        self.gateway.open_watches()
    }

    /// All writes and deletions, in the order of their revisions.
    pub fn history(&self) -> Vec<Write> {
        self.gateway.state().history().to_vec()
    }

    /// The present record of a key.
    pub fn record(&self, key: &str) -> Option<Record> {
        self.gateway.state().record(key.as_bytes()).cloned()
    }

    /// Removes a key directly, without a call.
    pub fn remove(&self, key: &str) {
        let mut state = self.gateway.state();
        let revision = state.revision() + 1;
        state.delete_at(revision, key.as_bytes(), &[]);
        drop(state);
        self.gateway.notify();
    }

    /// Writes a key directly, without a call; returns the revision.
    pub fn put(&self, key: impl AsRef<[u8]>, value: &[u8]) -> i64 {
        let revision = self.gateway.state().put(key.as_ref(), value);
        self.gateway.notify();
        revision
    }
}
