//! Admission under overload: who gets a slot, compared with the order by time left alone.

use {
    rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _},
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{
        admission::{Admission, Factor, Forecast, Return, Returns, Shares, Subject, Waiting, Work},
        tier::Rank,
        time::Timestamp,
        wait_policy,
        wait_queue::{SchedulingKey, WaitQueue},
    },
};

const SLOTS: usize = 60;
const MEAN_SLOT_MS: f64 = 400.0;
const OBJECTIVE: Duration = Duration::from_millis(1_200);
const TIMEOUT: Duration = Duration::from_secs(8);
const ORGANISATIONS: usize = 20;

/// Largest size relative to the smallest.
const SIZE_FACTOR: f64 = 20.0;

/// Interval at which gateways observe the slots that they use.
const UPKEEP_MS: u64 = 50;

const RANK: Rank = Rank(0);

/// Interval at which gateways tell each other of the work that they started.
const EXCHANGE_MS: u64 = 1_000;

/// Part of the slot time until the first event.
const FIRST_PART: f64 = 0.2;

/// What is decided by admission control; without any of it, the order is by time left and the retry
/// delay is drawn.
#[derive(Clone, Copy, Debug)]
struct Policy {
    is_ordered: bool,
    has_returns: bool,
    refuses_early: bool,
}

const BEFORE: Policy = Policy {
    is_ordered: false,
    has_returns: false,
    refuses_early: false,
};

const ORDER: Policy = Policy {
    is_ordered: true,
    ..BEFORE
};

const EARLY: Policy = Policy {
    refuses_early: true,
    ..RETURNS
};

const RETURNS: Policy = Policy {
    has_returns: true,
    ..ORDER
};

/// Requests per second relative to the room, and at which gateways and organisations they arrive.
#[derive(Clone, Copy, Debug)]
struct Load {
    base: f64,
    peak: f64,
    /// Begin and length of the peak, in milliseconds.
    peak_at: (u64, u64),
    /// Factor of the first organisation during the peak.
    organisation_factor: f64,
    gateways: &'static [f64],
    length_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    subject: Subject,
    size: f64,
    slot_ms: u64,
    first_accepted: u64,
    accepted: u64,
    deadline: u64,
    is_retry: bool,
    is_promised: bool,
}

/// How a caller ended.
#[derive(Clone, Copy, Debug)]
struct End {
    caller: Caller,
    gateway: usize,
    is_served: bool,
    is_on_time: bool,
    worth: f64,
}

#[derive(Debug, Default)]
struct Ends(Vec<End>);

struct Gateway {
    queue: WaitQueue<(Caller, u64)>,
    admission: Admission,
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

impl Ends {
    fn share(&self, of: impl Fn(&End) -> bool) -> f64 {
        let (mut all, mut served) = (0, 0);
        for end in self.0.iter().filter(|end| of(end)) {
            all += 1;
            served += usize::from(end.is_served);
        }
        f64::from(served as u32) / f64::from(all.max(1) as u32)
    }

    fn served(&self) -> usize {
        self.0.iter().filter(|end| end.is_served).count()
    }

    fn on_time(&self) -> usize {
        self.0.iter().filter(|end| end.is_on_time).count()
    }

    fn worth(&self) -> f64 {
        self.0.iter().map(|end| end.worth).sum()
    }
}

/// Worth of an answer, and the part of it that a refusal after `elapsed` of the caller's time costs.
fn worth(size: f64) -> f64 {
    (0.3 + 0.7 * size).min(4.0)
}

fn refusal_cost(elapsed_ms: u64) -> f64 {
    let free = OBJECTIVE.as_millis() as f64 / 8.0;
    let whole = TIMEOUT.as_millis() as f64 * 0.75;
    ((elapsed_ms as f64 - free) / (whole - free)).clamp(0.0, 1.0)
}

struct Run {
    policy: Policy,
    random: SmallRng,
    gateways: Vec<Gateway>,
    running: Vec<(u64, usize)>,
    ends: Ends,
}

impl Run {
    fn key(&self, caller: &Caller) -> SchedulingKey {
        let first = Duration::from_millis((caller.slot_ms as f64 * FIRST_PART) as u64);
        SchedulingKey {
            rank: RANK,
            is_resumed: false,
            is_retry: caller.is_retry,
            on_time_until: wait_policy::on_time_until(at(caller.accepted), OBJECTIVE, first),
        }
    }

