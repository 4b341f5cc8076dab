//! Follows the platform's store: the configuration, the backend servers, the other gateways and the
//! saved quota use.
//!
//! Runs on a thread of its own, so that decoding a large configuration never delays a request.

mod channel;
mod gateways;
mod quota_use;
mod servers;

pub use channel::{FollowerChannels, Snapshot, StoreHandle, channels};

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
        store::{Entry, Error, RevisionCheck, StoreClient},
    },
    tokio::{sync::watch, time::sleep},
};

/// Interval between two checks of the configuration, as a fraction of the time in which a change
/// must take effect. A check also fetches the change; the rest of the time is for the calls and for
/// decoding.
const CHECK_INTERVAL_FRACTION: f64 = 0.7;

/// Backoff after consecutive failed calls. It starts short, for a single lost response, and is at
/// most half of the time in which backend servers register again after an outage of the store.
const RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(300), Duration::from_secs(1));

/// Pause after a watch that returned changes, as a fraction of the time within which draining
/// backend servers must receive no more requests. Changes come in groups, so the pause saves calls,
/// each of which has a cost.
const WATCH_PAUSE_FRACTION: f64 = 0.4;

/// Part of the allowed staleness of the configuration that is reserved for the time between
/// checking a request's API key and its arrival at the backend server.
const STALENESS_RESERVE: Duration = Duration::from_millis(400);

/// Time after an outage of the store within which running backend servers whose registration lapsed
/// register again. The platform states about two seconds.
const RECOVERY_TIME: Duration = Duration::from_millis(2_200);

/// Maximum time that a watch waits for changes. Also bounds the time in which a dead connection is
/// noticed.
const WATCH_WAIT: Duration = Duration::from_millis(3_000);

/// Duration of the leases of this gateway's registration and of the saved quota use.
const LEASE: Duration = Duration::from_secs(12);

/// The task that follows the store.
pub struct Follower {
    store: StoreClient,
    settings: watch::Receiver<Arc<Settings>>,
    channels: FollowerChannels,
    shutdown: Shutdown,
    /// Random number that identifies this start of the process.
    boot: u64,
    /// When a call to the store last failed. `None` while the store is available.
    last_store_error: watch::Sender<Option<Instant>>,
}

impl Follower {
    /// Creates a follower. It calls the store only once it runs.
    pub fn new(
        settings: watch::Receiver<Arc<Settings>>,
        channels: FollowerChannels,
        shutdown: Shutdown,
        boot: u64,
    ) -> Self {
        let (last_store_error, _) = watch::channel(None);
        let store = StoreClient::new(&settings.borrow().store, WATCH_WAIT);
        Self {
            store,
            settings,
            channels,
            shutdown,
            boot,
            last_store_error,
        }
    }

    /// Pauses after `failures` consecutive failed calls, including the last one.
    async fn pause_after(&self, failures: u32) {
        let delay = RETRY_BACKOFF.delay(failures.saturating_sub(1), self.boot);
        sleep(delay).await;
    }

    /// Current bounds from the settings.
    fn bounds(&self) -> Bounds {
        self.settings.borrow().bounds
    }

    fn check_interval(&self) -> Duration {
        self.bounds().convergence.mul_f64(CHECK_INTERVAL_FRACTION)
    }

    fn watch_pause(&self) -> Duration {
        self.bounds().drain.mul_f64(WATCH_PAUSE_FRACTION)
    }

    /// How long a successful check confirms that the configuration is current.
    fn max_confirmation_age(&self) -> Duration {
        let allowed = self.bounds().max_key_staleness;
        allowed.saturating_sub(STALENESS_RESERVE)
    }

    /// Follows the store until the shutdown cancels all tasks.
    pub async fn run(self) {
        let follow = async {
            tokio::join!(
                self.follow_configuration(),
                self.follow_servers(),
                self.follow_gateways(),
                self.follow_quota_use(),
            )
        };
        tokio::select! {
            _ = follow => {}
            () = self.shutdown.aborting.cancelled() => {}
        }
    }

    /// Periodically checks that the configuration is current. If it is not, the check returns the
    /// newer one.
    async fn follow_configuration(&self) {
        let mut failures = 0;
        loop {
            let sent = clock::boottime_now();
            let known = self.channels.configuration.borrow().clone();
            let result = match &known {
                None => self.store.get(configuration::KEY).await.map(Some),
                Some(known) => match self
                    .store
                    .check_revision(configuration::KEY, known.revision)
                    .await
                {
                    Ok(RevisionCheck::Unchanged) => Ok(None),
                    Ok(RevisionCheck::Changed(Some(entry))) => Ok(Some(entry)),
                    Ok(RevisionCheck::Changed(None)) => Err(Error::NoKey),
                    Err(error) => Err(error),
                },
            };
            let has_failed = result.is_err();
            match (result, known) {
                (Ok(Some(entry)), known) => {
                    self.apply_configuration(&entry, known.as_deref(), sent)
                }
                (Ok(None), Some(known)) => self.confirm_configuration(&known, sent),
                (Ok(None), None) => {}
                (Err(error), _) => self.record_store_error("configuration", &error),
            }
            if has_failed {
                failures += 1;
                self.pause_after(failures).await;
                continue;
            }
            failures = 0;
            self.record_store_success();
            sleep(self.check_interval()).await;
        }
    }

    fn apply_configuration(&self, entry: &Entry, known: Option<&Snapshot>, sent: BootTime) {
        if known.is_some_and(|known| !known.is_older_than(entry.revision)) {
            log::warn!(revision = entry.revision; "ignoring an older configuration");
            return;
        }
        let routing_config = match configuration::decode(&entry.value) {
            Ok(routing_config) => routing_config,
            Err(error) => {
                log::error!(revision = entry.revision; "configuration rejected: {error}");
                return;
            }
        };
        log::info!(
            version = routing_config.version(),
            revision = entry.revision,
            routes = routing_config.route_count(),
            organisations = routing_config.organisations().len();
            "configuration applied"
        );
        let snapshot = Snapshot::new(
            routing_config,
            entry.revision,
            sent,
            self.max_confirmation_age(),
        );
        self.publish_snapshot(snapshot);
    }

    fn confirm_configuration(&self, known: &Snapshot, sent: BootTime) {
        self.publish_snapshot(known.confirmed(known.revision, sent, self.max_confirmation_age()));
    }

    fn publish_snapshot(&self, snapshot: Snapshot) {
        let snapshot = Some(Arc::new(snapshot));
        self.channels.configuration.send_replace(snapshot);
    }

    fn record_store_error(&self, what: &str, error: &Error) {
        if matches!(error, Error::Compacted | Error::NoKey) {
            log::info!(what; "{error}");
            return;
        }
        let previous = self.last_store_error.send_replace(Some(Instant::now()));
        if previous.is_none() {
            log::warn!(what; "store unavailable: {error}");
        }
    }

    /// Records a successful call. The store counts as available again once the last failed call is
    /// long enough ago.
    fn record_store_success(&self) {
        let is_over = |at: &Instant| at.elapsed() > RECOVERY_TIME * 2;
        if self.last_store_error.borrow().as_ref().is_some_and(is_over) {
            self.last_store_error.send_replace(None);
            log::info!("store available again");
        }
    }
}
