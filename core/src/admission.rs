//! Admission under overload: in which order requests of the same urgency get the slots of a service.
//!
//! The order of ranks and stages ([`crate::wait_queue`]) comes first. Each router decides for the
//! requests that wait at it.

mod forecast;
mod returns;
mod shares;
mod sizes;
mod window;

pub use self::{
    forecast::{Forecast, Waiting},
    returns::{Return, Returns},
    shares::{InvalidWork, Shares, Work},
    sizes::{Class, Sizes},
};

use {
    crate::{rendezvous, tier::Rank, time::Timestamp},
    derive_more::Display,
    std::time::Duration,
};

/// Weight of an output token in the size of a request; a prompt token has a weight of one.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;

/// Attributes of a request that decide between requests of the same urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Subject {
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Hash of the name of the route.
    pub kind: u64,
    /// Weighted number of tokens; zero if the request states none.
    pub size: f64,
}

/// Position among the requests of a rank and stage; the smaller is served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// Whether its organisation has more than its part of the service.
    pub is_over_share: bool,
    /// Whether its size class gets at least the least part of its kind's share.
    pub is_class_served: bool,
    /// Steps of the predicted slot time relative to the worth.
    pub cost: i32,
}

/// What decided the position of a request among those of its rank and stage.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Factor {
    /// Its organisation has more than its part of the service.
    Share,
    /// It is larger than the mean of its kind.
    Size,
    /// Neither: only the time that it has left, or the lack of slots for its rank and stage.
    Time,
}

/// Admission to one service at one router.
#[derive(Debug, Default)]
pub struct Admission {
    forecast: Forecast,
    returns: Returns,
    shares: Shares,
    sizes: Sizes,
}

impl Subject {
    /// Creates the subject of a request from the names of its organisation and route, and its prompt
    /// and expected output in tokens.
    pub fn new(organisation: &str, route: &str, prompt: u32, output: u32) -> Self {
        Self {
            organisation: rendezvous::hash(organisation),
            kind: rendezvous::hash(route),
            size: f64::from(prompt) + OUTPUT_TOKEN_WEIGHT * f64::from(output),
        }
    }
}

impl Admission {
    /// Creates the state of a router that has had no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forecast of who gets a slot in time.
    pub fn forecast_mut(&mut self) -> &mut Forecast {
        &mut self.forecast
    }

    /// Times at which refused callers return.
    pub fn returns_mut(&mut self) -> &mut Returns {
        &mut self.returns
    }

    /// Records a request of the rank that asks for a slot, which it would occupy for about `slot_time`.
    pub fn record_arrival(
        &mut self,
        subject: Subject,
        rank: Rank,
        slot_time: Duration,
        is_retry: bool,
        now: Timestamp,
    ) {
        if !is_retry {
            self.returns.record_arrival(rank, slot_time, now);
        }
        self.shares
            .record_arrival(subject.organisation, is_retry, now);
        self.sizes.record_arrival(subject, is_retry, now);
    }

    /// Records a request that got a slot, which it occupies for about `slot_time`.
    pub fn record_start(&mut self, subject: Subject, slot_time: Duration, now: Timestamp) {
        self.forecast.record_start(slot_time, now);
        self.shares
            .record_start(subject.organisation, slot_time, now);
        self.sizes.record_start(subject, now);
    }

    /// Use of the service by organisations at this router, for its peers.
    pub fn work(&mut self, now: Timestamp) -> Work {
        self.shares.prune(now);
        self.shares.work()
    }

    /// Replaces what a peer has said of the use of the service there.
    ///
    /// # Errors
    ///
    /// If a value is out of range.
    pub fn merge_work(&mut self, peer: u64, work: Work, now: Timestamp) -> Result<(), InvalidWork> {
        self.shares.merge(peer, work, now)
    }

    /// What decides the position of a request.
    pub fn factor(&self, subject: Subject, now: Timestamp) -> Factor {
        if self.shares.is_over(subject.organisation, now) {
            return Factor::Share;
        }
        let is_large = subject.size > 0.0 && self.sizes.worth(subject) > 1.0;
        match is_large && self.sizes.is_class_served(subject, now) {
            true => Factor::Size,
            false => Factor::Time,
        }
    }

    /// Position of a waiting request with the predicted slot time.
    pub fn precedence(&self, subject: Subject, slot_time: Duration, now: Timestamp) -> Precedence {
        let cost = match self.sizes.is_class_served(subject, now) {
            true => Some(self.sizes.cost(subject, slot_time)),
            false => None,
        };
        Precedence {
            is_over_share: self.shares.is_over(subject.organisation, now),
            is_class_served: cost.is_some(),
            cost: cost.unwrap_or_default(),
        }
    }
}
