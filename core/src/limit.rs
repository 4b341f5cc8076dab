//! Rate and concurrency limits of organisations, shared over the live routers.

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
    /// Requests per second over all routers.
    pub rate: Option<f64>,
    /// Requests in progress at once over all routers.
    pub concurrency: Option<u32>,
}

/// This router's place among the live routers, which share each limit evenly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterShare {
    index: u32,
    count: u32,
}

impl RouterShare {
    /// The place `index` (0 the first, by name) among `count` routers.
    pub fn new(index: u32, count: u32) -> Self {
        let count = count.max(1);
        Self {
            index: index.min(count - 1),
            count,
        }
    }

    /// This router's part of a concurrency limit; the parts of all routers add up to the whole.
    pub fn concurrency(self, whole: u32) -> u32 {
        whole / self.count + u32::from(self.index < whole % self.count)
    }

    /// This router's part of a rate.
    pub fn rate(self, whole: f64) -> f64 {
        whole / f64::from(self.count)
    }
}

/// Time's worth of the rate that an organisation may use at once.
const BURST_S: f64 = 1.0;

/// Delay after which a request refused for concurrency is worth sending again, before any request
/// of the organisation has ended.
const INITIAL_DURATION_S: f64 = 1.0;

/// Weight of the newest duration in the average.
const DURATION_WEIGHT: f64 = 0.1;

struct Usage {
    /// Requests that may be taken at once; below zero after the share has shrunk.
    tokens: f64,
    filled: Timestamp,
    running: u32,
    duration_s: f64,
}

/// Use of the limits by all organisations of one service, at one router.
pub struct Limiter {
    share: RouterShare,
    usages: HashMap<String, Usage>,
}

impl Limiter {
    /// A limiter of which nothing is used.
    pub fn new(share: RouterShare) -> Self {
        Self {
            share,
            usages: HashMap::new(),
        }
    }

    /// Takes over a change of the number of live routers.
    pub fn set_share(&mut self, share: RouterShare) {
        self.share = share;
    }

    /// Takes a request into the organisation's limits; [`Self::release`] must follow. Fails with
    /// [`Reason::OrganisationLimit`] and the time until there is room.
    pub fn acquire(
        &mut self,
        organisation: &str,
        bound: Limits,
        now: Timestamp,
    ) -> Result<(), Failure> {
        let share = self.share;
        let burst = bound.rate.map(|rate| burst(share.rate(rate)));
        let usage = self.usage(organisation, burst.unwrap_or_default(), now);
        if let Some(whole) = bound.concurrency
            && usage.running >= share.concurrency(whole)
        {
            return Err(refuse(time::seconds(
                usage.duration_s / f64::from(usage.running.max(1)),
            )));
        }
        if let Some(rate) = bound.rate.map(|rate| share.rate(rate)) {
            usage.fill(rate, now);
            if usage.tokens < 1.0 {
                return Err(refuse(time::seconds((1.0 - usage.tokens) / rate.max(1e-6))));
            }
            usage.tokens -= 1.0;
        }
        usage.running += 1;
        Ok(())
    }

    /// Gives back the place of a request that was taken in and has ended after `duration`.
    pub fn release(&mut self, organisation: &str, duration: Duration) {
        if let Some(usage) = self.usages.get_mut(organisation) {
            usage.running = usage.running.saturating_sub(1);
            usage.duration_s += (duration.as_secs_f64() - usage.duration_s) * DURATION_WEIGHT;
        }
    }

    fn usage(&mut self, organisation: &str, burst: f64, now: Timestamp) -> &mut Usage {
        if !self.usages.contains_key(organisation) {
            let usage = Usage {
                tokens: burst,
                filled: now,
                running: 0,
                duration_s: INITIAL_DURATION_S,
            };
            self.usages.insert(organisation.to_owned(), usage);
        }
        self.usages
            .get_mut(organisation)
            .expect("the organisation was inserted above")
    }
}

impl Usage {
    fn fill(&mut self, rate: f64, now: Timestamp) {
        let elapsed = now.since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min(burst(rate));
        self.filled = now;
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}

fn refuse(delay: Duration) -> Failure {
    Failure::not_run(Reason::OrganisationLimit).with_retry_after(delay)
}
