//! Ejection of failing backend servers under simulated loads: several gateways that report to each other,
//! and servers that fail in one way.

use {
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        net::SocketAddr,
        time::Duration,
    },
    tamarackdale_core::{
        fleet::{
            Demand, Fleet, Load, Member, Members, RequestLoad, Speed, TrialUse,
            containment::{Event, EventKind, Report},
            health::Failure,
        },
        time::Timestamp,
    },
};

const SERVICE_TIME_MS: u64 = 50;
const SLOTS: u32 = 4;

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Well,
    /// Answers too late, but answers.
    Slow,
    /// Closes the connection at once.
    Breaks,
    /// Accepts no connection.
    Unreachable,
    /// Answers at once with an error.
    Error,
    /// Answers this share of the requests with an error.
    Errors(f64),
    /// Refuses at once.
    Refuses,
    /// Never answers.
    Hangs,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    /// Index of a request.
    End(usize),
    Round,
}

struct Request {
    gateway: usize,
    server: usize,
    load: RequestLoad,
    sent: u64,
    behaviour: Behaviour,
}

struct Traffic {
    gateways: usize,
    servers: usize,
    per_second: f64,
    /// Time between two rounds of summaries.
    round_ms: u64,
    length_ms: u64,
}

/// Result of one run.
#[derive(Default)]
struct Outcome {
    /// Time and server of each request that was not answered well.
    failed: Vec<(u64, usize)>,
    answered: Vec<(u64, usize)>,
    unplaced: usize,
    /// Reports that were sent, each to all other gateways.
    reports: usize,
    events: Vec<(u64, usize, Event)>,
}

impl Outcome {
    /// Guards against a test in which the server that fails is not used at all.
    fn assert_used(&self, server: usize, until: u64) {
        let mut answered = self.answered.iter();
        let is_used = answered.any(|(sent, at)| *at == server && *sent < until);
        assert!(is_used, "server {server} was not used before");
    }

    fn ejected(&self) -> Vec<(u64, usize, &str)> {
        let ejected = self.events.iter();
        ejected
            .filter(|(.., event)| matches!(event.kind, EventKind::Ejected { .. }))
            .map(|(at, gateway, event)| (*at, *gateway, event.id.as_str()))
            .collect()
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn id(server: usize) -> String {
    format!("s{server:03}")
}

fn member(server: usize) -> Member {
    Member {
        id: id(server),
        started_at_ms: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + server as u16)),
        service: "plain".to_owned(),
        data_centre: "a".to_owned(),
        version: "v1".to_owned(),
        slots: SLOTS,
        is_leaving: false,
    }
}

fn members(servers: usize) -> Members {
    (0..servers).map(|it| (id(it), member(it))).collect()
}

fn demand(trial_use: TrialUse) -> Demand<'static> {
    Demand {
        service: "plain",
        prompt_tokens: 0,
        output_tokens: 0,
        excluded: &[],
        max_wait: Duration::ZERO,
        time_left: Duration::from_secs(2),
        prefix: None,
        data_centre: "a",
        begins_stream: false,
        required_version: None,
        max_remote: None,
        required_server: None,
        barred_versions: &[],
        trial_use,
    }
}

fn fleet(boot: u64, gateways: usize, servers: usize) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.set_containment(true, boot, at(0));
    fleet.update_members(&members(servers), at(0));
    let speed = Speed {
        occupancy_ms: Some(SERVICE_TIME_MS as f64),
        ..Speed::new()
    };
    for server in 0..servers {
        fleet.merge_speed(&id(server), &speed);
    }
    let containment = fleet.containment_mut().expect("enabled");
    (0..gateways as u64)
        .filter(|peer| *peer != boot)
        .for_each(|peer| containment.add_peer(peer));
    fleet
}

