//! Faults of the store.

use {
    super::Call,
    std::{
        sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
};

/// How an outage shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are refused.
    Refuse,
    /// Calls are taken and not answered.
    Hang,
}

/// Faults in force.
#[derive(Default)]
pub(super) struct Faults {
    hanging: tokio::sync::watch::Sender<bool>,
    writes_hanging: tokio::sync::watch::Sender<bool>,
    delay_micros: AtomicU64,
    lost_answers: AtomicU32,
    /// Writes until the outage; zero for no outage to come.
    writes_left: AtomicU32,
    /// Incremented whenever present watches fall silent for good.
    silence: AtomicU64,
    watches_silent: AtomicBool,
    /// Incremented whenever the watches that wait are cut.
    cuts: tokio::sync::watch::Sender<u64>,
}

impl Faults {
    pub fn set_hanging(&self, hanging: bool) {
        self.hanging.send_replace(hanging);
    }

    pub fn set_writes_hanging(&self, hanging: bool) {
        self.writes_hanging.send_replace(hanging);
    }

    pub fn set_delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.delay_micros.store(micros, Ordering::SeqCst);
    }

    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    pub fn set_watches_silent(&self, silent: bool) {
        self.watches_silent.store(silent, Ordering::SeqCst);
        if silent {
            self.silence.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Waits until a call may be carried out.
    pub async fn pass(&self, kind: Call) {
        let delay = Duration::from_micros(self.delay_micros.load(Ordering::SeqCst));
        tokio::time::sleep(delay).await;
        let mut hanging = self.hanging.subscribe();
        // The sender lives as long as `self`, so the wait ends only when the outage does.
        let _ = hanging.wait_for(|hanging| !hanging).await;
        if kind == Call::Write {
            let mut hanging = self.writes_hanging.subscribe();
            let _ = hanging.wait_for(|hanging| !hanging).await;
        }
    }

    /// Whether the answer of this write is to be lost.
    pub fn take_lost_answer(&self) -> bool {
        self.lost_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            })
            .is_ok()
    }

    pub fn hang_after_writes(&self, count: u32) {
        self.writes_left.store(count, Ordering::SeqCst);
    }

    /// Counts a write that has taken effect, and begins the outage if it was the last before it.
    pub fn count_write(&self) {
        let left = self
            .writes_left
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            });
        if left == Ok(1) {
            self.set_hanging(true);
        }
    }

    /// Cuts the connections of all watches that wait.
    pub fn cut_watches(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Tells when the watches that wait are cut.
    pub fn subscribe_cuts(&self) -> tokio::sync::watch::Receiver<u64> {
        self.cuts.subscribe()
    }

    /// Number of times that watches fell silent; a watch opened before the last is silent.
    pub fn silence(&self) -> u64 {
        self.silence.load(Ordering::SeqCst)
    }

    /// Whether watches opened now are silent.
    pub fn are_watches_silent(&self) -> bool {
        self.watches_silent.load(Ordering::SeqCst)
    }
}
