//! The configuration cached by a router, under any order of the store's responses and restorations
//! of the store from older copies.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::Duration,
    tamarackdale_core::{
        cached_config::{CachedConfig, Outcome, Reading},
        freshness::BootTime,
        revision::{EraChange, EraObserver, Revision},
    },
};

const MAX_AGE: Duration = Duration::from_millis(3_000);

/// Time in which a change must take effect.
const CONVERGENCE: Duration = Duration::from_millis(2_000);

/// Longest time from a restoration until the operator has written again what was lost.
const MAX_REWRITE_MS: u64 = 2_000;

/// One step of a generated history.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operator writes the next version.
    Write,
    /// The router sends a request that names its cached version.
    Request,
    /// The response to the request `back` before the last one arrives, possibly again. It reflects
    /// the store at the time of the request.
    Response { back: usize },
    /// Only the head of that response arrives, which tells whether the entry has changed.
    Head { back: usize },
    /// The process restarts without a cached configuration.
    Restart,
    /// The store is restored from a copy that lacks the newest `lost` writes. The operator writes
    /// the newest version again after `rewrite_ms`.
    Restore { lost: usize, rewrite_ms: u64 },
    /// Time passes.
    Wait { millis: u64 },
}

/// A request that was sent, with the store's entry at that time.
#[derive(Clone, Copy, Debug)]
struct Request {
    sent: BootTime,
    cached: Option<Revision>,
    revision: Revision,
    version: u64,
    /// Whether the store then lacked a version that it had acknowledged.
    is_incomplete: bool,
}

/// The store and its operator.
struct Store {
    era: u64,
    /// Number and version of each write of the entry that the store has.
    writes: Vec<(u64, u64)>,
    /// When each version was first acknowledged, by version number.
    acknowledged: Vec<BootTime>,
    /// When the operator writes the newest version again.
    rewrite_at: Option<BootTime>,
}

impl Store {
    fn new(now: BootTime) -> Self {
        Self {
            era: 0,
            writes: vec![(5, 0)],
            acknowledged: vec![now],
            rewrite_at: None,
        }
    }

    fn write(&mut self, version: u64) {
        let number = self.revision().number + 1;
        self.writes.push((number, version));
    }

    fn revision(&self) -> Revision {
        let (number, _) = *self.writes.last().expect("the first write stays");
        Revision {
            era: self.era,
            number,
        }
    }

    fn version(&self) -> u64 {
        let (_, version) = *self.writes.last().expect("the first write stays");
        version
    }

    fn newest(&self) -> u64 {
        self.acknowledged.len() as u64 - 1
    }

    /// Lets the operator write again what is due.
    fn advance(&mut self, now: BootTime) {
        if self.rewrite_at.is_some_and(|at| at <= now) {
            self.rewrite_at = None;
            self.write(self.newest());
        }
    }

    fn restore(&mut self, lost: usize, rewrite_at: BootTime) {
        self.era += 1;
        // The numbers of the lost writes are given out again.
        let kept = self.writes.len().saturating_sub(lost).max(1);
        self.writes.truncate(kept);
        self.rewrite_at = (self.version() < self.newest()).then_some(rewrite_at);
    }
}

/// A router's cached configuration and what it knows of the store.
#[derive(Default)]
struct Router {
    cached: Option<CachedConfig<u64>>,
    eras: EraObserver,
    /// Whether the process started while the store lacked acknowledged versions, which it cannot
    /// know.
    started_incomplete: bool,
}