/// Runs a load; `behaviour` tells what a server does with a request of a gateway at a time.
fn run(load: &Traffic, behaviour: impl Fn(usize, usize, u64) -> Behaviour) -> Outcome {
    let mut random = StdRng::seed_from_u64(7);
    let mut fleets: Vec<Fleet> = (0..load.gateways)
        .map(|boot| fleet(boot as u64, load.gateways, load.servers))
        .collect();
    let mut requests: Vec<Request> = Vec::new();
    let mut agenda = BinaryHeap::from([
        Reverse((0, Happening::Arrival)),
        Reverse((0, Happening::Round)),
    ]);
    let mut sent_loads: BTreeMap<(usize, String), Load> = BTreeMap::new();
    let mut sent_reports: BTreeMap<usize, Vec<Report>> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut next_arrival = 0.0;
    while let Some(Reverse((now, happening))) = agenda.pop() {
        if now > load.length_ms {
            break;
        }
        match happening {
            Happening::Arrival => {
                next_arrival += -random.random::<f64>().max(1e-9).ln() * 1_000.0 / load.per_second;
                agenda.push(Reverse((next_arrival as u64, Happening::Arrival)));
                let gateway = random.random_range(0..load.gateways);
                let trial_use = match random.random_bool(0.5) {
                    true => TrialUse::Preferred,
                    false => TrialUse::Allowed,
                };
                let fleet = &mut fleets[gateway];
                let Ok(choice) = fleet.choose(&demand(trial_use), at(now), &mut random) else {
                    outcome.unplaced += 1;
                    continue;
                };
                let request = choice.request_load(0);
                fleet.reserve(&choice.member.id, request, at(now));
                fleet.record_start(&choice.member.id, request);
                let server: usize = choice.member.id[1..].parse().expect("a number");
                let behaviour = behaviour(gateway, server, now);
                let length = match behaviour {
                    Behaviour::Well | Behaviour::Errors(_) => {
                        random.random_range(SERVICE_TIME_MS / 2..SERVICE_TIME_MS * 3 / 2)
                    }
                    Behaviour::Slow => 1_900,
                    Behaviour::Hangs => 2_000,
                    _ => 1,
                };
                agenda.push(Reverse((now + length, Happening::End(requests.len()))));
                requests.push(Request {
                    gateway,
                    server,
                    load: request,
                    sent: now,
                    behaviour,
                });
            }
            Happening::End(number) => {
                let request = &requests[number];
                let fleet = &mut fleets[request.gateway];
                let server = id(request.server);
                let goes_down = request.behaviour == Behaviour::Well
                    && behaviour(request.gateway, request.server, now) == Behaviour::Breaks;
                let is_error = match request.behaviour {
                    Behaviour::Errors(share) => random.random_bool(share),
                    _ => false,
                };
                let failure = match request.behaviour {
                    _ if goes_down => Some(Failure::Broken),
                    Behaviour::Breaks => Some(Failure::Broken),
                    Behaviour::Unreachable => Some(Failure::Unreachable),
                    Behaviour::Refuses => Some(Failure::Rejected),
                    Behaviour::Error => Some(Failure::Error),
                    Behaviour::Errors(_) if is_error => Some(Failure::Error),
                    _ => None,
                };
                match (failure, request.behaviour) {
                    (_, Behaviour::Hangs) => {
                        fleet.record_silence(&server, at(request.sent), at(now));
                        outcome.failed.push((request.sent, request.server));
                    }
                    (Some(failure), _) => {
                        fleet.record_failure(&server, failure, at(now));
                        outcome.failed.push((request.sent, request.server));
                    }
                    (None, _) => {
                        let elapsed = Duration::from_millis(now - request.sent);
                        fleet.record_answer(&server, 0, Duration::ZERO, elapsed, at(now));
                        fleet.record_response(&server, true, at(now));
                        outcome.answered.push((request.sent, request.server));
                    }
                }
                fleet.record_end(&server, request.load, true);
            }
            Happening::Round => {
                agenda.push(Reverse((now + load.round_ms, Happening::Round)));
                for sender in 0..load.gateways {
                    outcome.reports +=
                        exchange(&mut fleets, sender, &mut sent_loads, &mut sent_reports, now);
                }
            }
        }
        for (gateway, fleet) in fleets.iter_mut().enumerate() {
            let events = fleet.take_containment_events();
            outcome
                .events
                .extend(events.into_iter().map(|it| (now, gateway, it)));
        }
    }
    outcome
}