    fn arrive(&mut self, caller: Caller, gateway: usize, now: u64) {
        let key = self.key(&caller);
        let wait_until = wait_policy::wait_deadline(at(caller.accepted), at(caller.deadline));
        let own = &mut self.gateways[gateway];
        let slot_time = Duration::from_millis(caller.slot_ms);
        let admission = &mut own.admission;
        admission.record_arrival(caller.subject, RANK, slot_time, caller.is_retry, at(now));
        own.queue
            .insert(key, (caller, wait_until.as_micros() / 1_000));
        self.place(gateway, now);
    }

    /// Places requests that wait at the gateway in the free slots.
    fn place(&mut self, gateway: usize, now: u64) {
        if self.running.len() >= SLOTS || self.gateways[gateway].queue.is_empty() {
            return;
        }
        for number in self.order(gateway, now) {
            if self.running.len() >= SLOTS {
                return;
            }
            let own = &mut self.gateways[gateway];
            let (caller, _) = own.queue.remove(number).expect("it waits");
            let slot_time = Duration::from_millis(caller.slot_ms);
            own.admission
                .record_start(caller.subject, slot_time, at(now));
            // Predictions are wrong by up to a half either way.
            let actual = caller.slot_ms as f64 * self.random.random_range(0.5..1.5);
            self.running.push((now + actual as u64, gateway));
            let first = now + (actual * FIRST_PART) as u64;
            let is_served = now + actual as u64 <= caller.deadline;
            let objective = OBJECTIVE.as_millis() as u64;
            self.ends.0.push(End {
                caller,
                gateway,
                is_served,
                is_on_time: is_served && first <= caller.first_accepted + objective,
                worth: if is_served {
                    worth(caller.size)
                } else {
                    -worth(caller.size)
                },
            });
        }
    }

    fn order(&self, gateway: usize, now: u64) -> Vec<u64> {
        let own = &self.gateways[gateway];
        if !self.policy.is_ordered {
            return own.queue.order(at(now));
        }
        own.queue.order_by(at(now), |(caller, _)| {
            let slot_time = Duration::from_millis(caller.slot_ms);
            own.admission.precedence(caller.subject, slot_time, at(now))
        })
    }

    /// Frees the slots of requests that end; the gateway of each uses it first, then any other.
    fn free(&mut self, now: u64) {
        let ended: Vec<usize> = self
            .running
            .extract_if(.., |(end, _)| *end <= now)
            .map(|(_, gateway)| gateway)
            .collect();
        for owner in ended {
            let mut candidates: Vec<usize> = (0..self.gateways.len()).collect();
            candidates.shuffle(&mut self.random);
            // Less urgent requests leave the slot to peers; of equally urgent ones the owner's go first.
            let urgency = |gateway: usize| {
                let keys = self.gateways[gateway].queue.iter();
                keys.map(|(key, _)| key.urgency(at(now))).min()
            };
            let next = candidates
                .into_iter()
                .filter_map(|gateway| Some((urgency(gateway)?, gateway != owner, gateway)))
                .min_by_key(|(urgency, is_other, _)| (*urgency, *is_other));
            if let Some((_, _, gateway)) = next {
                self.place(gateway, now);
            }
        }
    }

    fn observe_slots(&mut self, now: u64) {
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            let own = self.running.iter().filter(|(_, at)| *at == number).count();
            let part = own as f64 / self.running.len().max(1) as f64;
            let returns = gateway.admission.returns_mut();
            returns.observe_slots(SLOTS as f64 * part, at(now));
        }
    }

    fn exchange_work(&mut self, now: u64) {
        let works: Vec<Work> = self
            .gateways
            .iter_mut()
            .map(|gateway| gateway.admission.work(at(now)))
            .collect();
        for (peer, work) in works.iter().enumerate() {
            for (own, gateway) in self.gateways.iter_mut().enumerate() {
                if own != peer {
                    let merged = gateway
                        .admission
                        .merge_work(peer as u64, work.clone(), at(now));
                    merged.expect("it is valid");
                }
            }
        }
    }

