//! Quotas that all routers enforce together.
//!
//! A quota limits the units admitted within any sliding window. Each router counts the units that
//! it admits itself and those that its peers report. Reported totals only grow, so that lost or
//! repeated summaries make no difference. A router that does not hear from all of its peers uses
//! only the part of the quota that belongs to the routers it hears from, itself included. What all had
//! used when they last heard each other stays counted in full, and only the rest is divided. For a
//! while after a loss, new requests leave room in that part for streams that broke with the lost
//! routers, which their callers take up elsewhere.
//!
//! Routers that start together hear each other one by one, and none knows what the others admit
//! meanwhile. Until a router has heard all of its peers, it admits only its own part of what is free,
//! anew in each round of reports. What waits for its peers is admitted in the same manner, since it
//! does so at all routers at once.

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

/// Buckets per window. A unit is counted for up to one bucket longer than the window.
const BUCKETS: u32 = 32;

/// Lag at which the whole tolerance is reserved for what routers admit before they learn of each
/// other's use: at several times its rate, an organisation uses up a tenth of its window within
/// this lag.
const FULL_LAG: Duration = Duration::from_millis(400);

/// Smallest and largest fraction of the tolerance that is not reserved for the lag.
const TOLERANCE_FRACTIONS: (f64, f64) = (0.1, 0.6);

/// Time over which the current rate of use is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Shortest round of reports: the lag of a small fleet.
const MIN_ROUND: Duration = Duration::from_millis(90);

/// Largest fraction of the free units that a request may cost to be drawn, and the share of the parts
/// that is drawn: the sum over all routers then exceeds what is free at four standard deviations.
const MAX_DRAWN_FRACTION: f64 = 1.0 / 32.0;
const DRAWN_PART: f64 = 0.5;

/// Time after a loss of routers for which new requests leave room for take-ups, and the fraction of
/// the free part that they leave. Callers take their streams up within two seconds.
const TAKE_UP_TIME: Duration = Duration::from_millis(2_500);
const TAKE_UP_FRACTION: f64 = 0.25;

/// Buckets per window in a [`UsageHistory`].
const HISTORY_BUCKETS: usize = 16;

/// Fraction of the quota from which an organisation's use is persisted, for the case that all
/// routers restart.
const NEAR_QUOTA_FRACTION: f64 = 0.5;

/// Newest buckets of a persisted history that are counted twice, because as much may have been used
/// between the last record and the restart: the time between two records, plus that of a call.
const UNRECORDED_BUCKETS: usize = 3;

/// Fraction of its rate that an organisation may use while its use before a restart is unknown.
/// This is more than organisations use on an ordinary day, and less than would overrun the quota of
/// one that had used up its window.
const UNKNOWN_USE_FRACTION: f64 = 0.7;

/// Most units that are counted exactly. More, or what is no number, are an error of the sender; added
/// up, they would make all later sums worthless.
const MAX_UNITS: f64 = 9_007_199_254_740_992.0;

/// Settings that apply to all quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the window.
    pub window: Duration,
    /// Fraction of the quota by which it may be overrun.
    pub overrun: f64,
    /// Units by which it may be overrun in addition.
    pub slack: f64,
    /// Whether this is a first start, so that nothing can have been admitted before it.
    pub is_first_start: bool,
}

/// Assumed age of the admissions that a peer refunds: a request that does not run has waited for up
/// to this long.
const REFUND_AGE: Duration = Duration::from_secs(2);

/// Use of one organisation's quota, as routers report it to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// The organisation.
    pub organisation: String,
    /// Units admitted by the sender since its start.
    pub admitted: f64,
    /// Units among them whose requests did not run.
    pub refunded: f64,
    /// Use within the window. Only sent to a new peer. Of a sender with complete counts it is the use
    /// of all routers, otherwise its own.
    pub history: Option<UsageHistory>,
}

/// Units used within a window, in buckets of equal duration, newest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageHistory(pub Vec<f64>);