/// Sends what has changed at one gateway to the others. Returns the number of reports.
fn exchange(
    fleets: &mut [Fleet],
    sender: usize,
    sent_loads: &mut BTreeMap<(usize, String), Load>,
    sent_reports: &mut BTreeMap<usize, Vec<Report>>,
    now: u64,
) -> usize {
    let loads: Vec<_> = fleets[sender].own_state().collect();
    let loads = loads.into_iter().filter(|entry| {
        let key = (sender, entry.id.clone());
        sent_loads.insert(key, entry.load) != Some(entry.load)
    });
    let loads: Vec<_> = loads.collect();
    let containment = fleets[sender].containment().expect("enabled");
    let reports = containment.reports(at(now));
    let before = sent_reports.insert(sender, reports.clone());
    let before = before.unwrap_or_default();
    let changed: Vec<_> = reports.iter().filter(|it| !before.contains(it)).collect();
    for (receiver, fleet) in fleets.iter_mut().enumerate() {
        if receiver == sender {
            continue;
        }
        for entry in &loads {
            fleet.merge_load(sender as u64, &entry.id, entry.load);
        }
        let containment = fleet.containment_mut().expect("enabled");
        for report in &changed {
            containment.merge(sender as u64, report, at(now));
        }
    }
    changed.len()
}

const NINE: Traffic = Traffic {
    gateways: 9,
    servers: 40,
    per_second: 2_000.0,
    round_ms: 10,
    length_ms: 12_000,
};

const FIFTY: Traffic = Traffic {
    gateways: 50,
    servers: 40,
    per_second: 2_000.0,
    round_ms: 40,
    length_ms: 12_000,
};

/// Down for the second half of each 1.4 s.
fn is_down(now: u64) -> bool {
    now % 1_400 >= 700
}

/// Guards against servers that draw requests each time they go down or come back.
#[rstest]
#[case::nine(NINE)]
#[case::fifty(FIFTY)]
fn servers_that_go_down_and_up_lose_few_requests_each_time(#[case] load: Traffic) {
    let outcome = run(&load, |_, server, now| match server < 4 && is_down(now) {
        true => Behaviour::Breaks,
        false => Behaviour::Well,
    });

    (0..4).for_each(|server| outcome.assert_used(server, 700));
    let downs = 4 * (load.length_ms / 1_400);
    let failed = outcome.failed.len() as u64;
    println!(
        "{failed} failed in {downs} times down, {} answered",
        outcome.answered.len()
    );
    assert!(
        failed <= 3 * downs,
        "{failed} requests failed in {downs} times down"
    );
    assert_eq!(outcome.unplaced, 0);
    assert!(outcome.ejected().iter().all(|(.., id)| *id < "s004"));
}

/// Guards against a server that fails at once, always has free slots, and so draws more and more requests.
#[rstest]
#[case::breaks(Behaviour::Breaks, NINE, 30)]
#[case::breaks_at_fifty(Behaviour::Breaks, FIFTY, 40)]
#[case::unreachable(Behaviour::Unreachable, NINE, 30)]
#[case::error(Behaviour::Error, NINE, 30)]
#[case::error_at_fifty(Behaviour::Error, FIFTY, 40)]
fn server_that_fails_at_once_draws_few_requests_and_returns_soon(
    #[case] failing: Behaviour,
    #[case] load: Traffic,
    #[case] most: usize,
) {
    let (begin, end) = (2_000, 8_000);
    // So many that the server is needed: with room elsewhere it would not be missed, nor be tried.
    let load = Traffic {
        per_second: 2_800.0,
        ..load
    };
    let outcome = run(&load, |_, server, now| {
        match server == 0 && (begin..end).contains(&now) {
            true => failing,
            false => Behaviour::Well,
        }
    });

    outcome.assert_used(0, begin);
    let failed = outcome.failed.len();
    let mut answered = outcome.answered.iter();
    let back = answered.find(|(sent, server)| *server == 0 && *sent >= end);
    let after_2s = outcome
        .answered
        .iter()
        .filter(|(sent, _)| *sent > end + 2_000);
    let share = after_2s.clone().filter(|(_, server)| *server == 0).count() * load.servers;
    println!(
        "{failed} failed, back at {back:?}, {share} of {}",
        after_2s.clone().count()
    );
    assert!(failed <= most, "{failed} failed: {:?}", outcome.failed);
    assert!(
        back.is_some_and(|(sent, _)| *sent <= end + 1_500),
        "{back:?}"
    );
    assert!(outcome.ejected().iter().all(|(.., id)| *id == "s000"));
}