    fn hopeless(&mut self, gateway: usize, now: u64) -> Vec<u64> {
        if !self.policy.refuses_early || !now.is_multiple_of(UPKEEP_MS) {
            return Vec::new();
        }
        let order = self.order(gateway, now);
        let own = &mut self.gateways[gateway];
        let waiting = order.into_iter().map(|number| {
            let (_, (caller, until)) = own.queue.get(number).expect("it waits");
            Waiting {
                number,
                slot_time: Duration::from_millis(caller.slot_ms),
                wait_left: at(*until).since(at(now)),
            }
        });
        let waiting: Vec<Waiting> = waiting.collect();
        own.admission.forecast_mut().hopeless(&waiting, at(now))
    }

    fn return_delay(
        &mut self,
        caller: &Caller,
        gateway: usize,
        left_ms: u64,
        now: u64,
    ) -> (Duration, bool) {
        let left = Duration::from_millis(left_ms);
        let random = self.random.random();
        if !self.policy.has_returns {
            return (wait_policy::retry_after(left, random), false);
        }
        let slot_time = Duration::from_millis(caller.slot_ms);
        let returns = self.gateways[gateway].admission.returns_mut();
        let decided = returns.assign(RANK, slot_time, left, random, at(now));
        (decided.delay, decided.is_promised)
    }

    /// Refuses those whose wait is over, and returns the callers that come again, with the time.
    fn refuse(&mut self, now: u64) -> Vec<(u64, Caller)> {
        let mut returns = Vec::new();
        for gateway in 0..self.gateways.len() {
            let hopeless = self.hopeless(gateway, now);
            for number in self.gateways[gateway].queue.order(at(now)) {
                let queue = &mut self.gateways[gateway].queue;
                let (_, (caller, until)) = queue.get(number).expect("it waits");
                if *until > now && !hopeless.contains(&number) {
                    continue;
                }
                let caller = *caller;
                queue.remove(number);
                let left = caller.deadline.saturating_sub(now);
                if caller.is_retry || left == 0 {
                    let elapsed = now - caller.first_accepted;
                    self.ends.0.push(End {
                        caller,
                        gateway,
                        is_served: false,
                        is_on_time: false,
                        worth: -worth(caller.size) * refusal_cost(elapsed),
                    });
                    continue;
                }
                let (delay, is_promised) = self.return_delay(&caller, gateway, left, now);
                let again = now + delay.as_millis() as u64;
                let caller = Caller {
                    is_retry: true,
                    is_promised,
                    accepted: again,
                    ..caller
                };
                returns.push((again, caller));
            }
        }
        returns
    }
}

fn run(load: &Load, policy: Policy, seed: u64) -> Ends {
    let mut arrivals = SmallRng::seed_from_u64(seed);
    let mut run = Run {
        policy,
        random: SmallRng::seed_from_u64(seed + 1),
        gateways: load
            .gateways
            .iter()
            .map(|_| Gateway {
                queue: WaitQueue::new(),
                admission: Admission::new(),
            })
            .collect(),
        running: Vec::new(),
        ends: Ends::default(),
    };
    let mean_size = (SIZE_FACTOR - 1.0) / SIZE_FACTOR.ln();
    let total: f64 = load.gateways.iter().sum();
    let mut returns: Vec<(u64, Caller)> = Vec::new();
    for now in 0..load.length_ms + 10_000 {
        if now.is_multiple_of(EXCHANGE_MS) {
            run.exchange_work(now);
        }
        run.free(now);
        if now.is_multiple_of(UPKEEP_MS) {
            run.observe_slots(now);
        }
        returns.extend(run.refuse(now));
        let mut due: Vec<(u64, Caller)> =
            returns.extract_if(.., |(again, _)| *again <= now).collect();
        let is_peak = now >= load.peak_at.0 && now < load.peak_at.0 + load.peak_at.1;
        let factor = if is_peak { load.peak } else { load.base };
        for organisation in 0..ORGANISATIONS {
            let factor = match organisation == 0 && is_peak {
                true => factor * load.organisation_factor,
                false => factor,
            };
            let rate = SLOTS as f64 / MEAN_SLOT_MS / ORGANISATIONS as f64 * factor;
            if now < load.length_ms && arrivals.random::<f64>() < rate {
                let size = SIZE_FACTOR.powf(arrivals.random()) / mean_size;
                let tokens = (size * 1_000.0) as u32;
                due.push((
                    now,
                    Caller {
                        subject: Subject::new(&format!("o{organisation}"), "chat", tokens, 0),
                        size,
                        slot_ms: (size * MEAN_SLOT_MS) as u64,
                        first_accepted: now,
                        accepted: now,
                        deadline: now + TIMEOUT.as_millis() as u64,
                        is_retry: false,
                        is_promised: false,
                    },
                ));
            }
        }
        for (_, caller) in due {
            let mut point = run.random.random::<f64>() * total;
            let gateway = load.gateways.iter().position(|part| {
                point -= part;
                point < 0.0
            });
            run.arrive(caller, gateway.unwrap_or_default(), now);
        }
    }
    run.ends
}