impl Usage {
    /// Whether all numbers are units. Only then may the report be merged.
    pub fn is_valid(&self) -> bool {
        let totals = [self.admitted, self.refunded];
        let history = self.history.as_ref();
        totals.into_iter().all(is_count) && history.is_none_or(UsageHistory::is_valid)
    }
}

impl UsageHistory {
    /// Whether all numbers are units. Only then may the history be merged. A bucket may be a little
    /// below zero: refunds are subtracted from it.
    pub fn is_valid(&self) -> bool {
        self.0.iter().all(|units| is_count(units.abs()))
    }
}

fn is_count(units: f64) -> bool {
    (0.0..=MAX_UNITS).contains(&units)
}

/// Error of a request that exceeds a quota. Use and limit are in units per window.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaExceeded {
    /// Organisation whose quota is exceeded.
    pub organisation: String,
    /// Time until the request fits.
    pub delay: Duration,
    /// Counted use by all routers that this one hears from.
    pub used: f64,
    /// Assumed use: what peers may not have reported yet, and what may have been used before this
    /// router's start.
    pub assumed: f64,
    /// Units that may be used.
    pub limit: f64,
}

/// What a request asks of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Units that it costs.
    pub cost: f64,
    /// Whether it goes on with a stream that was admitted before.
    pub is_take_up: bool,
}

/// The claim of a new request.
impl From<f64> for Claim {
    fn from(cost: f64) -> Self {
        Self {
            cost,
            is_take_up: false,
        }
    }
}

/// A moment since which this router hears fewer of the others than before.
#[derive(Clone, Copy, Debug)]
struct Loss {
    /// Buckets that end before were used up while the lost routers were still heard.
    end: Timestamp,
    /// Fraction of the known routers that are heard since.
    fraction: f64,
}

#[derive(Debug, Default)]
struct Account {
    /// Units by the time at which they leave the window, the earliest first.
    buckets: VecDeque<(Timestamp, f64)>,
    /// Sum of the buckets.
    used: f64,
    /// Whether the newest bucket gets no more units.
    is_closed: bool,
    /// Units that peers have reported within the last [`RATE_WINDOW`], by the time of the report.
    recent_peer_use: VecDeque<(Timestamp, f64)>,
    /// Own part of the current round of reports, if there was one.
    round: Option<Round>,
    /// Units that are counted of what this router and its peers have admitted since its start.
    since_start: f64,
    /// Units that this router has admitted, and those among them that were refunded.
    own: (f64, f64),
    /// The same totals of each peer.
    peers: HashMap<u64, (f64, f64)>,
}

/// What a router may admit by itself within one round of reports.
#[derive(Clone, Copy, Debug)]
struct Round {
    start: Timestamp,
    /// Units that are left of the router's part, once it has admitted any.
    left: Option<f64>,
    /// Random number that decides whether the router admits a first request that is larger than its
    /// part, so that the routers use a share of their parts together.
    draw: f64,
}

/// Use of the quotas of all organisations, as counted by one router.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    accounts: HashMap<String, Account>,
    /// Number of routers that this router hears from, including itself.
    visible: usize,
    /// Fraction of the known routers that this router hears from.
    visible_fraction: f64,
    /// Losses of routers that are not heard again, the earliest first, by falling fraction.
    losses: Vec<Loss>,
    /// When peers that have been lost since the last update of the share were heard.
    last_contact: Option<Timestamp>,
    /// Until when new requests leave room for take-ups.
    take_ups_until: Timestamp,
    /// Until when a router that has just started is expected to hear its peers. `None` once it has
    /// heard all of them.
    settles_until: Option<Timestamp>,
    /// Time until units admitted by a peer are counted here.
    lag: Duration,
    /// Peers that are not heard any more, with the time until which their totals are kept.
    removed: Vec<(Timestamp, u64)>,
    /// Whether a router with complete counts has reported them to this one.
    has_complete_peer: bool,
    /// Organisations that were near their quotas before the restart. `None` until they are
    /// restored.
    restored: Option<HashSet<String>>,
}