/// Guards against a server that answers everything with an error and hides behind the errors that are usual
/// in its service.
#[rstest]
#[case::nine(NINE, 40)]
#[case::fifty(FIFTY, 110)]
fn server_with_errors_only_is_found_among_common_errors(
    #[case] load: Traffic,
    #[case] most: usize,
) {
    let outcome = run(&load, |_, server, now| match server == 0 && now >= 2_000 {
        true => Behaviour::Error,
        false => Behaviour::Errors(0.14),
    });

    outcome.assert_used(0, 2_000);
    let failed = outcome.failed.iter();
    let failed = failed.filter(|(sent, server)| *server == 0 && *sent >= 2_000);
    let failed = failed.count();
    println!("{failed} failed among common errors");
    assert!(failed <= most, "{failed} failed");
    assert!(outcome.ejected().iter().all(|(.., id)| *id == "s000"));
}

/// Guards against ejections for errors that are usual in a service.
#[rstest]
#[case::nine(NINE)]
#[case::fifty(FIFTY)]
fn common_errors_eject_nobody(#[case] load: Traffic) {
    let outcome = run(&load, |_, _, _| Behaviour::Errors(0.14));

    assert_eq!(outcome.ejected(), []);
    assert_eq!(outcome.unplaced, 0);
}

/// Guards against a gateway whose own link is broken and that blames the servers.
#[rstest]
#[case::breaks(Behaviour::Breaks)]
#[case::unreachable(Behaviour::Unreachable)]
fn gateway_with_a_broken_link_ejects_nobody(#[case] failing: Behaviour) {
    let outcome = run(&NINE, |gateway, _, now| {
        match gateway == 3 && now >= 2_000 {
            true => failing,
            false => Behaviour::Well,
        }
    });

    assert_eq!(outcome.ejected(), []);
}

/// Guards against an outage that the ejection itself causes.
#[test]
fn all_servers_failing_leaves_half_in_service_and_all_return() {
    let outcome = run(&NINE, |_, _, now| match (2_000..4_000).contains(&now) {
        true => Behaviour::Breaks,
        false => Behaviour::Well,
    });

    let after = outcome.answered.iter().filter(|(sent, _)| *sent >= 4_000);
    let expected = 2_000 * 8;
    assert_eq!(outcome.unplaced, 0);
    assert!(after.count() > expected * 95 / 100);
}

/// Guards against a pause of 30 ms, after which a server that refuses everything is asked again by each
/// gateway.
#[test]
fn server_that_refuses_with_free_slots_is_asked_rarely() {
    let outcome = run(&NINE, |_, server, now| match server == 0 && now >= 2_000 {
        true => Behaviour::Refuses,
        false => Behaviour::Well,
    });

    outcome.assert_used(0, 2_000);
    let failed = outcome.failed.len();
    println!("{failed} refusals");
    assert!(failed <= 120, "{failed} refusals in 10 s");
    assert_eq!(outcome.ejected(), []);
}

/// Guards against a server that answers nothing and fills its slots again and again.
#[test]
fn server_that_hangs_is_ejected() {
    let outcome = run(&NINE, |_, server, now| match server == 0 && now >= 2_000 {
        true => Behaviour::Hangs,
        false => Behaviour::Well,
    });

    outcome.assert_used(0, 2_000);
    let failed = outcome.failed.len();
    println!("{failed} to a server that hangs");
    assert!(
        failed <= 3 * SLOTS as usize,
        "{failed} requests to a server that hangs"
    );
    assert!(!outcome.ejected().is_empty());
    assert!(outcome.ejected().iter().all(|(.., id)| *id == "s000"));
}

/// Guards against reports that take the bandwidth of a gateway, while four servers go down and up.
#[rstest]
#[case(8, 5)]
#[case(41, 31)]
#[case(103, 78)]
#[case(360, 270)]
fn reports_fit_the_budget_of_bytes(#[case] gateways: usize, #[case] round_ms: u64) {
    // As `wire/tests/summary.rs` has it.
    const REPORT_BYTES: f64 = 80.0;
    const MOST_BYTES_PER_S: f64 = 15_000.0;
    let load = Traffic {
        gateways,
        round_ms,
        length_ms: 5_600,
        ..NINE
    };

    let outcome = run(&load, |_, server, now| match server < 4 && is_down(now) {
        true => Behaviour::Breaks,
        false => Behaviour::Well,
    });

    // Each report is sent to all others, so each gateway receives all and sends as many on average.
    let bytes = 2.0 * outcome.reports as f64 * REPORT_BYTES * 1_000.0 / load.length_ms as f64;
    println!(
        "{gateways} gateways: {} reports, {bytes:.0} bytes/s, {} failed",
        outcome.reports,
        outcome.failed.len()
    );
    assert!(outcome.reports > 0);
    assert!(bytes < MOST_BYTES_PER_S, "{bytes} bytes a second");
}

