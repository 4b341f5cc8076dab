//! The share of the new version over the time of a rollout.

use std::time::Duration;

/// Part of the canary share that is used: the rest covers requests that are repeated or resumed.
const CANARY_FRACTION: f64 = 0.8;

/// Part of the ramp at which the share begins to rise.
const RISE_START: f64 = 0.5;

/// Part of the ramp at which the slow part of the rise ends.
const SLOW_RISE_END: f64 = 0.73;

/// Share at the end of the slow part of the rise, in canary shares. A version that turns bad at 0.7 of the
/// ramp has got 0.062 of all requests by then, and reaches a bound of 0.1 another 0.103 of the ramp later.
const SLOW_RISE_SHARES: f64 = 1.5;

/// Part of the ramp at which the new version gets all requests.
const RISE_END: f64 = 0.8;

/// Least part of the ramp between the first server of the version and the rise.
const MIN_CANARY: f64 = 0.15;

/// Least part of the ramp that the rise takes.
const MIN_RISE: f64 = 0.1;

/// Time before the deadline at which a rollout is completed, although requests run at the old version.
const MAX_MARGIN: Duration = Duration::from_secs(1);

/// The same as a part of a short ramp.
const MARGIN_FRACTION: f64 = 0.1;

/// Schedule of one rollout. Times count from the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    ramp_s: f64,
    exposure_share: f64,
    /// When the rise begins and ends.
    rise: (f64, f64),
}

impl Schedule {
    /// A schedule whose version had its first server at `ready`.
    pub fn new(ramp: Duration, ready: Duration, exposure_share: f64) -> Self {
        let ramp_s = ramp.as_secs_f64().max(0.001);
        let ready = ready.as_secs_f64() / ramp_s;
        let start = RISE_START.max(ready + MIN_CANARY).min(RISE_END);
        let end = RISE_END.max(start + MIN_RISE);
        Self {
            ramp_s,
            exposure_share,
            rise: (start, end),
        }
    }

    /// Share of the canary.
    pub fn canary(&self) -> f64 {
        self.exposure_share * CANARY_FRACTION
    }

    /// Part of the ramp that has passed.
    pub fn progress(&self, elapsed: Duration) -> f64 {
        elapsed.as_secs_f64() / self.ramp_s
    }

    /// Share of the new version after `elapsed`, if its answers are good.
    pub fn share(&self, elapsed: Duration) -> f64 {
        let progress = self.progress(elapsed);
        let (start, end) = self.rise;
        let slow_end = SLOW_RISE_END.max(start).min(end);
        let top = (self.exposure_share * SLOW_RISE_SHARES)
            .min(1.0)
            .max(self.canary());
        if progress < start {
            return self.canary();
        }
        if progress < slow_end {
            let part = (progress - start) / (slow_end - start);
            return self.canary() + (top - self.canary()) * part;
        }
        if progress < end {
            let part = (progress - slow_end) / (end - slow_end);
            return top + (1.0 - top) * part * part;
        }
        1.0
    }

    /// Whether the share may be above that of the canary.
    pub fn is_rising(&self, elapsed: Duration) -> bool {
        self.progress(elapsed) >= self.rise.0
    }

    /// Whether the version may rise although it has too few answers for a verdict.
    pub fn is_late(&self, elapsed: Duration) -> bool {
        self.progress(elapsed) >= SLOW_RISE_END.max(self.rise.0)
    }

    /// Whether the new version gets all requests.
    pub fn is_full(&self, elapsed: Duration) -> bool {
        self.progress(elapsed) >= self.rise.1
    }

    /// Whether the time is over for requests that run at the old version.
    pub fn is_final(&self, elapsed: Duration) -> bool {
        let margin = (self.ramp_s * MARGIN_FRACTION).min(MAX_MARGIN.as_secs_f64());
        elapsed.as_secs_f64() >= self.ramp_s - margin
    }
}