impl Ledger {
    /// Creates an empty ledger of a router without peers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            accounts: HashMap::new(),
            visible: 1,
            visible_fraction: 1.0,
            losses: Vec::new(),
            last_contact: None,
            take_ups_until: Timestamp::START,
            settles_until: None,
            lag: Duration::ZERO,
            removed: Vec::new(),
            has_complete_peer: false,
            restored: None,
        }
    }

    /// The ledger of a router that has just started and is expected to hear its peers by `until`.
    /// Nothing is admitted before [`Self::set_share`] is called.
    pub fn with_unknown_peers(mut self, until: Timestamp) -> Self {
        self.visible = 0;
        self.visible_fraction = 0.0;
        self.settles_until = Some(until);
        self
    }

    /// Updates until when this router is expected to hear its peers, unless it has heard them.
    pub fn expect_peers(&mut self, until: Timestamp) {
        if let Some(known) = &mut self.settles_until {
            *known = until;
        }
    }

    /// Whether this router has just started and still expects to hear peers, so that more may be
    /// free soon.
    pub fn is_settling(&self, now: Timestamp) -> bool {
        self.settles_until.is_some_and(|until| now < until)
    }

    /// Updates the settings, except for [`Settings::is_first_start`].
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = Settings {
            is_first_start: self.settings.is_first_start,
            ..settings
        };
    }

    /// Restores the use that was persisted before all routers restarted. A history that is not valid is
    /// left out, and its organisation's use is unknown.
    pub fn restore(&mut self, mut restored: HashMap<String, UsageHistory>, now: Timestamp) {
        restored.retain(|_, history| history.is_valid());
        for (organisation, history) in &restored {
            let window = self.settings.window;
            let unrecorded = history.0.iter().take(UNRECORDED_BUCKETS).sum();
            let account = self.account(organisation, now);
            account.merge_history(history, 0.0, now, window);
            account.add(unrecorded, now, window);
        }
        self.restored = Some(restored.into_keys().collect());
    }

    /// Use to persist for the case that all routers restart: that of organisations near their
    /// quotas.
    pub fn usage_to_persist<'a>(
        &self,
        organisations: impl Iterator<Item = &'a Organisation>,
        now: Timestamp,
    ) -> HashMap<String, UsageHistory> {
        organisations
            .filter_map(|organisation| {
                let quota = organisation.quota?;
                let limit = self.limit(quota, organisation, true, now);
                let unknown_use = self.unknown_use(organisation, quota, now);
                let account = self.accounts.get(&organisation.name)?;
                let is_near = account.used + unknown_use > limit * NEAR_QUOTA_FRACTION;
                let history = || account.history(unknown_use, now, self.settings.window);
                is_near.then(|| (organisation.name.clone(), history()))
            })
            .collect()
    }

    /// Whether all units admitted within the window are counted here, including those admitted
    /// before this router's start.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.has_complete_peer || now.since(Timestamp::START) >= self.settings.window
    }

    /// Records that a peer with complete counts has reported all of them.
    pub fn mark_complete(&mut self) {
        self.has_complete_peer = true;
    }

    /// Updates how many of the `known` routers are `visible`, that is, heard from, both including
    /// this one, and the lag until units admitted by a peer are counted here.
    pub fn set_share(&mut self, visible: usize, known: usize, lag: Duration, now: Timestamp) {
        self.lag = lag;
        self.visible = visible;
        self.visible_fraction = visible as f64 / known.max(visible).max(1) as f64;
        if visible >= known {
            self.settles_until = None;
        }
        let contact = self.last_contact.take().unwrap_or(now);
        // A router that has just started has not heard the others yet.
        if self.settles_until.is_none() {
            self.update_losses(contact, now);
        }
    }

    /// Records that the routers heard were `visible_fraction` of the known ones at `contact` at the
    /// latest, if that is less than before.
    fn update_losses(&mut self, contact: Timestamp, now: Timestamp) {
        let fraction = self.visible_fraction;
        let known = |losses: &[Loss]| losses.last().map_or(1.0, |loss| loss.fraction);
        let mut end = None;
        if fraction < known(&self.losses) {
            self.take_ups_until = now.plus(TAKE_UP_TIME);
            end = Some(self.end_of_use(contact, now));
        }
        // What was used between the losses of routers that are heard again counts as used since.
        while let Some(loss) = self.losses.pop_if(|loss| loss.fraction < fraction) {
            end = Some(loss.end);
        }
        if let Some(end) = end
            && fraction < known(&self.losses)
        {
            self.losses.push(Loss { end, fraction });
        }
    }

    /// The time before which all buckets end whose units were admitted up to `contact`.
    fn end_of_use(&mut self, contact: Timestamp, now: Timestamp) -> Timestamp {
        let window = self.settings.window;
        if contact < now {
            return contact.plus(window);
        }
        for account in self.accounts.values_mut() {
            account.is_closed = true;
        }
        now.plus(window + window / BUCKETS)
    }

    /// Admits a request, or fails if it exceeds the quota. `random`, from 0 up to but
    /// not including 1, is drawn anew for each request.
    pub fn admit(
        &mut self,
        organisation: &Organisation,
        claim: impl Into<Claim>,
        random: f64,
        now: Timestamp,
    ) -> Result<(), QuotaExceeded> {
        match self.is_settling(now) {
            true => self.admit_part(organisation, claim, random, now),
            false => self.admit_any(organisation, claim.into(), now),
        }
    }

    /// Like [`Self::admit`], for a request that may have waited as long as others at all routers:
    /// admits no more than this router's part of what is free, in each round of reports.
    pub fn admit_part(
        &mut self,
        organisation: &Organisation,
        claim: impl Into<Claim>,
        random: f64,
        now: Timestamp,
    ) -> Result<(), QuotaExceeded> {
        let Some(quota) = organisation.quota else {
            return Ok(());
        };
        let claim = claim.into();
        let cost = claim.cost;
        let exceeded = self.exceeded_by(organisation, quota, claim, now);
        let free = (exceeded.limit - exceeded.used - exceeded.assumed).max(0.0);
        let part = free / self.visible.max(1) as f64;
        let length = self.lag.max(MIN_ROUND);
        let has_all_peers = self.visible_fraction >= 1.0;
        let account = self.account(&organisation.name, now);
        let current = account
            .round
            .filter(|round| now.since(round.start) < length);
        // The part of a router that does not hear its peers stays the same, and so must its draw.
        let drawn = current.or(account.round.filter(|_| !has_all_peers));
        let left = current.and_then(|round| round.left).unwrap_or(part);
        let mut round = Round {
            start: current.map_or(now, |round| round.start),
            left: current.and_then(|round| round.left),
            draw: drawn.map_or(random, |round| round.draw),
        };
        let is_drawn = round.left.is_none()
            && cost <= free * MAX_DRAWN_FRACTION
            && left >= cost * round.draw / DRAWN_PART;
        let is_admitted = left.min(part) > 0.0 && (left >= cost || is_drawn);
        if is_admitted {
            round.left = Some(left - cost);
        }
        account.round = Some(round);
        match is_admitted {
            true => {
                self.charge(&organisation.name, cost, now);
                Ok(())
            }
            false => Err(exceeded),
        }
    }

    fn admit_any(
        &mut self,
        organisation: &Organisation,
        claim: Claim,
        now: Timestamp,
    ) -> Result<(), QuotaExceeded> {
        let Some(quota) = organisation.quota else {
            return Ok(());
        };
        let cost = claim.cost;
        let exceeded = self.exceeded_by(organisation, quota, claim, now);
        let counted = exceeded.used + exceeded.assumed;
        // A request larger than the whole quota is admitted when no other use is counted, and none is
        // hidden.
        let is_alone = counted <= 0.0 && self.visible_fraction >= 1.0;
        if counted + cost > exceeded.limit && !is_alone {
            return Err(exceeded);
        }
        self.charge(&organisation.name, cost, now);
        Ok(())
    }

    /// The error of a request that does not fit.
    pub fn exceeded(
        &mut self,
        organisation: &Organisation,
        claim: impl Into<Claim>,
        now: Timestamp,
    ) -> Option<QuotaExceeded> {
        let quota = organisation.quota?;
        Some(self.exceeded_by(organisation, quota, claim.into(), now))
    }

    fn exceeded_by(
        &mut self,
        organisation: &Organisation,
        quota: Quota,
        claim: Claim,
        now: Timestamp,
    ) -> QuotaExceeded {
        let limit = self.limit(quota, organisation, claim.is_take_up, now);
        let unknown_use = self.unknown_use(organisation, quota, now);
        let window = self.settings.window;
        let lag = self.lag;
        let settles_until = self.settles_until.filter(|until| now < *until);
        let account = self.account(&organisation.name, now);
        let assumed = unknown_use + account.unreported_use(now, lag);
        let used = account.used;
        let delay = match settles_until {
            Some(until) => until.since(now),
            None => account.time_until_free(used + assumed + claim.cost - limit, now, window),
        };
        QuotaExceeded {
            organisation: organisation.name.clone(),
            delay,
            used,
            assumed,
            limit,
        }
    }

    fn charge(&mut self, organisation: &str, cost: f64, now: Timestamp) {
        let window = self.settings.window;
        let account = self.account(organisation, now);
        account.add(cost, now, window);
        account.own.0 += cost;
        account.since_start += cost;
    }

    /// Refunds `cost` units that were admitted at `admitted` for a request that did not run.
    pub fn refund(&mut self, organisation: &str, cost: f64, admitted: Timestamp) {
        let window = self.settings.window;
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.own.1 += cost;
            account.subtract(cost, admitted, window);
        }
    }

    /// Merges the reported use of the peer `peer`, whose counts are complete or not, unless it is not
    /// valid.
    pub fn merge(&mut self, peer: u64, usage: &Usage, is_complete: bool, now: Timestamp) {
        if !usage.is_valid() {
            return;
        }
        let window = self.settings.window;
        let has_complete_peer = self.has_complete_peer;
        self.removed.retain(|(_, removed)| *removed != peer);
        let account = self.account(&usage.organisation, now);
        let totals = (usage.admitted, usage.refunded);
        let before = account.peers.insert(peer, totals);
        // Use before the first report of a peer is only included in the history that it sends.
        match (before, &usage.history) {
            (Some((admitted, refunded)), _) => {
                account.add_from_peer(usage.admitted - admitted, now, window);
                account.since_start += usage.admitted - admitted;
                let admitted = now.minus(REFUND_AGE);
                account.subtract(usage.refunded - refunded, admitted, window);
            }
            (None, Some(known)) => {
                // Not part of the history: of two routers that have just started, what either has
                // admitted before they heard each other, and here what was admitted before the
                // first complete history.
                let other = match (is_complete, has_complete_peer) {
                    (false, _) => account.used,
                    (true, false) => account.own.0 - account.own.1,
                    (true, true) => 0.0,
                };
                account.merge_history(known, other, now, window);
                if !is_complete {
                    account.since_start += usage.admitted - usage.refunded;
                }
            }
            (None, None) => {}
        }
    }

    /// Removes a peer that was last heard at `contact`. Its use stays counted until it leaves the
    /// window, and so do its totals, on which its reports build if it is heard again.
    pub fn remove_peer(&mut self, peer: u64, contact: Timestamp, now: Timestamp) {
        let earliest = self
            .last_contact
            .map_or(contact, |known| known.min(contact));
        self.last_contact = Some(earliest);
        let end = now.plus(self.settings.window);
        self.removed.push((end, peer));
        for (_, peer) in self.removed.extract_if(.., |(end, _)| *end <= now) {
            for account in self.accounts.values_mut() {
                account.peers.remove(&peer);
            }
        }
    }

    /// Use to report to the peers. The first report to a peer must include the history.
    pub fn usages(&self, is_first: bool, now: Timestamp) -> impl Iterator<Item = Usage> {
        let window = self.settings.window;
        let is_complete = self.is_complete(now);
        self.accounts.iter().map(move |(name, account)| Usage {
            organisation: name.clone(),
            admitted: account.own.0,
            refunded: account.own.1,
            history: is_first.then(|| match is_complete {
                true => account.history(0.0, now, window),
                false => account.own_history(now, window),
            }),
        })
    }

    /// Units of an organisation that are currently counted.
    pub fn used(&self, organisation: &str) -> f64 {
        let account = self.accounts.get(organisation);
        account.map_or(0.0, |account| account.used)
    }

    /// Units that may be counted within a window by the routers that this one hears from. While the
    /// router settles, they share with those that it has not heard what was left when they started;
    /// after a loss, what was left when all were last heard.
    fn limit(
        &self,
        quota: Quota,
        organisation: &Organisation,
        is_take_up: bool,
        now: Timestamp,
    ) -> f64 {
        let whole = self.whole_limit(quota);
        let account = self.accounts.get(&organisation.name);
        if self.is_settling(now) {
            let used = account.map_or(0.0, |account| account.used - account.since_start);
            let before = used.clamp(0.0, whole);
            return before + (whole - before) * self.visible_fraction;
        }
        if self.settles_until.is_some() {
            return whole * self.visible_fraction;
        }
        let mut limit = whole;
        let mut fraction = 1.0;
        let mut before = 0.0;
        for loss in &self.losses {
            let used = account.map_or(0.0, |account| account.used_before(loss.end));
            before = used.clamp(0.0, limit);
            limit = before + (limit - before) * loss.fraction / fraction;
            fraction = loss.fraction;
        }
        if is_take_up || self.losses.is_empty() || now >= self.take_ups_until {
            return limit;
        }
        limit - (limit - before) * TAKE_UP_FRACTION
    }

    /// Units that may be used within a window by all routers.
    fn whole_limit(&self, quota: Quota) -> f64 {
        let stated = quota.rate * self.settings.window.as_secs_f64() + quota.burst;
        let tolerance = stated * self.settings.overrun + self.settings.slack;
        let (min, max) = TOLERANCE_FRACTIONS;
        let fraction = 1.0 - self.lag.as_secs_f64() / FULL_LAG.as_secs_f64();
        stated + tolerance * fraction.clamp(min, max)
    }

    /// Units that may have been admitted within the window but before this router's start, as far as
    /// the routers that this one hears from must allow for them. If all routers have restarted
    /// together, none of them has counted these.
    fn unknown_use(&self, organisation: &Organisation, quota: Quota, now: Timestamp) -> f64 {
        if self.settings.is_first_start || self.is_complete(now) {
            return 0.0;
        }
        let restored = self.restored.as_ref();
        if restored.is_some_and(|restored| restored.contains(&organisation.name)) {
            return 0.0;
        }
        // Organisations near their quotas were persisted, so the use of any other was below that.
        let limit = self.whole_limit(quota);
        let max_use = match restored {
            Some(_) => limit * NEAR_QUOTA_FRACTION,
            None => limit,
        };
        let since_start = now.since(Timestamp::START).as_secs_f64();
        let left = max_use - quota.rate * UNKNOWN_USE_FRACTION * since_start;
        left.max(0.0) * self.visible_fraction
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
        // Counted for one bucket longer, because all units of a bucket expire with its first.
        let bucket = window / BUCKETS;
        let end = now.plus(window + bucket);
        match self.buckets.back_mut() {
            Some((known, sum)) if end.since(*known) < bucket && !self.is_closed => *sum += units,
            _ => {
                self.is_closed = false;
                self.buckets.push_back((end, units));
            }
        }
    }

    /// Units in the buckets that end before `end`.
    fn used_before(&self, end: Timestamp) -> f64 {
        let buckets = self.buckets.iter();
        let before = buckets.take_while(|(known, _)| *known < end);
        before.map(|(_, units)| units).sum()
    }

    /// Subtracts units that were added at `admitted`. If they were actually added later than that,
    /// they count again from the time at which that bucket has left the window until they leave it
    /// themselves.
    fn subtract(&mut self, units: f64, admitted: Timestamp, window: Duration) {
        if units == 0.0 {
            return;
        }
        let end = admitted.plus(window + window / BUCKETS);
        let later = self.buckets.partition_point(|(known, _)| *known <= end);
        // Without a bucket of that time or earlier, the units have left the window or are in the
        // first bucket.
        if let Some((_, sum)) = self.buckets.get_mut(later.saturating_sub(1)) {
            *sum -= units;
            self.used -= units;
        }
    }

    /// Adds units that a peer has reported.
    fn add_from_peer(&mut self, units: f64, now: Timestamp, window: Duration) {
        self.add(units, now, window);
        self.recent_peer_use.push_back((now, units));
        while self
            .recent_peer_use
            .pop_front_if(|(received, _)| now.since(*received) > RATE_WINDOW)
            .is_some()
        {}
    }

    /// Estimate of the units that peers have admitted and not reported yet, from the rate of their
    /// recent reports.
    fn unreported_use(&self, now: Timestamp, lag: Duration) -> f64 {
        let recent = self.recent_peer_use.iter();
        let units: f64 = recent
            .filter(|(received, _)| now.since(*received) <= RATE_WINDOW)
            .map(|(_, units)| units)
            .sum();
        units * lag.as_secs_f64() / RATE_WINDOW.as_secs_f64()
    }

    /// Merges the history of another router, as far as its total exceeds the use counted here but for
    /// `other` units that are not part of it.
    fn merge_history(
        &mut self,
        history: &UsageHistory,
        other: f64,
        now: Timestamp,
        window: Duration,
    ) {
        let total: f64 = history.0.iter().sum();
        let missing = total.min(total + other - self.used);
        if missing <= 0.0 {
            return;
        }
        let bucket = window / u32::try_from(history.0.len()).unwrap_or(1).max(1);
        for (index, units) in history.0.iter().enumerate() {
            let age = bucket * u32::try_from(index).unwrap_or(u32::MAX);
            let end = now.plus(window.saturating_sub(age));
            self.buckets.push_back((end, units * missing / total));
        }
        self.used += missing;
        self.buckets.make_contiguous().sort_by_key(|(end, _)| *end);
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((_, units)) = self.buckets.pop_front_if(|(end, _)| *end <= now) {
            self.used -= units;
        }
        if self.buckets.is_empty() {
            self.used = 0.0;
        }
    }

    /// The use by age. `unknown_use` is added to the newest bucket.
    fn history(&self, unknown_use: f64, now: Timestamp, window: Duration) -> UsageHistory {
        let mut buckets = vec![0.0; HISTORY_BUCKETS];
        buckets[0] = unknown_use;
        for (end, units) in self.buckets.iter().filter(|(end, _)| *end > now) {
            let left = end.since(now).as_secs_f64() / window.as_secs_f64();
            let age = (1.0 - left).max(0.0);
            let index = (age * HISTORY_BUCKETS as f64) as usize;
            buckets[index.min(HISTORY_BUCKETS - 1)] += units;
        }
        UsageHistory(buckets)
    }

    /// The own use of a router that has started within the window, by about the ages of all use.
    fn own_history(&self, now: Timestamp, window: Duration) -> UsageHistory {
        let UsageHistory(mut buckets) = self.history(0.0, now, window);
        let own = self.own.0 - self.own.1;
        let total: f64 = buckets.iter().sum();
        let fraction = if total > own { own / total } else { 1.0 };
        buckets.iter_mut().for_each(|units| *units *= fraction);
        UsageHistory(buckets)
    }

    /// Time until `units` have left the window.
    fn time_until_free(&self, units: f64, now: Timestamp, window: Duration) -> Duration {
        let mut left = units;
        if left <= 0.0 {
            return Duration::ZERO;
        }
        for (end, bucket) in &self.buckets {
            left -= bucket;
            if left <= 0.0 {
                return end.since(now);
            }
        }
        window
    }
}

/// Units that a request costs.
pub fn cost(unit: Unit, tokens: Option<u32>) -> f64 {
    match unit {
        Unit::Requests => 1.0,
        Unit::Tokens { unstated } => f64::from(tokens.unwrap_or(unstated)),
    }
}