impl Router {
    /// Handles the response to a request as a gateway does.
    fn receive(&mut self, request: Request, now: BootTime) {
        if self.eras.observe(request.revision.era, now) == EraChange::Ended {
            return;
        }
        let is_settled = self.eras.is_settled(request.sent);
        let reading = Reading {
            value: request.version,
            version: request.version,
            revision: request.revision,
            sent: request.sent,
            is_settled,
        };
        self.cached = match self.cached.take() {
            None if request.cached.is_some() => None,
            None => {
                self.started_incomplete = request.is_incomplete;
                Some(CachedConfig::new(reading, MAX_AGE))
            }
            Some(cached) if request.cached == Some(request.revision) => Some(match is_settled {
                true => cached.confirmed(request.revision, request.sent, MAX_AGE),
                false => cached,
            }),
            Some(cached) => Some(cached.updated(reading, MAX_AGE).0),
        };
    }

    /// Handles the head of the response to a request as a gateway does.
    fn receive_head(&mut self, request: Request) {
        let Some(cached) = &self.cached else {
            return;
        };
        let is_answered = request.cached == Some(cached.revision);
        let is_same_era = request.revision.era == cached.revision.era;
        if is_answered && is_same_era && request.revision != cached.revision {
            self.cached = Some(cached.superseded(CONVERGENCE));
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Write),
        4 => Just(Step::Request),
        6 => (0_usize..4).prop_map(|back| Step::Response { back }),
        3 => (0_usize..4).prop_map(|back| Step::Head { back }),
        1 => Just(Step::Restart),
        1 => (0_usize..4, 0..MAX_REWRITE_MS)
            .prop_map(|(lost, rewrite_ms)| Step::Restore { lost, rewrite_ms }),
        4 => (1_u64..1_500).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn version_never_decreases_and_is_fresh_only_if_no_newer_one_is_older_than_the_limit(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut now = BootTime(1);
        let mut store = Store::new(now);
        let mut requests: Vec<Request> = Vec::new();
        let mut router = Router::default();
        for step in steps {
            match step {
                // The operator writes the next version only after the lost ones.
                Step::Write if store.rewrite_at.is_none() => {
                    store.acknowledged.push(now);
                    store.write(store.newest());
                }
                Step::Write => {}
                Step::Request => requests.push(Request {
                    sent: now,
                    cached: router.cached.as_ref().map(|cached| cached.revision),
                    revision: store.revision(),
                    version: store.version(),
                    is_incomplete: store.rewrite_at.is_some(),
                }),
                Step::Response { back } => {
                    let Some(at) = requests.len().checked_sub(back + 1) else { continue };
                    let before = router.cached.as_ref().map(|cached| cached.version);
                    router.receive(requests[at], now);
                    let after = router.cached.as_ref().map(|cached| cached.version);
                    prop_assert!(before <= after, "{before:?} to {after:?}");
                }
                Step::Head { back } => {
                    let Some(at) = requests.len().checked_sub(back + 1) else { continue };
                    router.receive_head(requests[at]);
                }
                Step::Restart => {
                    router = Router::default();
                    requests.clear();
                }
                Step::Restore { lost, rewrite_ms } => {
                    store.restore(lost, BootTime(now.0 + rewrite_ms));
                }
                Step::Wait { millis } => {
                    now = BootTime(now.0 + millis);
                    store.advance(now);
                }
            }
            let Some(cached) = &router.cached else { continue };
            prop_assert_eq!(*cached.value, cached.version);
            if cached.freshness.is_fresh(now)
                && !router.started_incomplete
                && let Some(superseded) = store.acknowledged.get(cached.version as usize + 1)
            {
                prop_assert!(now.since(*superseded) < MAX_AGE);
            }
            if cached.max_superseded_age.is_some()
                && cached.is_usable(now)
                && !router.started_incomplete
                && let Some(superseded) = store.acknowledged.get(cached.version as usize + 1)
            {
                prop_assert!(now.since(*superseded) < CONVERGENCE);
            }
        }
    }
}

fn reading(era: u64, number: u64, version: u64, sent_ms: u64, is_settled: bool) -> Reading<u64> {
    Reading {
        value: version,
        version,
        revision: Revision { era, number },
        sent: BootTime(sent_ms),
        is_settled,
    }
}

#[test]
fn number_that_was_given_out_again_confirms_nothing() {
    let cached = CachedConfig::new(reading(0, 7, 3, 1_000, true), MAX_AGE);
    let given_out_again = Revision { era: 1, number: 7 };

    let confirmed = cached.confirmed(given_out_again, BootTime(9_000), MAX_AGE);

    assert!(!confirmed.freshness.is_fresh(BootTime(9_100)));
}

#[test]
fn restored_store_that_shows_an_older_version_changes_nothing() {
    let cached = CachedConfig::new(reading(0, 7, 3, 1_000, true), MAX_AGE);

    let (kept, outcome) = cached.updated(reading(1, 5, 2, 2_000, false), MAX_AGE);

    assert_eq!((outcome, kept.version), (Outcome::Kept, 3));
    assert_eq!(
        kept.freshness.age(BootTime(2_000)),
        Some(Duration::from_secs(1))
    );
}

#[test]
fn version_that_is_written_again_is_confirmed() {
    let cached = CachedConfig::new(reading(0, 7, 3, 1_000, true), MAX_AGE);
    let (kept, _) = cached.updated(reading(1, 5, 2, 2_000, false), MAX_AGE);

    let (again, _) = kept.updated(reading(1, 6, 3, 5_000, true), MAX_AGE);

    assert_eq!(again.version, 3);
    assert!(again.freshness.is_fresh(BootTime(5_100)));
}

#[test]
fn response_from_before_the_restoration_is_outdated() {
    let cached = CachedConfig::new(reading(1, 5, 3, 1_000, true), MAX_AGE);

    let (kept, outcome) = cached.updated(reading(0, 9, 4, 900, true), MAX_AGE);

    assert_eq!((outcome, kept.version), (Outcome::Outdated, 3));
}

#[test]
fn superseded_version_is_used_for_as_long_as_a_change_may_take() {
    let cached = CachedConfig::new(reading(0, 7, 3, 1_000, true), MAX_AGE);

    let superseded = cached.superseded(CONVERGENCE);

    assert!(superseded.is_usable(BootTime(2_999)));
    assert!(!superseded.is_usable(BootTime(3_000)));
    assert!(cached.is_usable(BootTime(60_000)));
    assert!(superseded.retained().is_usable(BootTime(60_000)));
}

#[test]
fn version_that_was_read_is_not_superseded() {
    let superseded = CachedConfig::new(reading(0, 7, 3, 1_000, true), MAX_AGE);
    let superseded = superseded.superseded(CONVERGENCE);

    let (updated, _) = superseded.updated(reading(0, 8, 4, 2_000, true), MAX_AGE);

    assert!(updated.is_usable(BootTime(60_000)));
}

/// Guards against a process that starts soon after a restoration of the store and takes an older configuration
/// for the newest one.
#[test]
fn first_read_of_a_store_that_was_restored_is_no_proof_until_it_has_settled() {
    let mut eras = EraObserver::new();
    eras.observe(1, BootTime(1_000));
    let is_settled = |sent| eras.is_settled(BootTime(sent));

    let early = CachedConfig::new(reading(1, 5, 1, 1_000, is_settled(1_000)), MAX_AGE);
    let late = early.confirmed(early.revision, BootTime(3_300), MAX_AGE);

    assert!(!is_settled(1_000) && is_settled(3_300));
    assert!(!early.freshness.is_fresh(BootTime(1_001)));
    assert!(late.freshness.is_fresh(BootTime(3_301)));
}

/// Guards against a process that does not accept keys at its start, although the store was never restored.
#[test]
fn first_read_of_a_store_that_was_never_restored_is_proof() {
    let mut eras = EraObserver::new();
    eras.observe(0, BootTime(1_000));

    let first = reading(0, 5, 1, 1_000, eras.is_settled(BootTime(1_000)));
    let cached = CachedConfig::new(first, MAX_AGE);

    assert!(cached.freshness.is_fresh(BootTime(1_001)));
}
