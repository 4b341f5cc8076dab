//! Quotas that all routers keep together.
//!
//! A quota allows so many units within any window of time. Each router counts what it admits and
//! what its peers say that they have admitted. Totals only grow, so a summary that is lost or told
//! twice changes nothing. A router that does not hear from some of its peers uses only the part of
//! the quota that belongs to the routers it does hear from.

use {
    crate::{
        routing_config::{Organisation, Quota, Unit},
        time::Timestamp,
    },
    std::{
        collections::{HashMap, HashSet, VecDeque},
        time::Duration,
    },
};

/// Steps in which a window is counted; a unit is counted for up to a step longer than the window.
const STEPS: u32 = 32;

/// Lag for whose sake the whole tolerance is left to what routers admit before they hear of each
/// other: at several times its rate, an organisation uses up a tenth of its window in it.
const FULL_LAG: Duration = Duration::from_millis(400);

/// Most and least of the tolerance that is used beside what the lag needs.
const TOLERANCE_PARTS: (f64, f64) = (0.1, 0.6);

/// Time over which the present rate of use is measured.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// Parts of a window by which use is kept over a start of all routers.
const KEPT_PARTS: usize = 16;

/// Part of the quota from which an organisation's use is worth keeping over a start of all routers.
const NEAR_PART: f64 = 0.5;

/// Newest parts of kept use that may have been repeated between the last record and the start: the
/// time between two records, and that of a call.
const UNRECORDED_PARTS: usize = 3;

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

/// Age of a peer's admissions that it takes back, at least: a request that does not run has waited
/// for up to this long.
const REFUND_AGE: Duration = Duration::from_secs(2);

/// Use of one organisation's quota, as routers tell it to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// The organisation.
    pub organisation: String,
    /// Units admitted by the teller since its start.
    pub admitted: f64,
    /// Those of them whose requests did not run.
    pub refunded: f64,
    /// What all routers that the teller knows admitted within the window; only told at first.
    pub history: Option<UsageHistory>,
}

/// Units that were used within a window, by age: the window in equal parts, the newest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageHistory(pub Vec<f64>);

/// Why a request does not fit in a quota, in units of the window.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaExceeded {
    /// Whose quota it is.
    pub organisation: String,
    /// Time until there is room.
    pub delay: Duration,
    /// Counted use, by all routers that were heard.
    pub used: f64,
    /// Use that peers may not have told yet, or that lies before this router's start.
    pub assumed: f64,
    /// What may be used.
    pub limit: f64,
}

#[derive(Debug, Default)]
struct Account {
    /// Units by the time at which they leave the window, the next first.
    steps: VecDeque<(Timestamp, f64)>,
    used: f64,
    /// Units that peers told, by the time at which they were heard, for about the last second.
    told: VecDeque<(Timestamp, f64)>,
    /// Units that this router admitted, and those of them whose requests did not run.
    own: (f64, f64),
    /// The same of each peer.
    peers: HashMap<u64, (f64, f64)>,
}

/// All organisations' use of their quotas, at one router.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    accounts: HashMap<String, Account>,
    share: f64,
    /// Time after which what a peer admits is counted here.
    lag: Duration,
    /// Whether a router that has counted for a whole window has told its counts.
    is_told: bool,
    /// Organisations that were near their quotas before the start, once known.
    kept: Option<HashSet<String>>,
}

