//! Start times of the processes to which connections lead.
//!
//! A connection ends with the process at its other end. Those that are open at the same time therefore
//! lead to the same process of a backend server, and what one of them has shown holds for the others. The
//! end of a process that lost power or was cut off is noticed late; until then that is not so.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
};

/// Whether the end of a connection would be noticed now.
#[derive(Debug, Default)]
pub struct Liveness(AtomicBool);

impl Liveness {
    /// Records whether the connection is open and awaits bytes. While received bytes are not read, as
    /// those for a slow caller, its end is not seen.
    pub fn set_awaiting(&self, is_awaiting: bool) {
        self.0.store(is_awaiting, Ordering::Relaxed);
    }

    fn is_awaiting(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection whose process is known.
#[derive(Debug)]
struct Witness {
    started_at_ms: u64,
    liveness: Weak<Liveness>,
}

impl Witness {
    fn is_alive(&self) -> bool {
        let liveness = self.liveness.upgrade();
        liveness.is_some_and(|liveness| liveness.is_awaiting())
    }
}

/// What is known of one backend server.
#[derive(Debug, Default)]
struct Known {
    witnesses: Vec<Witness>,
    /// Held while the process is asked, so that of connections opened at once one asks.
    turn: Arc<tokio::sync::Mutex<()>>,
}

/// Processes of the backend servers by identifier.
#[derive(Debug, Default)]
pub struct Processes(Mutex<HashMap<String, Known>>);

impl Processes {
    /// Start time of the present process, in Unix milliseconds, if an open connection has shown it.
    pub fn started_at_ms(&self, id: &str) -> Option<u64> {
        self.with_known(id, |known| {
            let mut witnesses = known.witnesses.iter();
            let alive = witnesses.find(|witness| witness.is_alive())?;
            Some(alive.started_at_ms)
        })
    }

    /// Records that the process that started at `started_at_ms` has just stated that on a connection.
    /// Connections that have shown another one lead to it no more.
    pub fn record(&self, id: &str, started_at_ms: u64, liveness: &Arc<Liveness>) {
        let witness = Witness {
            started_at_ms,
            liveness: Arc::downgrade(liveness),
        };
        self.with_known(id, |known| {
            known.witnesses.retain(|known| {
                known.started_at_ms == started_at_ms && known.liveness.strong_count() > 0
            });
            known.witnesses.push(witness);
        });
    }

    /// What is held by the one that asks the process.
    pub fn turn(&self, id: &str) -> Arc<tokio::sync::Mutex<()>> {
        self.with_known(id, |known| Arc::clone(&known.turn))
    }

    /// Forgets the backend servers for which `is_registered` is false.
    pub fn retain(&self, is_registered: impl Fn(&str) -> bool) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|id, _| is_registered(id));
    }

    fn with_known<T>(&self, id: &str, read: impl FnOnce(&mut Known) -> T) -> T {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = all.get_mut(id) {
            return read(known);
        }
        read(all.entry(id.to_owned()).or_default())
    }
}