/// Guards against ejections of servers that are late because they are overloaded.
#[test]
fn late_answers_eject_nobody() {
    let load = Traffic {
        per_second: 250.0,
        ..NINE
    };
    let outcome = run(&load, |_, _, now| match now >= 2_000 {
        true => Behaviour::Slow,
        false => Behaviour::Well,
    });

    assert_eq!(outcome.ejected(), []);
}

/// Guards against a restarted server that gets its full share before it has answered anything.
#[test]
fn restarted_server_begins_with_two_requests_of_a_gateway() {
    let mut random = StdRng::seed_from_u64(7);
    let mut fleet = fleet(1, 1, 2);
    let mut restarted = members(2);
    restarted.get_mut("s000").expect("known").started_at_ms = 2;
    fleet.update_members(&restarted, at(1_000));
    // The other one is slower, and so comes first only where caution prevails.
    let speed = |occupancy_ms| Speed {
        occupancy_ms: Some(occupancy_ms),
        ..Speed::new()
    };
    fleet.merge_speed("s000", &speed(50.0));
    let elapsed = Duration::from_secs(10);
    fleet.record_answer("s001", 0, Duration::ZERO, elapsed, at(1_000));

    let chosen: Vec<String> = (0..2 * SLOTS)
        .map(|_| {
            let choice = fleet.choose(&demand(TrialUse::Allowed), at(1_000), &mut random);
            let choice = choice.expect("there is a free slot");
            let load = choice.request_load(0);
            fleet.record_start(&choice.member.id, load);
            choice.member.id
        })
        .collect();

    let (first, rest) = chosen.split_at(2);
    let (others, rest) = rest.split_at(SLOTS as usize);
    assert!(first.iter().all(|id| id == "s000"), "{chosen:?}");
    assert!(others.iter().all(|id| id == "s001"), "{chosen:?}");
    // With nothing else free it is used in full.
    assert!(rest.iter().all(|id| id == "s000"), "{chosen:?}");
}

/// Guards against a service that loses more than half of its servers by ejection, and against one that
/// keeps the worst of them.
#[test]
fn half_of_a_service_stays_and_has_failed_least() {
    let mut fleet = fleet(1, 1, 4);
    for server in 0..4 {
        for _ in 0..10 * server {
            fleet.record_response(&id(server), true, at(900));
        }
    }
    // Each of them fails so often that it is ejected alone.
    for server in 0..4 {
        for _ in 0..3 {
            fleet.record_failure(&id(server), Failure::Broken, at(1_000));
            fleet.record_response(&id((server + 1) % 4), false, at(1_000));
        }
        for _ in 0..2 {
            fleet.record_failure(&id(server), Failure::Broken, at(1_001));
        }
    }

    let containment = fleet.containment().expect("enabled");
    let ejected: Vec<usize> = (0..4)
        .filter(|server| containment.is_ejected(&id(*server), at(1_002)))
        .collect();
    assert_eq!(ejected, [0, 1]);
}

/// Guards against the reports of one gateway, whose fault it may be, and against counts out of range.
#[rstest]
#[case::three_without_success_elsewhere(3, false, 0)]
#[case::two(2, true, 0)]
#[case::three_with_success_elsewhere(3, true, 1)]
#[case::too_many(u32::MAX, true, 0)]
fn report_of_one_peer_needs_success_elsewhere(
    #[case] failures: u32,
    #[case] has_success_elsewhere: bool,
    #[case] ejected: u64,
) {
    let mut fleet = fleet(1, 2, 4);
    let report = Report {
        id: id(0),
        started_at_ms: 1,
        answered: 0,
        errors: 0,
        broken: failures,
        failures_in_row: failures,
        unreachable_in_row: 0,
        bad_in_row: failures,
        answered_since_return: 0,
        last_failure: Some(at(990)),
        success: None,
        paused_until: None,
        ejection: None,
        is_trying: false,
        has_success_elsewhere,
    };

    let containment = fleet.containment_mut().expect("enabled");
    containment.merge(0, &report, at(1_000));

    assert_eq!(containment.ejected()["plain"], ejected);
}
