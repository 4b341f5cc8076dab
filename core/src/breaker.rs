//! Circuit breaker in front of an outside service.

use {crate::time::Timestamp, std::time::Duration};

/// Failures in a row after which the service counts as down.
const THRESHOLD: u32 = 3;

/// Time between probes of a service that is down.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a probe without a result counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Tells from a service's recent calls whether it is down, and when to probe it.
///
/// While the service is down, calls are refused at once and nobody waits for it: its return is
/// found by probes, one at a time, which are not on any request's path.
#[derive(Clone, Debug)]
pub struct Breaker {
    threshold: u32,
    interval: Duration,
    timeout: Duration,
    failures: u32,
    next_probe: Timestamp,
    probe: Option<Timestamp>,
}

impl Default for Breaker {
    fn default() -> Self {
        Self::new()
    }
}

impl Breaker {
    /// The breaker of a service that is taken to be up.
    pub fn new() -> Self {
        Self {
            threshold: THRESHOLD,
            interval: PROBE_INTERVAL,
            timeout: PROBE_TIMEOUT,
            failures: 0,
            next_probe: Timestamp::START,
            probe: None,
        }
    }

    /// Sets the number of failures in a row after which the service counts as down.
    pub fn with_threshold(mut self, failures: u32) -> Self {
        self.threshold = failures;
        self
    }

    /// Sets the time between probes, and the time after which one counts as failed.
    pub fn with_probes(mut self, interval: Duration, timeout: Duration) -> Self {
        self.interval = interval;
        self.timeout = timeout;
        self
    }

    /// Whether the service counts as down.
    pub fn is_open(&self) -> bool {
        self.failures >= self.threshold
    }

    /// Refuses a call to a service that is down; the error is when to come back.
    pub fn check(&self, now: Timestamp) -> Result<(), Duration> {
        if !self.is_open() {
            return Ok(());
        }
        Err(self.next_probe.since(now).max(self.interval))
    }

    /// Whether to send a probe now; the caller reports its result like that of any call.
    pub fn start_probe(&mut self, now: Timestamp) -> bool {
        let running = self
            .probe
            .is_some_and(|started| now.since(started) < self.timeout);
        if !self.is_open() || running || now < self.next_probe {
            return false;
        }
        self.probe = Some(now);
        self.next_probe = now.plus(self.interval);
        true
    }

    /// Records that the service answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.probe = None;
    }

    /// Records that a call failed or was not answered in time.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failures = self.failures.saturating_add(1);
        self.probe = None;
        if self.failures == self.threshold {
            self.next_probe = now.plus(self.interval);
        }
    }
}