impl Ledger {
    /// A ledger in which nothing is used, of a router that is alone.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            accounts: HashMap::new(),
            share: 1.0,
            lag: Duration::ZERO,
            is_told: false,
            kept: None,
        }
    }

    /// Takes over other settings. Whether this was a first start does not change with them.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = Settings {
            is_first_start: self.settings.is_first_start,
            ..settings
        };
    }

    /// Takes in what was kept of the use before a start of all routers.
    pub fn restore(&mut self, kept: HashMap<String, UsageHistory>, now: Timestamp) {
        for (organisation, kept) in &kept {
            let window = self.settings.window;
            let unrecorded = kept.0.iter().take(UNRECORDED_PARTS).sum();
            let account = self.account(organisation, now);
            account.import(kept, now, window);
            account.add(unrecorded, now, window);
        }
        self.kept = Some(kept.into_keys().collect());
    }

    /// Use that must be kept in case all routers start again: that of organisations near their
    /// quotas.
    pub fn usage_to_persist<'a>(
        &self,
        organisations: impl Iterator<Item = &'a Organisation>,
        now: Timestamp,
    ) -> HashMap<String, UsageHistory> {
        organisations
            .filter_map(|organisation| {
                let limit = self.limit(organisation.quota?);
                let unknown = self.unknown(organisation, limit, now);
                let account = self.accounts.get(&organisation.name)?;
                let is_near = account.used + unknown > limit * NEAR_PART;
                let kept = || account.by_age(unknown, now, self.settings.window);
                is_near.then(|| (organisation.name.clone(), kept()))
            })
            .collect()
    }

    /// Whether all that was admitted within the window is counted here, also what was admitted
    /// before this router's start.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.is_told
            || self.settings.is_first_start
            || now.since(Timestamp::START) >= self.settings.window
    }

    /// Takes in that a peer whose counts are complete has told all of them.
    pub fn mark_complete(&mut self) {
        self.is_told = true;
    }

    /// Takes over which part of the known routers this one hears from, itself included, and after
    /// which time it counts what they admit.
    pub fn set_share(&mut self, visible: usize, known: usize, lag: Duration) {
        self.lag = lag;
        self.share = visible as f64 / known.max(visible).max(1) as f64;
    }

    /// Takes a request of `cost` units in, or fails with what does not fit.
    pub fn admit(
        &mut self,
        organisation: &Organisation,
        cost: f64,
        now: Timestamp,
    ) -> Result<(), QuotaExceeded> {
        let Some(quota) = organisation.quota else {
            return Ok(());
        };
        let limit = self.limit(quota);
        let unknown = self.unknown(organisation, limit, now);
        let window = self.settings.window;
        let lag = self.lag;
        let account = self.account(&organisation.name, now);
        let assumed = unknown + account.unheard(now, lag);
        let used = account.used;
        let excess = used + assumed + cost - limit;
        // A request larger than the whole quota passes when nothing else is counted.
        if excess > 0.0 && used + assumed > 0.0 {
            return Err(QuotaExceeded {
                organisation: organisation.name.clone(),
                delay: account.room_in(excess, now, window),
                used,
                assumed,
                limit,
            });
        }
        account.add(cost, now, window);
        account.own.0 += cost;
        Ok(())
    }

    /// Gives back what was admitted at `admitted` for a request that did not run.
    pub fn refund(&mut self, organisation: &str, cost: f64, admitted: Timestamp) {
        let window = self.settings.window;
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.own.1 += cost;
            account.take_back(cost, admitted, window);
        }
    }

    /// Takes in what the peer numbered `peer` has admitted.
    pub fn merge(&mut self, peer: u64, usage: &Usage, now: Timestamp) {
        let window = self.settings.window;
        let account = self.account(&usage.organisation, now);
        let totals = (usage.admitted, usage.refunded);
        let before = account.peers.insert(peer, totals);
        // What was admitted before the peer was heard shows in what it knows only.
        match (before, &usage.history) {
            (Some((admitted, refunded)), _) => {
                account.hear(usage.admitted - admitted, now, window);
                let admitted = now.minus(REFUND_AGE);
                account.take_back(usage.refunded - refunded, admitted, window);
            }
            (None, Some(known)) => account.import(known, now, window),
            (None, None) => {}
        }
    }

    /// Forgets a peer that has gone; what it used stays counted until the window has passed.
    pub fn remove_peer(&mut self, peer: u64) {
        for account in self.accounts.values_mut() {
            account.peers.remove(&peer);
        }
    }

    /// What to tell the peers; a peer that hears it for the first time must hear all that is known.
    pub fn usages(&self, is_first: bool, now: Timestamp) -> impl Iterator<Item = Usage> {
        let window = self.settings.window;
        self.accounts.iter().map(move |(name, account)| Usage {
            organisation: name.clone(),
            admitted: account.own.0,
            refunded: account.own.1,
            history: is_first.then(|| account.by_age(0.0, now, window)),
        })
    }

    /// Units of an organisation that are counted now.
    pub fn used(&self, organisation: &str) -> f64 {
        let account = self.accounts.get(organisation);
        account.map_or(0.0, |account| account.used)
    }

    /// Units that may be used within a window by the routers that hear each other.
    fn limit(&self, quota: Quota) -> f64 {
        let stated = quota.rate * self.settings.window.as_secs_f64() + quota.burst;
        let tolerance = stated * self.settings.overrun + self.settings.slack;
        let (least, most) = TOLERANCE_PARTS;
        let part = 1.0 - self.lag.as_secs_f64() / FULL_LAG.as_secs_f64();
        (stated + tolerance * part.clamp(least, most)) * self.share
    }

    /// Units that may have been admitted within the window but before this router's start. All
    /// routers may have started together, so nobody may know.
    fn unknown(&self, organisation: &Organisation, limit: f64, now: Timestamp) -> f64 {
        if self.is_complete(now) {
            return 0.0;
        }
        let kept = self.kept.as_ref();
        if kept.is_some_and(|kept| kept.contains(&organisation.name)) {
            return 0.0;
        }
        // Without a record that it was near its quota, an organisation was not.
        let most = match kept {
            Some(_) => limit * NEAR_PART,
            None => limit,
        };
        let rate = organisation.quota.map_or(0.0, |quota| quota.rate);
        let since_start = now.since(Timestamp::START).as_secs_f64();
        (most - rate * UNKNOWN_PART * self.share * since_start).max(0.0)
    }

    fn account(&mut self, name: &str, now: Timestamp) -> &mut Account {
        if !self.accounts.contains_key(name) {
            self.accounts.insert(name.to_owned(), Account::default());
        }
        let account = self
            .accounts
            .get_mut(name)
            .expect("the account was inserted above");
        account.expire(now);
        account
    }
}

