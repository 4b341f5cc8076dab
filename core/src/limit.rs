//! Rate and concurrency limits of organisations, divided among the live routers.

use {
    crate::{
        failure::{Failure, Reason},
        time::{self, Timestamp},
    },
    std::{collections::HashMap, time::Duration},
};

/// An organisation's limits, from the service's document.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Requests per second, summed over all routers.
    pub rate: Option<f64>,
    /// Concurrent requests, summed over all routers.
    pub concurrency: Option<u32>,
}

/// This router's share of each limit, which is divided evenly among the live routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterShare {
    index: u32,
    count: u32,
}

impl RouterShare {
    /// Creates the share of the router with position `index`, starting at 0, among `count` routers
    /// sorted by name.
    pub fn new(index: u32, count: u32) -> Self {
        let count = count.max(1);
        Self {
            index: index.min(count - 1),
            count,
        }
    }

    /// This router's part of a concurrency limit. The parts of all routers add up to the limit.
    pub fn concurrency(self, limit: u32) -> u32 {
        limit / self.count + u32::from(self.index < limit % self.count)
    }

    /// This router's part of a rate.
    pub fn rate(self, limit: f64) -> f64 {
        limit / f64::from(self.count)
    }
}

/// Capacity of the token bucket, as seconds of the rate.
const BURST_S: f64 = 1.0;

/// Request duration assumed for the retry delay of a request over the concurrency limit, before any
/// request of the organisation has ended.
const INITIAL_DURATION_S: f64 = 1.0;

/// Weight of the newest duration in the moving average.
const DURATION_WEIGHT: f64 = 0.1;

struct Usage {
    /// Requests that may be accepted at once.
    tokens: f64,
    refilled_at: Timestamp,
    running: u32,
    average_duration_s: f64,
}

/// Enforces the limits of all organisations of one service at one router.
pub struct Limiter {
    share: RouterShare,
    usages: HashMap<String, Usage>,
}

impl Limiter {
    /// Creates a limiter without requests in progress.
    pub fn new(share: RouterShare) -> Self {
        Self {
            share,
            usages: HashMap::new(),
        }
    }

    /// Updates the share after the set of live routers has changed.
    pub fn set_share(&mut self, share: RouterShare) {
        self.share = share;
    }

    /// Counts a request towards the organisation's limits; [`Self::release`] must follow. Fails
    /// with [`Reason::OrganisationLimit`] and a retry delay if a limit is exceeded.
    pub fn acquire(
        &mut self,
        organisation: &str,
        limits: Limits,
        now: Timestamp,
    ) -> Result<(), Failure> {
        let share = self.share;
        let burst = limits.rate.map(|rate| burst(share.rate(rate)));
        let usage = self.usage(organisation, burst.unwrap_or_default(), now);
        if let Some(limit) = limits.concurrency
            && usage.running >= share.concurrency(limit)
        {
            return Err(limit_exceeded(time::seconds(
                usage.average_duration_s / f64::from(usage.running.max(1)),
            )));
        }
        if let Some(rate) = limits.rate.map(|rate| share.rate(rate)) {
            usage.refill(rate, now);
            if usage.tokens < 1.0 {
                return Err(limit_exceeded(time::seconds(
                    (1.0 - usage.tokens) / rate.max(1e-6),
                )));
            }
            usage.tokens -= 1.0;
        }
        usage.running += 1;
        Ok(())
    }

    /// Releases an acquired request that has ended after `duration`.
    pub fn release(&mut self, organisation: &str, duration: Duration) {
        if let Some(usage) = self.usages.get_mut(organisation) {
            usage.running = usage.running.saturating_sub(1);
            usage.average_duration_s +=
                (duration.as_secs_f64() - usage.average_duration_s) * DURATION_WEIGHT;
        }
    }

    fn usage(&mut self, organisation: &str, burst: f64, now: Timestamp) -> &mut Usage {
        if !self.usages.contains_key(organisation) {
            let usage = Usage {
                tokens: burst,
                refilled_at: now,
                running: 0,
                average_duration_s: INITIAL_DURATION_S,
            };
            self.usages.insert(organisation.to_owned(), usage);
        }
        self.usages
            .get_mut(organisation)
            .expect("the organisation was inserted above")
    }
}

impl Usage {
    fn refill(&mut self, rate: f64, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min(burst(rate));
        self.refilled_at = now;
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}

fn limit_exceeded(delay: Duration) -> Failure {
    Failure::not_run(Reason::OrganisationLimit).with_retry_after(delay)
}
