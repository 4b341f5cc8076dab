//! Circuit breaker for calls to an external service.

use {crate::time::Timestamp, std::time::Duration};

/// Consecutive failures after which the breaker opens.
const THRESHOLD: u32 = 3;

/// Time between probes while the breaker is open.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a probe without a result is considered failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Circuit breaker driven by the results of calls to a service.
///
/// While the breaker is open, calls fail immediately instead of waiting for a time-out. Recovery is
/// detected by probes, which are sent one at a time and outside the path of any request.
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
    /// Creates a closed breaker.
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

    /// Sets the number of consecutive failures after which the breaker opens.
    pub fn with_threshold(mut self, failures: u32) -> Self {
        self.threshold = failures;
        self
    }

    /// Sets the time between probes, and the time after which a probe is considered failed.
    pub fn with_probes(mut self, interval: Duration, timeout: Duration) -> Self {
        self.interval = interval;
        self.timeout = timeout;
        self
    }

    /// Whether the breaker is open, that is, the service is considered down.
    pub fn is_open(&self) -> bool {
        self.failures >= self.threshold
    }

    /// Fails while the breaker is open, with the time after which to retry.
    pub fn check(&self, now: Timestamp) -> Result<(), Duration> {
        if !self.is_open() {
            return Ok(());
        }
        Err(self.next_probe.since(now).max(self.interval))
    }

    /// Whether the caller should send a probe now. Its result is recorded like that of any call,
    /// with [`Self::record_success`] or [`Self::record_failure`].
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

    /// Records a successful call and closes the breaker.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.probe = None;
    }

    /// Records a call that failed or timed out.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failures = self.failures.saturating_add(1);
        self.probe = None;
        if self.failures == self.threshold {
            self.next_probe = now.plus(self.interval);
        }
    }
}