impl Account {
    fn add(&mut self, units: f64, now: Timestamp, window: Duration) {
        if units == 0.0 {
            return;
        }
        self.used += units;
        // Counted for a step longer, as all units of a step leave with its first.
        let step = window / STEPS;
        let end = now.plus(window + step);
        match self.steps.back_mut() {
            Some((known, sum)) if end.since(*known) < step => *sum += units,
            _ => self.steps.push_back((end, units)),
        }
    }

    /// Takes units out that were added at `admitted`. If they were added later than that, they are
    /// counted again when those of that time have left the window, until they leave it themselves.
    fn take_back(&mut self, units: f64, admitted: Timestamp, window: Duration) {
        if units == 0.0 {
            return;
        }
        let end = admitted.plus(window + window / STEPS);
        let later = self.steps.partition_point(|(known, _)| *known <= end);
        // Without a step of that time or before it, the units have left the window or are in the
        // first step.
        if let Some((_, sum)) = self.steps.get_mut(later.saturating_sub(1)) {
            *sum -= units;
            self.used -= units;
        }
    }

    /// Adds units that a peer has told.
    fn hear(&mut self, units: f64, now: Timestamp, window: Duration) {
        self.add(units, now, window);
        self.told.push_back((now, units));
        while self
            .told
            .pop_front_if(|(heard, _)| now.since(*heard) > RATE_SPAN)
            .is_some()
        {}
    }

    /// Units that peers may have admitted and not told yet, at the rate of the last second.
    fn unheard(&self, now: Timestamp, lag: Duration) -> f64 {
        let recent = self.told.iter();
        let units: f64 = recent
            .filter(|(heard, _)| now.since(*heard) <= RATE_SPAN)
            .map(|(_, units)| units)
            .sum();
        units * lag.as_secs_f64() / RATE_SPAN.as_secs_f64()
    }

    /// Takes in use that another router knows of, as far as it is more than is known here.
    fn import(&mut self, kept: &UsageHistory, now: Timestamp, window: Duration) {
        let total: f64 = kept.0.iter().sum();
        let missing = total - self.used;
        if missing <= 0.0 {
            return;
        }
        let part = window / u32::try_from(kept.0.len()).unwrap_or(1).max(1);
        for (index, units) in kept.0.iter().enumerate() {
            let age = part * u32::try_from(index).unwrap_or(u32::MAX);
            let end = now.plus(window.saturating_sub(age));
            self.steps.push_back((end, units * missing / total));
        }
        self.used += missing;
        self.steps.make_contiguous().sort_by_key(|(end, _)| *end);
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((_, units)) = self.steps.pop_front_if(|(end, _)| *end <= now) {
            self.used -= units;
        }
        if self.steps.is_empty() {
            self.used = 0.0;
        }
    }

    /// The use by age; `unknown` units count as the newest.
    fn by_age(&self, unknown: f64, now: Timestamp, window: Duration) -> UsageHistory {
        let mut parts = vec![0.0; KEPT_PARTS];
        parts[0] = unknown;
        for (end, units) in self.steps.iter().filter(|(end, _)| *end > now) {
            let left = end.since(now).as_secs_f64() / window.as_secs_f64();
            let age = (1.0 - left).max(0.0);
            let index = (age * KEPT_PARTS as f64) as usize;
            parts[index.min(KEPT_PARTS - 1)] += units;
        }
        UsageHistory(parts)
    }

    /// Time until `units` have left the window.
    fn room_in(&self, units: f64, now: Timestamp, window: Duration) -> Duration {
        let mut left = units;
        for (end, step) in &self.steps {
            left -= step;
            if left <= 0.0 {
                return end.since(now);
            }
        }
        window
    }
}

/// Units that a request counts as.
pub fn cost(unit: Unit, tokens: Option<u32>) -> f64 {
    match unit {
        Unit::Requests => 1.0,
        Unit::Tokens { unstated } => f64::from(tokens.unwrap_or(unstated)),
    }
}