/// Ends of the callers of several runs.
fn runs(load: &Load, policy: Policy) -> Ends {
    let ends = (1..=SEEDS).map(|seed| run(load, policy, seed * 100));
    Ends(ends.flat_map(|ends| ends.0).collect())
}

fn print_figures(name: &str, before: &Ends, with: &Ends) {
    for (when, ends) in [("before", before), ("now", with)] {
        println!(
            "{name} {when}: {} callers, {} in time, {} served, worth {:.0}",
            ends.0.len(),
            ends.on_time(),
            ends.served(),
            ends.worth()
        );
    }
}

fn relative_size(quantile: f64) -> f64 {
    SIZE_FACTOR.powf(quantile) * SIZE_FACTOR.ln() / (SIZE_FACTOR - 1.0)
}

const SEEDS: u64 = 4;

/// A service at 1.3 times its capacity for 30 s, with sizes over a factor of 20.
const SUSTAINED: Load = Load {
    base: 1.3,
    peak: 1.3,
    peak_at: (0, 0),
    organisation_factor: 1.0,
    gateways: &[1.0; 6],
    length_ms: 30_000,
};

/// A burst of 2.2 times the room for 2.5 s.
const BURST: Load = Load {
    base: 0.85,
    peak: 2.2,
    peak_at: (9_000, 2_500),
    length_ms: 17_000,
    ..SUSTAINED
};

/// An organisation at 6 times its usual.
const ORGANISATION: Load = Load {
    base: 0.95,
    peak: 0.95,
    peak_at: (2_000, 16_000),
    organisation_factor: 6.0,
    length_ms: 18_000,
    ..SUSTAINED
};

/// Two gateways of very different strength under the sustained overload.
const UNEVEN: Load = Load {
    gateways: &[8.0, 1.0],
    ..SUSTAINED
};

/// Guards against an order by which fewer callers are served, or served in time, than by the order by
/// time left.
#[rstest]
#[case::burst(BURST)]
#[case::sustained(SUSTAINED)]
#[case::uneven_gateways(UNEVEN)]
fn order_by_size_serves_more_callers(#[case] load: Load) {
    let before = runs(&load, BEFORE);
    let with = runs(&load, ORDER);

    print_figures("", &before, &with);
    assert!(with.on_time() > before.on_time());
    assert!(with.served() > before.served());
    assert!(with.worth() > 0.99 * before.worth());
}

/// Guards against large requests that are hardly ever served because smaller ones always go first.
#[rstest]
#[case::burst(BURST)]
#[case::sustained(SUSTAINED)]
#[case::uneven_gateways(UNEVEN)]
fn large_requests_are_served_at_least_half_as_often(#[case] load: Load) {
    let ends = runs(&load, ORDER);

    let of_all = ends.share(|_| true);
    let is_large = |end: &End| (relative_size(0.7)..relative_size(0.9)).contains(&end.caller.size);
    let large = ends.share(is_large);
    let largest = ends.share(|end| end.caller.size >= relative_size(0.9));
    println!("served: {of_all:.2} of all, {large:.2} of large, {largest:.2} of largest");
    assert!(large >= 0.5 * of_all);
    assert!(largest >= 0.5 * of_all);
}

/// Guards against a weaker gateway at which callers are served more rarely than at a stronger one.
#[test]
fn gateways_of_different_strength_serve_about_the_same_share() {
    let ends = runs(&UNEVEN, ORDER);

    let strong = ends.share(|end| end.gateway == 0);
    let weak = ends.share(|end| end.gateway == 1);
    println!("served: {strong:.2} at the strong gateway, {weak:.2} at the weak one");
    assert!((strong - weak).abs() < 0.1);
}

