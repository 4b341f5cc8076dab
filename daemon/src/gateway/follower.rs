//! Follows the platform's store: the configuration, the backend servers, the other gateways and the
//! saved quota use.
//!
//! Runs on a thread of its own, so that decoding a large configuration never delays a request.

mod channel;
mod gateways;
mod origins;
mod quota_use;
mod reads;
mod rejections;
mod rollouts;
mod servers;

pub use {
    channel::{FollowerChannels, Snapshot, StoreHandle, channels},
    origins::SavedOrigins,
};

use {
    self::reads::Reads,
    crate::{
        clock::{self, Clock},
        signal::Shutdown,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tamarackdale_core::{
        cached_config::{Outcome, Reading},
        freshness::BootTime,
        outage::Outage,
        retry::Backoff,
        revision::Revision,
        routing_config::Limits,
    },
    tamarackdale_platform::{
        Settings, configuration,
        settings::Bounds,
        store::{Entry, Error, RevisionCheck, StoreClient},
    },
    tokio::{sync::watch, time::sleep},
};

/// Interval between two checks of the configuration, as a fraction of the time in which a change
/// must take effect, from sending to sending. A check also fetches the change; the rest of the time
/// is for the calls and for decoding.
const CHECK_INTERVAL_FRACTION: f64 = 0.7;

/// Least pause after a check of the configuration, however long it took: leaves the link to requests
/// between two large versions.
const MIN_CHECK_PAUSE: Duration = Duration::from_millis(300);

/// Interval between two checks of the configuration soon after the store was restored from an older
/// copy, when the operator writes again what was lost.
const UNSETTLED_CHECK_INTERVAL: Duration = Duration::from_millis(500);

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

/// Time after an outage or a restoration of the store within which running backend servers whose
/// registration lapsed register again. The platform states about two seconds.
const RECOVERY_TIME: Duration = Duration::from_millis(2_200);

/// Maximum time that a watch waits for changes. Also bounds the time in which a dead connection is
/// noticed.
const WATCH_WAIT: Duration = Duration::from_millis(3_000);

/// Duration of the leases of this gateway's registration and of the saved quota use, unless the
/// store grants only longer ones.
const LEASE: Duration = Duration::from_secs(12);

/// The task that follows the store.
pub struct Follower {
    store: StoreClient,
    settings: watch::Receiver<Arc<Settings>>,
    channels: FollowerChannels,
    reads: Reads,
    shutdown: Shutdown,
    /// Random number that identifies this start of the process.
    boot: u64,
    clock: Clock,
    outage: Mutex<Outage>,
}

impl Follower {
    /// Creates a follower. It calls the store only once it runs.
    pub fn new(
        settings: watch::Receiver<Arc<Settings>>,
        channels: FollowerChannels,
        shutdown: Shutdown,
        boot: u64,
    ) -> Self {
        let endpoint = settings.borrow().store.clone();
        let store = StoreClient::new(&endpoint, WATCH_WAIT, clock::boottime_now);
        Self {
            store,
            settings,
            reads: Reads::new(channels.route.clone()),
            channels,
            shutdown,
            boot,
            clock: Clock::new(),
            outage: Mutex::new(Outage::new(RECOVERY_TIME)),
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

    fn lease_duration(&self) -> Duration {
        LEASE.max(self.settings.borrow().min_lease)
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
                self.follow_origins(),
                self.follow_rollouts(),
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
        // Revision of an entry that cannot be used. The configuration in force stays, unconfirmed.
        let mut rejected = None;
        loop {
            let known = self.channels.configuration.borrow().clone();
            let asked = rejected.or(known.as_ref().map(|known| known.revision));
            self.channels.reader.begin_check();
            let checked = self.check_configuration(known.as_deref(), rejected).await;
            self.end_check(&checked.result, asked);
            let sent = checked.sent;
            let has_failed = checked.result.is_err();
            match (&checked.result, known) {
                (Ok(Some(entry)), known) => {
                    let is_usable = self.apply_configuration(entry, known.as_deref(), sent);
                    rejected = (!is_usable).then_some(entry.revision);
                }
                (Ok(None), Some(known)) if rejected.is_none() => {
                    self.confirm_configuration(&known, sent);
                }
                (Ok(None), _) => {}
                (Err(error), known) => {
                    failures += 1;
                    if !matches!(error, Error::NoKey | Error::Restored) {
                        log_failed_check(known.as_deref(), sent, failures, error);
                    }
                    self.record_store_error("configuration", error);
                }
            }
            if has_failed {
                self.pause_after(failures).await;
                continue;
            }
            failures = 0;
            self.record_store_success();
            let interval = match self.store.eras().is_settled(sent) {
                true => self.check_interval(),
                false => UNSETTLED_CHECK_INTERVAL.min(self.check_interval()),
            };
            self.wait_for_next_check(&checked, interval).await;
        }
    }

    /// Returns the configuration's entry unless it is still at the known revision, or at the
    /// revision that was rejected.
    async fn read_configuration(
        &self,
        known: Option<&Snapshot>,
        rejected: Option<Revision>,
    ) -> Result<Option<Entry>, Error> {
        let Some(known) = known else {
            return self.store.get(configuration::KEY).await.map(Some);
        };
        let on_changed = || {
            let convergence = self.bounds().convergence;
            self.publish_snapshot(known.superseded(convergence));
            self.channels.reader.record_change(known.revision.era);
        };
        let revision = rejected.unwrap_or(known.revision);
        let check = self
            .store
            .check_revision(configuration::KEY, revision, on_changed);
        match check.await {
            Ok(RevisionCheck::Unchanged) => Ok(None),
            Ok(RevisionCheck::Changed(Some(entry))) => Ok(Some(entry)),
            Ok(RevisionCheck::Changed(None)) => Err(Error::NoKey),
            Err(Error::Restored) => self.store.get(configuration::KEY).await.map(Some),
            Err(error) => Err(error),
        }
    }

    /// Applies an entry that was read. Returns whether it can be used; if not, the known
    /// configuration stays in force.
    fn apply_configuration(&self, entry: &Entry, known: Option<&Snapshot>, sent: BootTime) -> bool {
        let revision = entry.revision;
        let read_ms = clock::boottime_now().since(sent).as_millis() as u64;
        let routing_config = match configuration::decode(&entry.value) {
            Ok(routing_config) => routing_config,
            Err(error) => {
                log::error!(revision:% = revision; "configuration rejected: {error}");
                if let Some(known) = known {
                    self.publish_snapshot(known.retained());
                }
                return false;
            }
        };
        let version = routing_config.version();
        let routes = routing_config.route_count();
        let organisations = routing_config.organisations().len();
        let reading = Reading {
            value: routing_config,
            version,
            revision,
            sent,
            is_settled: self.store.eras().is_settled(sent),
        };
        let max_age = self.max_confirmation_age();
        let (snapshot, outcome) = match known {
            Some(known) => known.updated(reading, max_age),
            None => (Snapshot::new(reading, max_age), Outcome::Applied),
        };
        match outcome {
            Outcome::Applied => log::info!(
                version,
                revision:% = revision,
                routes,
                organisations,
                bytes = entry.value.len(),
                read_ms,
                total_ms = clock::boottime_now().since(sent).as_millis() as u64;
                "configuration applied"
            ),
            Outcome::Kept => log::warn!(
                version = snapshot.version,
                version_in_store = version,
                revision:% = revision;
                "configuration kept: the store was restored and shows no newer one"
            ),
            Outcome::Outdated => {
                log::warn!(version, revision:% = revision; "ignoring an older configuration");
            }
        }
        if matches!(outcome, Outcome::Applied) {
            self.publish_timeouts(snapshot.value.limits());
        }
        self.publish_snapshot(snapshot);
        true
    }

    fn publish_timeouts(&self, limits: Limits) {
        let now = clock::boottime_now();
        let window = self.bounds().convergence;
        self.channels.timeouts.send_modify(|timeouts| {
            timeouts.idle.set(limits.idle_timeout, now, window);
            timeouts.head.set(limits.header_timeout, now, window);
        });
    }

    /// Records that the known configuration was unchanged when the check was sent. Until the store
    /// has settled after a restoration, this proves nothing.
    fn confirm_configuration(&self, known: &Snapshot, sent: BootTime) {
        if self.store.eras().is_settled(sent) {
            let max_age = self.max_confirmation_age();
            self.publish_snapshot(known.confirmed(known.revision, sent, max_age));
        }
    }

    fn publish_snapshot(&self, snapshot: Snapshot) {
        let snapshot = Some(Arc::new(snapshot));
        self.channels.configuration.send_replace(snapshot);
    }

    fn record_store_error(&self, what: &str, error: &Error) {
        if matches!(
            error,
            Error::Compacted | Error::NoKey | Error::Restored | Error::WatchLost(_)
        ) {
            log::info!(what; "{error}");
            return;
        }
        if self.lock_outage().record_failure(self.clock.now()) {
            log::warn!(what; "store unavailable: {error}");
        }
    }

    fn record_store_success(&self) {
        if self.lock_outage().record_success(self.clock.now()) {
            log::info!("store available again");
        }
    }

    fn outage(&self) -> Outage {
        *self.lock_outage()
    }

    fn lock_outage(&self) -> MutexGuard<'_, Outage> {
        self.outage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs a check of the configuration that failed, with the version that stays in use and the age of
/// its last confirmation.
fn log_failed_check(known: Option<&Snapshot>, sent: BootTime, failures: u32, error: &Error) {
    let now = clock::boottime_now();
    let age = known.and_then(|known| known.freshness.age(now));
    log::warn!(
        version = known.map(|known| known.version),
        confirmed_ms_ago = age.map(|age| age.as_millis() as u64),
        elapsed_ms = now.since(sent).as_millis() as u64,
        failures;
        "configuration not checked: {error}"
    );
}
