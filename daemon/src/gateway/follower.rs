//! Follows the platform's store: the configuration, the backend servers and the other gateways.
//!
//! A thread of its own, so that reading a large configuration never delays a request.

mod channel;
mod gateways;
mod quota_use;
mod servers;

pub use channel::{Followed, Publisher, Snapshot, channels};

use {
    crate::{clock, signal::Shutdown},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tamarackdale_core::{freshness::BootTime, retry::Backoff},
    tamarackdale_platform::{
        Settings, configuration,
        settings::Bounds,
        store::{Check, Entry, Error, Store},
    },
    tokio::{sync::watch, time::sleep},
};

/// Part of the time within which a change must be in force everywhere that lies between two proofs
/// of the configuration, as a proof also brings the change; the rest is for the calls and the
/// reading.
const PROOF_PART: f64 = 0.7;

/// Pauses after calls that failed in a row: short after a single answer that was lost, and no longer
/// than half of the time in which registrations are back after the store's return.
const RETRIES: Backoff = Backoff::new(Duration::from_millis(300), Duration::from_secs(1));

/// Part of the time within which leaving backend servers must get no more requests that passes
/// after a watch that told something: changes come in groups, and each call has its price.
const WATCH_PAUSE_PART: f64 = 0.4;

/// Part of the allowed age of a proof that is kept for the way from the check to the backend
/// server.
const FRESHNESS_RESERVE: Duration = Duration::from_millis(400);

/// Time after the store's return within which lapsed registrations of living backend servers are
/// back; the platform states about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// Time that a watch waits for changes. A connection that went silent is noticed after it.
const WATCH_WAIT: Duration = Duration::from_millis(3_000);

/// Lease of this gateway's own registration.
const LEASE: Duration = Duration::from_secs(12);

/// The duty.
pub struct Follower {
    store: Store,
    settings: watch::Receiver<Arc<Settings>>,
    publisher: Publisher,
    shutdown: Shutdown,
    /// Random number of this start.
    boot: u64,
    trouble: watch::Sender<Option<Instant>>,
}

impl Follower {
    /// A follower that has not asked for anything.
    pub fn new(
        settings: watch::Receiver<Arc<Settings>>,
        publisher: Publisher,
        shutdown: Shutdown,
        boot: u64,
    ) -> Self {
        let (trouble, _) = watch::channel(None);
        let store = Store::new(&settings.borrow().store, WATCH_WAIT);
        Self {
            store,
            settings,
            publisher,
            shutdown,
            boot,
            trouble,
        }
    }

    /// Pauses after so many calls in a row that failed, the last one included.
    async fn pause_after(&self, failures: u32) {
        let delay = RETRIES.delay(failures.saturating_sub(1), self.boot);
        sleep(delay).await;
    }

    /// Bounds as they are now.
    fn bounds(&self) -> Bounds {
        self.settings.borrow().bounds
    }

    fn proof_interval(&self) -> Duration {
        self.bounds().convergence.mul_f64(PROOF_PART)
    }

    fn watch_pause(&self) -> Duration {
        self.bounds().drain.mul_f64(WATCH_PAUSE_PART)
    }

    /// How long a proof of the configuration counts.
    fn proof_limit(&self) -> Duration {
        let allowed = self.bounds().key_freshness;
        allowed.saturating_sub(FRESHNESS_RESERVE)
    }

    /// Follows until the process is cut.
    pub async fn run(self) {
        let follow = async {
            tokio::join!(
                self.follow_configuration(),
                self.follow_servers(),
                self.follow_gateways(),
                self.keep_quota_use(),
            )
        };
        tokio::select! {
            _ = follow => {}
            () = self.shutdown.aborting.cancelled() => {}
        }
    }

    /// Proves the configuration again and again; a proof that fails brings the newer one.
    async fn follow_configuration(&self) {
        let mut failures = 0;
        loop {
            let sent = clock::boottime_now();
            let known = self.publisher.configuration.borrow().clone();
            let result = match &known {
                None => self.store.get(configuration::KEY).await.map(Some),
                Some(known) => match self.store.check(configuration::KEY, known.revision).await {
                    Ok(Check::Unchanged) => Ok(None),
                    Ok(Check::Changed(Some(entry))) => Ok(Some(entry)),
                    Ok(Check::Changed(None)) => Err(Error::NoKey),
                    Err(error) => Err(error),
                },
            };
            let is_lost = result.is_err();
            match (result, known) {
                (Ok(Some(entry)), known) => self.adopt(&entry, known.as_deref(), sent),
                (Ok(None), Some(known)) => self.prove(&known, sent),
                (Ok(None), None) => {}
                (Err(error), _) => self.lose("configuration", &error),
            }
            if is_lost {
                failures += 1;
                self.pause_after(failures).await;
                continue;
            }
            failures = 0;
            self.regain();
            sleep(self.proof_interval()).await;
        }
    }

    fn adopt(&self, entry: &Entry, known: Option<&Snapshot>, sent: BootTime) {
        if known.is_some_and(|known| !known.is_older_than(entry.revision)) {
            log::warn!(revision = entry.revision; "an older configuration was read and is ignored");
            return;
        }
        let directory = match configuration::decode(&entry.value) {
            Ok(directory) => directory,
            Err(error) => {
                log::error!(revision = entry.revision; "configuration not adopted: {error}");
                return;
            }
        };
        log::info!(
            version = directory.version(),
            revision = entry.revision,
            routes = directory.route_count(),
            organisations = directory.organisations().len();
            "configuration adopted"
        );
        let snapshot = Snapshot::new(directory, entry.revision, sent, self.proof_limit());
        self.publish_snapshot(snapshot);
    }

    fn prove(&self, known: &Snapshot, sent: BootTime) {
        self.publish_snapshot(known.proved(known.revision, sent, self.proof_limit()));
    }

    fn publish_snapshot(&self, snapshot: Snapshot) {
        let snapshot = Some(Arc::new(snapshot));
        self.publisher.configuration.send_replace(snapshot);
    }

    fn lose(&self, what: &str, error: &Error) {
        if matches!(error, Error::HistoryGone | Error::NoKey) {
            log::info!(what; "{error}");
            return;
        }
        if self.trouble.send_replace(Some(Instant::now())).is_none() {
            log::warn!(what; "store lost: {error}");
        }
    }

    /// Notes an answer; trouble is over when it lies long enough back.
    fn regain(&self) {
        let is_over = |at: &Instant| at.elapsed() > RETURN_GRACE * 2;
        if self.trouble.borrow().as_ref().is_some_and(is_over) {
            self.trouble.send_replace(None);
            log::info!("store regained");
        }
    }
}