/// Guards against an organisation far over its share that displaces the requests of others, or that is
/// hardly served itself.
#[test]
fn organisation_over_its_share_displaces_few_others() {
    let before = runs(&ORGANISATION, BEFORE);
    let with = runs(&ORGANISATION, ORDER);

    let first = Subject::new("o0", "chat", 0, 0).organisation;
    let is_first = |end: &End| end.caller.subject.organisation == first;
    let others_before = before.share(|end| !is_first(end));
    let others = with.share(|end| !is_first(end));
    let own = with.share(is_first);
    println!(
        "served: {others_before:.3} of others before, {others:.3} now, {own:.3} of its own now, {:.3} before; in time {} before, {} now",
        before.share(is_first),
        before.on_time(),
        with.on_time()
    );
    assert!(others > others_before);
    assert!(others >= 0.97);
    assert!(own >= 0.25 * with.share(|_| true));
}

fn shares_with_five_organisations() -> Shares {
    let mut shares = Shares::default();
    for organisation in 0..5 {
        shares.record_start(organisation, Duration::from_millis(400), at(0));
    }
    shares
}

fn work(total_s: f64, of_first_s: f64) -> Work {
    Work {
        total_s,
        organisations: vec![(0, of_first_s)],
    }
}

/// Guards against an organisation that goes after others for good because of a peer that was lost.
#[test]
fn work_at_a_lost_peer_counts_for_four_seconds() {
    let mut shares = shares_with_five_organisations();
    shares.merge(7, work(4.0, 3.0), at(0)).expect("is valid");
    let is_over = shares.is_over(0, at(1_000));

    for organisation in 0..5 {
        shares.record_start(organisation, Duration::from_millis(400), at(4_000));
    }

    assert!(is_over);
    assert!(!shares.is_over(0, at(4_000)));
}

/// Guards against a gateway without peers that does not share fairly what it has.
#[test]
fn gateway_that_is_cut_off_counts_its_own_work() {
    let mut shares = shares_with_five_organisations();
    let is_over_before = shares.is_over(0, at(0));

    for _ in 0..4 {
        shares.record_start(0, Duration::from_millis(400), at(100));
    }

    assert!(!is_over_before);
    assert!(shares.is_over(0, at(200)));
    assert!(!shares.is_over(1, at(200)));
}

/// Guards against log lines that name the wrong reason for a refusal.
#[test]
fn factor_names_the_share_before_the_size() {
    let mut admission = Admission::new();
    let slot_time = Duration::from_millis(400);
    let small = |organisation: &str| Subject::new(organisation, "chat", 100, 0);
    let large = |organisation: &str| Subject::new(organisation, "chat", 1_000, 0);
    for subject in ["a", "b", "c", "d", "e"].map(small) {
        admission.record_arrival(subject, RANK, slot_time, false, at(0));
        admission.record_start(subject, slot_time, at(0));
    }
    for _ in 0..5 {
        admission.record_start(small("a"), slot_time, at(0));
    }

    let factor = |subject| admission.factor(subject, at(100));

    assert_eq!(factor(large("a")), Factor::Share);
    assert_eq!(factor(large("b")), Factor::Size);
    assert_eq!(factor(small("b")), Factor::Time);
}

/// After a start the shares are equal.
#[test]
fn nobody_is_over_its_share_after_a_start() {
    let shares = Shares::default();

    assert!(!shares.is_over(0, at(0)));
}

/// Guards against a peer whose faulty numbers decide who is served.
#[rstest]
#[case::no_number(work(f64::NAN, 3.0))]
#[case::infinite(work(4.0, f64::INFINITY))]
#[case::negative(work(-4.0, 3.0))]
#[case::too_large(work(1e10, 1e10))]
fn work_out_of_range_is_ignored(#[case] work: Work) {
    let mut shares = shares_with_five_organisations();

    let merged = shares.merge(7, work, at(0));

    assert!(merged.is_err());
    assert!(!shares.is_over(0, at(0)));
}

/// Guards against returns that meet in the time in which those refused before them return already, or
/// that are promised slots which are not there.
#[test]
fn callers_refused_in_a_sharp_burst_are_served_when_they_return() {
    let load = Load {
        base: 0.5,
        peak: 3.0,
        peak_at: (9_000, 1_500),
        ..BURST
    };
    let drawn = runs(&load, ORDER);
    let with = runs(&load, RETURNS);

    let returning = |ends: &Ends| ends.share(|end| end.caller.is_retry);
    let promised = with.share(|end| end.caller.is_promised);
    println!(
        "served: {:.3} of the returning with drawn times, {:.3} now, {promised:.3} of the promised",
        returning(&drawn),
        returning(&with),
    );
    print_figures("in a sharp burst", &drawn, &with);
    assert!(returning(&with) > returning(&drawn));
    assert!(promised > returning(&with));
    assert!(with.served() >= drawn.served());
}

