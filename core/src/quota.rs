//! Quotas that all routers keep together.
//!
//! A quota allows so many units within any window of time. Each router counts what it admits and
//! what its peers say that they have admitted. Totals only grow, so a summary that is lost or told
//! twice changes nothing. A router that does not hear from some of its peers uses only the part of
//! the quota that belongs to the routers it does hear from.

use {
    crate::{
        directory::{Organisation, Quota, Unit},
        time::{self, Timestamp},
    },
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Steps in which a window is counted; a unit is counted for up to a step longer than the window.
const STEPS: u32 = 32;

/// Part of the tolerance that is used. The rest covers what routers admit before they hear of each
/// other.
const TOLERANCE_PART: f64 = 0.4;

/// Part of its rate that an organisation is let use while what it used before a start is unknown:
/// more than organisations use on an ordinary day, and less than would overrun the quota of one
/// that had used up its window.
const UNKNOWN_PART: f64 = 0.7;

/// How quotas are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the window.
    pub window: Duration,
    /// Part of the quota by which it may be overrun.
    pub overrun: f64,
    /// Units by which it may be overrun besides.
    pub slack: f64,
    /// Whether nothing can have been admitted before this router's start.
    pub is_first_start: bool,
}

/// Use of one organisation's quota, as routers tell it to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// The organisation.
    pub organisation: String,
    /// Units admitted by the teller since its start.
    pub total: f64,
    /// Units that all routers the teller knows admitted within the window.
    pub used: f64,
}

#[derive(Debug, Default)]
struct Account {
    /// Units by the time at which they were noted, oldest first.
    steps: VecDeque<(Timestamp, f64)>,
    used: f64,
    own: f64,
    peers: HashMap<u64, f64>,
}

/// All organisations' use of their quotas, at one router.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    accounts: HashMap<String, Account>,
    share: f64,
}

impl Ledger {
    /// A ledger in which nothing is used, of a router that is alone.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            accounts: HashMap::new(),
            share: 1.0,
        }
    }

    /// Takes over which part of the known routers this one hears from, itself included.
    pub fn set_share(&mut self, visible: usize, known: usize) {
        self.share = visible as f64 / known.max(visible).max(1) as f64;
    }

    /// Takes a request of `cost` units in, or fails with the time until there is room.
    pub fn admit(
        &mut self,
        organisation: &Organisation,
        cost: f64,
        now: Timestamp,
    ) -> Result<(), Duration> {
        let Some(quota) = organisation.quota else {
            return Ok(());
        };
        let limit = self.limit(quota);
        let unknown = self.unknown(quota, limit, now);
        let window = self.settings.window;
        let account = self.account(&organisation.name, now);
        let used = account.used + unknown;
        let excess = used + cost - limit;
        // A request larger than the whole quota passes when nothing else is counted.
        if excess > 0.0 && used > 0.0 {
            return Err(account.room_in(excess, now, window));
        }
        account.add(cost, now, window);
        account.own += cost;
        Ok(())
    }

    /// Gives back what was admitted for a request that did not run.
    pub fn refund(&mut self, organisation: &str, cost: f64, now: Timestamp) {
        let window = self.settings.window;
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.own -= cost;
            account.add(-cost, now, window);
        }
    }

    /// Takes in what the peer numbered `peer` has admitted.
    pub fn merge(&mut self, peer: u64, usage: &Usage, now: Timestamp) {
        let window = self.settings.window;
        let account = self.account(&usage.organisation, now);
        let added = match account.peers.insert(peer, usage.total) {
            Some(before) => usage.total - before,
            // What was admitted before the peer was known shows in its count only.
            None => (usage.used - account.used).max(0.0),
        };
        account.add(added, now, window);
    }

    /// Forgets a peer that has gone; what it used stays counted until the window has passed.
    pub fn forget(&mut self, peer: u64) {
        for account in self.accounts.values_mut() {
            account.peers.remove(&peer);
        }
    }

    /// What to tell the peers.
    pub fn usages(&self) -> impl Iterator<Item = Usage> {
        self.accounts.iter().map(|(name, account)| Usage {
            organisation: name.clone(),
            total: account.own,
            used: account.used,
        })
    }

    /// Units that may be used within a window by the routers that hear each other.
    fn limit(&self, quota: Quota) -> f64 {
        let stated = quota.rate * self.settings.window.as_secs_f64() + quota.burst;
        let tolerance = stated * self.settings.overrun + self.settings.slack;
        (stated + tolerance * TOLERANCE_PART) * self.share
    }

    /// Units that may have been admitted within the window but before this router's start. All
    /// routers may have started together, so nobody may know.
    fn unknown(&self, quota: Quota, limit: f64, now: Timestamp) -> f64 {
        let since_start = now.since(Timestamp::START);
        if self.settings.is_first_start || since_start >= self.settings.window {
            return 0.0;
        }
        let passed = quota.rate * UNKNOWN_PART * since_start.as_secs_f64();
        (limit - passed * self.share).max(0.0)
    }

    fn account(&mut self, name: &str, now: Timestamp) -> &mut Account {
        if !self.accounts.contains_key(name) {
            self.accounts.insert(name.to_owned(), Account::default());
        }
        let window = self.settings.window;
        let account = self
            .accounts
            .get_mut(name)
            .expect("the account was inserted above");
        account.expire(now, window);
        account
    }
}

impl Account {
    fn add(&mut self, units: f64, now: Timestamp, window: Duration) {
        if units == 0.0 {
            return;
        }
        self.used += units;
        match self.steps.back_mut() {
            Some((start, sum)) if now.since(*start) < window / STEPS => *sum += units,
            _ => self.steps.push_back((now, units)),
        }
    }

    fn expire(&mut self, now: Timestamp, window: Duration) {
        let kept = window + window / STEPS;
        while let Some((_, units)) = self
            .steps
            .pop_front_if(|(start, _)| now.since(*start) > kept)
        {
            self.used -= units;
        }
        if self.steps.is_empty() {
            self.used = 0.0;
        }
    }

    /// Time until `units` have left the window.
    fn room_in(&self, units: f64, now: Timestamp, window: Duration) -> Duration {
        let mut left = units;
        for (start, step) in &self.steps {
            left -= step;
            if left <= 0.0 {
                return (window + window / STEPS).saturating_sub(now.since(*start));
            }
        }
        time::seconds(window.as_secs_f64())
    }
}

/// Units that a request counts as.
pub fn cost(unit: Unit, tokens: Option<u32>) -> f64 {
    match unit {
        Unit::Requests => 1.0,
        Unit::Tokens { unstated } => f64::from(tokens.unwrap_or(unstated)),
    }
}