/// Guards against promises of slots that are taken by new requests, and of the same slot twice.
#[test]
fn no_more_is_promised_than_is_predicted_to_be_free() {
    let mut returns = Returns::default();
    let slot_time = Duration::from_millis(250);
    for millis in (0..8_000).step_by(250) {
        returns.observe_slots(10.0, at(millis));
        // Eight of the ten slots.
        for _ in 0..8 {
            returns.record_arrival(RANK, slot_time, at(millis));
        }
    }

    let now = at(8_000);
    let mut assign = |rank| returns.assign(rank, slot_time, TIMEOUT, 0.5, now);
    let urgent: Vec<Return> = (0..30).map(|_| assign(RANK)).collect();
    let other = assign(Rank(1));

    // Six steps of 250 ms lie in the time in which a caller returns, two requests in each.
    let promised = urgent.iter().filter(|one| one.is_promised).count();
    assert!((10..=14).contains(&promised), "{promised}");
    assert!(!other.is_promised, "what is promised to a more urgent rank");
    let (earliest, latest) = wait_policy::retry_range(TIMEOUT);
    assert!(
        urgent
            .iter()
            .all(|one| (earliest..=latest).contains(&one.delay))
    );
}

/// Guards against promises under an overload that lasts.
#[test]
fn nothing_is_promised_while_new_requests_need_all_slots() {
    let mut returns = Returns::default();
    for millis in (0..8_000).step_by(100) {
        returns.observe_slots(10.0, at(millis));
        returns.record_arrival(RANK, Duration::from_millis(1_300), at(millis));
    }

    let assigned = returns.assign(RANK, Duration::from_millis(100), TIMEOUT, 0.5, at(8_000));

    assert!(!assigned.is_promised);
    assert_eq!(assigned.delay, wait_policy::retry_after(TIMEOUT, 0.5));
}

/// Guards against callers that are held for their whole wait although they cannot get a slot, which
/// costs more of their time, and against fewer served callers in return.
#[test]
fn early_refusal_costs_callers_less_under_sustained_overload() {
    let held = runs(&SUSTAINED, RETURNS);
    let early = runs(&SUSTAINED, EARLY);

    print_figures("1.3 for 30 s, early refusal", &held, &early);
    assert!(early.worth() > held.worth());
    assert!(early.on_time() as f64 >= 0.99 * held.on_time() as f64);
    assert!(early.served() as f64 >= 0.99 * held.served() as f64);
}

/// Guards against early refusals in a short burst, after which the callers would have been served.
#[test]
fn callers_are_held_in_a_short_burst() {
    let held = runs(&BURST, RETURNS);
    let early = runs(&BURST, EARLY);

    print_figures("burst, early refusal", &held, &early);
    assert!(early.served() as f64 >= 0.995 * held.served() as f64);
}

fn waiting(number: u64, wait_left_ms: u64) -> Waiting {
    Waiting {
        number,
        slot_time: Duration::from_millis(500),
        wait_left: Duration::from_millis(wait_left_ms),
    }
}

/// A forecast at a gateway that starts one request of 500 ms every 500 ms, for which requests have waited
/// until `waited_ms`.
fn forecast(waited_ms: u64) -> Forecast {
    let mut forecast = Forecast::default();
    for millis in (0..=waited_ms).step_by(100) {
        if millis.is_multiple_of(500) {
            forecast.record_start(Duration::from_millis(500), at(millis));
            forecast.record_start(Duration::from_millis(500), at(millis));
        }
        forecast.hopeless(&[waiting(0, 800)], at(millis));
    }
    forecast
}

/// Guards against early refusals of requests that get their slot, and without a reason to expect none.
#[test]
fn only_requests_without_a_slot_in_time_are_refused_early() {
    let line: Vec<Waiting> = (0..8).map(|number| waiting(number, 800)).collect();

    // Two seconds of slot time each second: the request number 5 waits for 1.25 s.
    let sustained = forecast(4_000).hopeless(&line, at(4_000));
    let soon = forecast(2_000).hopeless(&line, at(2_000));
    let after_a_start = Forecast::default().hopeless(&line, at(4_000));

    assert_eq!(sustained, [5, 6, 7]);
    assert!(soon.is_empty());
    assert!(after_a_start.is_empty());
}
