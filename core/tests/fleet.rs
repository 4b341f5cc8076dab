//! Choice of a backend server under different load patterns.

use {
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
    tamarackdale_core::{
        fleet::{
            Demand, Fleet, Load, Member, Members, RequestLoad, SharedPrefix, Shortage, Speed,
            health::Failure,
            pause::MAX_PAUSE,
            statement::{Notice, Report},
        },
        time::Timestamp,
    },
};

const SLOTS: u32 = 10;

fn member(id: &str) -> Member {
    Member {
        id: id.to_owned(),
        started_at_ms: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        version: "v1".to_owned(),
        slots: SLOTS,
        is_leaving: false,
    }
}

fn members(ids: &[&str]) -> Members {
    ids.iter()
        .map(|id| ((*id).to_owned(), member(id)))
        .collect()
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.update_members(&members(ids), Timestamp::START);
    fleet
}

fn demand<'a>(prompt: u32, output: u32) -> Demand<'a> {
    Demand {
        service: "llm",
        prompt_tokens: prompt,
        output_tokens: output,
        excluded: &[],
        max_wait: Duration::from_millis(300),
        time_left: Duration::from_secs(15),
        prefix: None,
        data_centre: "a",
        begins_stream: false,
        required_version: None,
        max_remote: None,
        required_server: None,
        trial_use: Default::default(),
        barred_versions: &[],
    }
}

fn load(requests: u32) -> Load {
    Load {
        requests,
        prompt_tokens: 0,
    }
}

fn speed(decode_ms: f64, occupancy_ms: f64) -> Speed {
    Speed {
        decode_ms: Some(decode_ms),
        prefill_ms: Some(0.01),
        overhead_ms: Some(60.0),
        occupancy_ms: Some(occupancy_ms),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// How often each backend server is chosen in 200 choices for one demand.
fn choices(fleet: &Fleet, demand: &Demand) -> HashMap<String, u32> {
    let mut random = StdRng::seed_from_u64(3);
    let mut counts = HashMap::new();
    for _ in 0..200 {
        if let Ok(choice) = fleet.choose(demand, at(1_000), &mut random) {
            *counts.entry(choice.member.id).or_default() += 1;
        }
    }
    counts
}

#[test]
fn long_response_goes_to_the_fast_engine() {
    let mut fleet = fleet(&["fast", "slow"]);
    fleet.merge_speed("fast", &speed(3.0, 700.0));
    fleet.merge_speed("slow", &speed(12.0, 2_800.0));
    fleet.merge_load(1, "fast", load(6));

    let chosen = choices(&fleet, &demand(600, 400));

    assert_eq!(chosen.get("fast"), Some(&200));
}

#[test]
fn slow_engine_with_a_free_slot_is_used_while_the_fast_one_is_full() {
    let mut fleet = fleet(&["fast", "slow"]);
    fleet.merge_speed("fast", &speed(3.0, 700.0));
    fleet.merge_speed("slow", &speed(12.0, 2_800.0));
    fleet.merge_load(1, "fast", load(SLOTS));
    fleet.merge_load(1, "slow", load(SLOTS - 1));

    let chosen = choices(&fleet, &demand(600, 400));

    assert_eq!(chosen.get("slow"), Some(&200));
}

#[test]
fn full_fleet_predicts_when_a_slot_is_free() {
    let mut fleet = fleet(&["one"]);
    fleet.merge_speed("one", &speed(3.0, 1_000.0));
    fleet.merge_load(1, "one", load(SLOTS + 4));
    let mut random = StdRng::seed_from_u64(3);

    let shortage = fleet.choose(&demand(600, 400), at(0), &mut random);

    assert_eq!(
        shortage.map(|choice| choice.member.id),
        Err(Shortage::Full(Duration::from_millis(500)))
    );
}

#[test]
fn pending_prefill_counts_against_an_engine() {
    let mut fleet = fleet(&["prefilling", "decoding"]);
    fleet.merge_speed("prefilling", &speed(3.0, 700.0));
    fleet.merge_speed("decoding", &speed(3.0, 700.0));
    let pending = Load {
        requests: 1,
        prompt_tokens: 50_000,
    };
    fleet.merge_load(1, "prefilling", pending);
    fleet.merge_load(1, "decoding", load(3));

    let chosen = choices(&fleet, &demand(600, 20));

    assert_eq!(chosen.get("decoding"), Some(&200));
}

#[test]
fn engine_with_broken_responses_is_avoided_while_others_have_free_slots() {
    let mut fleet = fleet(&["failing", "healthy"]);
    fleet.merge_speed("failing", &speed(3.0, 700.0));
    fleet.merge_speed("healthy", &speed(3.0, 700.0));
    for _ in 0..5 {
        fleet.record_failure("failing", Failure::Broken, at(0));
    }

    let chosen = choices(&fleet, &demand(600, 100));

    assert_eq!(chosen.get("healthy"), Some(&200));
}

#[test]
fn unreachable_engine_is_ejected_and_retried() {
    let mut fleet = fleet(&["unreachable"]);
    let mut random = StdRng::seed_from_u64(3);

    let first = fleet.record_failure("unreachable", Failure::Unreachable, at(0));
    let second = fleet.record_failure("unreachable", Failure::Unreachable, at(10));

    assert!(!first && second);
    let during = fleet.choose(&demand(10, 10), at(100), &mut random);
    let after = fleet.choose(&demand(10, 10), at(1_000), &mut random);
    assert_eq!(during.map(|_| ()), Err(Shortage::NoServer));
    assert!(after.is_ok());
}

#[test]
fn leaving_engine_gets_no_requests() {
    let mut fleet = fleet(&["stays", "leaves"]);
    let mut members = members(&["stays", "leaves"]);
    if let Some(leaves) = members.get_mut("leaves") {
        leaves.is_leaving = true;
    }

    fleet.update_members(&members, Timestamp::START);

    assert_eq!(choices(&fleet, &demand(10, 10)).get("leaves"), None);
    assert!(!fleet.accepts_requests("leaves", at(0)));
}

#[test]
fn engine_restarted_with_the_same_identifier_starts_with_fresh_state() {
    let mut fleet = fleet(&["one"]);
    fleet.merge_load(1, "one", load(SLOTS));
    let mut members = members(&["one"]);
    if let Some(member) = members.get_mut("one") {
        member.started_at_ms = 2;
    }

    fleet.update_members(&members, Timestamp::START);

    assert_eq!(fleet.utilisation("llm", at(0)), Some(0.0));
}

#[test]
fn reservation_counts_as_load_until_it_is_used_or_expires() {
    let mut fleet = fleet(&["one"]);
    let request = RequestLoad::default();
    fleet.merge_load(1, "one", load(5));

    fleet.reserve("one", request, at(0));
    let reserved = fleet.utilisation("llm", at(50));
    fleet.record_start("one", request);
    let started = fleet.utilisation("llm", at(50));
    fleet.reserve("one", request, at(60));
    let lapsed = fleet.utilisation("llm", at(1_000));

    assert_eq!(reserved, Some(0.6));
    assert_eq!(started, Some(0.6));
    assert_eq!(lapsed, Some(0.6));
}

#[test]
fn load_of_a_removed_peer_is_dropped() {
    let mut fleet = fleet(&["one"]);
    fleet.merge_load(1, "one", load(5));
    fleet.merge_load(2, "one", load(2));

    fleet.remove_peer(1);

    assert_eq!(fleet.utilisation("llm", at(0)), Some(0.2));
}

#[test]
fn equal_engines_share_the_load() {
    let ids = ["a", "b", "c", "d"];
    let mut fleet = fleet(&ids);
    for id in ids {
        fleet.merge_speed(id, &speed(3.0, 700.0));
    }

    let chosen = choices(&fleet, &demand(600, 100));

    assert!(
        ids.iter()
            .all(|id| chosen.get(*id).is_some_and(|count| *count > 20))
    );
}

#[test]
fn jitter_spreads_choices_over_the_last_free_slots() {
    let ids = ["a", "b", "c", "d", "e", "f"];
    let mut fleet = fleet(&ids);
    for (number, id) in ids.iter().enumerate() {
        // Each engine is slightly slower than the one before it.
        fleet.merge_speed(id, &speed(3.0 + 0.1 * number as f64, 700.0));
        fleet.merge_load(1, id, load(SLOTS - 1));
    }

    let chosen = choices(&fleet, &demand(600, 100));

    let most = chosen.values().max().copied().unwrap_or_default();
    assert!(most < 80, "{chosen:?}");
}

#[test]
fn backend_server_with_an_open_connection_is_preferred() {
    let mut fleet = fleet(&["used", "unused"]);
    let short = Duration::from_millis(20);
    fleet.record_answer("used", 0, short, short, at(500));
    fleet.merge_speed(
        "unused",
        &Speed {
            occupancy_ms: Some(20.0),
            ..Speed::new()
        },
    );

    let chosen = choices(&fleet, &demand(0, 0));

    assert_eq!(chosen.get("used"), Some(&200));
}

/// A fleet of two data centres, `a` with the servers `a0` to `a3` and `b` with `b0` to `b39`.
fn two_data_centres() -> Fleet {
    let near = (0..4).map(|number| member(&format!("a{number}")));
    let far = (0..40).map(|number| Member {
        data_centre: "b".to_owned(),
        ..member(&format!("b{number}"))
    });
    let members = near.chain(far);
    let mut fleet = Fleet::new();
    let members = members.map(|member| (member.id.clone(), member)).collect();
    fleet.update_members(&members, Timestamp::START);
    fleet
}

fn demand_with_cells<'a>() -> Demand<'a> {
    Demand {
        max_remote: Some(4),
        ..demand(600, 50)
    }
}

#[test]
fn requests_stay_in_the_data_centre_while_it_has_free_slots() {
    let mut fleet = two_data_centres();
    (0..4).for_each(|number| {
        fleet.merge_load(1, &format!("a{number}"), load(SLOTS / 2));
    });

    let chosen = choices(&fleet, &demand_with_cells());

    assert!(chosen.keys().all(|id| id.starts_with('a')), "{chosen:?}");
}

/// Guards against a data centre that is left for good after one late answer: nobody measures its server
/// again.
#[test]
fn requests_return_to_their_data_centre_after_a_late_first_answer() {
    let usual = Duration::from_millis(10);
    let late = Duration::from_millis(450);
    let mut fleet = one_server_each();
    fleet.record_answer("a0", 0, usual, late, at(100));
    fleet.record_answer("b0", 0, usual, usual, at(100));
    let demand = Demand {
        max_remote: Some(4),
        ..demand(0, 0)
    };

    let mut random = StdRng::seed_from_u64(3);
    let local = (0..100).filter(|number| {
        let now = at(1_000 + number * 100);
        let choice = fleet.choose(&demand, now, &mut random);
        let id = choice.expect("there is a slot").member.id;
        fleet.record_answer(&id, 0, usual, usual, now);
        id == "a0"
    });

    let local = local.count();
    assert!(local > 90, "{local} of 100 stay");
}

/// A fleet of two data centres with one server each, `a0` and `b0`.
fn one_server_each() -> Fleet {
    let members = ["a", "b"].map(|data_centre| Member {
        data_centre: data_centre.to_owned(),
        ..member(&format!("{data_centre}0"))
    });
    let mut fleet = Fleet::new();
    let members = members.map(|member| (member.id.clone(), member));
    fleet.update_members(&members.into(), Timestamp::START);
    fleet
}

/// Clients move to a data centre whose engines are full. Many routers know the same, old loads of
/// the other data centres: they must not all choose the one server that had the least.
#[test]
fn requests_that_leave_a_full_data_centre_spread_over_the_others() {
    let mut fleet = two_data_centres();
    (0..4).for_each(|number| {
        fleet.merge_load(1, &format!("a{number}"), load(SLOTS * 2));
    });
    (1..40).for_each(|number| {
        fleet.merge_load(1, &format!("b{number}"), load(2));
    });

    let chosen = choices(&fleet, &demand_with_cells());

    assert!(chosen.keys().all(|id| id.starts_with('b')), "{chosen:?}");
    assert!(chosen.len() > 20, "{chosen:?}");
    assert!(
        chosen.get("b0").is_some_and(|count| *count < 50),
        "{chosen:?}"
    );
}

#[test]
fn request_does_not_queue_at_a_full_server_of_another_data_centre() {
    let mut fleet = two_data_centres();
    (0..40).for_each(|number| {
        fleet.merge_load(1, &format!("b{number}"), load(SLOTS));
    });
    (0..4).for_each(|number| {
        fleet.merge_load(1, &format!("a{number}"), load(SLOTS));
    });

    let chosen = choices(&fleet, &demand_with_cells());

    assert!(chosen.keys().all(|id| id.starts_with('a')), "{chosen:?}");
}

fn demand_with_prefix<'a>(hash: u64) -> Demand<'a> {
    Demand {
        prefix: Some(SharedPrefix {
            hash,
            tokens: 5_000,
        }),
        ..demand(6_000, 50)
    }
}

/// A fleet of twenty servers.
fn twenty_servers() -> Fleet {
    let ids: Vec<String> = (0..20).map(|number| format!("s{number}")).collect();
    fleet(&ids.iter().map(String::as_str).collect::<Vec<_>>())
}

#[test]
fn requests_of_a_session_meet_at_few_servers() {
    let fleet = twenty_servers();

    let sessions: Vec<_> = (0..50)
        .map(|session| choices(&fleet, &demand_with_prefix(session)))
        .collect();

    assert!(
        sessions.iter().all(|chosen| chosen.len() <= 2),
        "{sessions:?}"
    );
    let servers: std::collections::HashSet<&String> =
        sessions.iter().flat_map(HashMap::keys).collect();
    assert!(servers.len() > 15, "{servers:?}");
}

/// One prompt gets much of the traffic (a hot key): its homes must not queue what others can run.
#[test]
fn hot_prefix_spreads_when_its_homes_are_full() {
    let mut fleet = twenty_servers();
    let homes = choices(&fleet, &demand_with_prefix(7));
    for home in homes.keys() {
        fleet.merge_load(1, home, load(SLOTS));
    }

    let chosen = choices(&fleet, &demand_with_prefix(7));

    assert!(
        homes.keys().all(|home| !chosen.contains_key(home)),
        "{chosen:?}"
    );
}

#[test]
fn slow_home_is_left_for_a_fast_engine() {
    let mut fleet = twenty_servers();
    let homes = choices(&fleet, &demand_with_prefix(7));
    for home in homes.keys() {
        fleet.merge_speed(home, &speed(40.0, 4_000.0));
    }

    let chosen = choices(&fleet, &demand_with_prefix(7));

    assert!(
        homes.keys().all(|home| !chosen.contains_key(home)),
        "{chosen:?}"
    );
}

#[test]
fn request_that_starts_uses_its_own_reservation() {
    let mut fleet = fleet(&["one"]);
    let request = |prompt_tokens| RequestLoad {
        prompt_tokens,
        prompt_tokens_ahead: None,
    };
    fleet.reserve("one", request(9_000), at(1_000));
    fleet.reserve("one", request(10), at(1_000));

    fleet.record_start("one", request(9_000));
    let mut random = StdRng::seed_from_u64(3);
    let choice = fleet.choose(&demand(600, 50), at(1_000), &mut random);

    let load = choice.expect("there is a slot").load;
    assert_eq!((load.requests, load.prompt_tokens), (2, 9_010));
}

#[test]
fn free_slots_are_those_of_the_data_centre_that_can_be_used() {
    let mut fleet = two_data_centres();
    fleet.merge_load(1, "a0", load(SLOTS - 3));
    fleet.merge_load(1, "a1", load(SLOTS + 5));
    for _ in 0..2 {
        fleet.record_failure("a2", Failure::Unreachable, at(1_000));
    }

    let local = fleet.free_slots("llm", Some("a"), at(1_000));
    let all = fleet.free_slots("llm", None, at(1_000));

    assert_eq!(local, 3 + SLOTS as usize);
    assert_eq!(all, local + 40 * SLOTS as usize);
}

/// Records a response that says that its server is leaving. Returns whether this is news.
fn record_leaving(fleet: &mut Fleet, id: &str, started_at_ms: u64, now: Timestamp) -> bool {
    let notice = Notice {
        is_leaving: true,
        ..Notice::default()
    };
    let news = fleet.record_notice(id, started_at_ms, &notice, now, now);
    news.is_leaving
}

/// Records a response that asks for a pause.
fn record_pause(fleet: &mut Fleet, id: &str, delay: Duration, now: Timestamp) {
    let notice = Notice {
        pause: Some(delay),
        ..Notice::default()
    };
    fleet.record_notice(id, 1, &notice, now, now);
}

/// A restored store, or one that lost a registration for a while, shows a server as ready again.
#[test]
fn server_that_said_it_leaves_stays_left_whatever_registrations_say() {
    let mut fleet = fleet(&["a", "b"]);
    let now = Timestamp::from_millis;

    let is_news = record_leaving(&mut fleet, "a", 1, now(0));
    let is_news_again = record_leaving(&mut fleet, "a", 1, now(10));
    fleet.update_members(&members(&["b"]), now(1_000));
    fleet.update_members(&members(&["a", "b"]), now(60_000));

    assert_eq!((is_news, is_news_again), (true, false));
    assert!(!fleet.accepts_requests("a", at(0)));
    assert!(fleet.accepts_requests("b", at(0)));
}

/// A peer may be wrong, and a server without requests could never show that.
#[test]
fn server_that_a_peer_heard_leave_is_tried_again_after_a_while() {
    let mut fleet = fleet(&["a"]);
    let heard = Report {
        id: "a".to_owned(),
        started_at_ms: 1,
        leaving_since: Some(at(1_000)),
        limit: None,
    };

    fleet.merge_report(&heard, at(1_050));

    assert!(!fleet.accepts_requests("a", at(30_999)));
    assert!(fleet.accepts_requests("a", at(31_000)));
    assert_eq!(fleet.own_reports().count(), 0);
}

#[test]
fn server_that_starts_again_under_the_same_identifier_is_new() {
    let mut fleet = fleet(&["a"]);
    record_leaving(&mut fleet, "a", 1, Timestamp::START);
    let restarted = Member {
        started_at_ms: 2,
        ..member("a")
    };

    fleet.update_members(
        &Members::from([("a".to_owned(), restarted)]),
        Timestamp::START,
    );
    // A late response of the former process.
    record_leaving(&mut fleet, "a", 1, Timestamp::START);
    let accepted_first = fleet.accepts_requests("a", at(0));
    record_leaving(&mut fleet, "a", 2, Timestamp::START);
    record_leaving(&mut fleet, "a", 1, Timestamp::START);

    assert!(accepted_first);
    assert!(!fleet.accepts_requests("a", at(0)));
}

#[test]
fn fleet_whose_last_server_leaves_has_no_server() {
    let mut fleet = fleet(&["a"]);
    let mut random = StdRng::seed_from_u64(1);

    record_leaving(&mut fleet, "a", 1, Timestamp::START);

    let choice = fleet.choose(&demand(100, 10), Timestamp::START, &mut random);
    assert_eq!(choice, Err(Shortage::NoServer));
    assert!(!fleet.has_servers(Timestamp::START));
}

/// A registration may lapse while the server pauses, as in an outage of the store.
#[test]
fn pause_outlasts_a_lapse_of_the_registration() {
    let mut fleet = fleet(&["a"]);
    record_pause(&mut fleet, "a", Duration::from_secs(5), at(0));

    fleet.update_members(&Members::new(), at(1_000));
    fleet.update_members(&members(&["a"]), at(2_000));

    assert!(!fleet.accepts_requests("a", at(4_999)));
    assert!(fleet.accepts_requests("a", at(5_000)));
}

/// Guards against streams that begin at a version that the store does not know, and against requests that
/// are refused in place of waiting for it.
#[test]
fn server_of_a_version_that_is_held_back_begins_no_stream() {
    let mut fleet = Fleet::new();
    let newer = Member {
        version: "v2".to_owned(),
        ..member("b")
    };
    let held_back = newer.origin();
    let mut both = members(&["a"]);
    both.insert("b".to_owned(), newer);
    fleet.hold_back(HashSet::from([held_back]));
    fleet.update_members(&both, at(0));
    let beginning = Demand {
        begins_stream: true,
        ..demand(10, 10)
    };
    let only_b = Demand {
        required_server: Some("b"),
        ..beginning
    };

    let chosen = choices(&fleet, &beginning);
    let others = choices(&fleet, &demand(10, 10));
    let alone = fleet.choose(&only_b, at(1_000), &mut StdRng::seed_from_u64(1));
    fleet.hold_back(HashSet::new());
    let released = choices(&fleet, &beginning);

    assert_eq!(chosen.get("a"), Some(&200));
    assert!(others.contains_key("b"));
    assert_eq!(alone, Err(Shortage::Full(Duration::ZERO)));
    assert!(released.contains_key("b"));
}

/// A server that sheds its load for some seconds.
#[test]
fn paused_server_gets_nothing_until_its_pause_ends_and_then_one_request_first() {
    let mut fleet = fleet(&["a", "b"]);
    record_pause(&mut fleet, "a", Duration::from_secs(2), at(0));

    let during = choices(&fleet, &demand(10, 10)).get("a").copied();
    let accepted_during = fleet.accepts_requests("a", at(1_999));
    let free_during = fleet.free_slots("llm", None, at(1_999));
    let mut random = StdRng::seed_from_u64(1);
    let required = Demand {
        required_server: Some("a"),
        ..demand(10, 10)
    };
    let request = RequestLoad {
        prompt_tokens: 10,
        prompt_tokens_ahead: None,
    };
    let first = fleet.choose(&required, at(2_000), &mut random);
    fleet.reserve("a", request, at(2_000));
    let second = fleet.choose(&required, at(2_001), &mut random);
    let zero = Duration::ZERO;
    fleet.record_answer("a", 1, zero, zero, at(2_100));
    let after_answer = fleet.choose(&required, at(2_100), &mut random);

    assert_eq!((during, accepted_during), (None, false));
    assert_eq!(free_during, SLOTS as usize);
    assert!(first.is_ok() && after_answer.is_ok());
    assert_eq!(second, Err(Shortage::Full(Duration::ZERO)));
}

/// The first request after a pause may get no answer.
#[test]
fn server_after_its_pause_is_tried_again_without_an_answer() {
    let mut fleet = fleet(&["a"]);
    let mut random = StdRng::seed_from_u64(1);
    record_pause(&mut fleet, "a", Duration::from_secs(2), at(0));
    let request = RequestLoad {
        prompt_tokens: 10,
        prompt_tokens_ahead: None,
    };

    fleet.reserve("a", request, at(2_000));

    let choice = fleet.choose(&demand(10, 10), at(2_300), &mut random);
    assert!(choice.is_ok());
}

#[test]
fn further_pause_lengthens_and_never_shortens() {
    let mut fleet = fleet(&["a"]);

    record_pause(&mut fleet, "a", Duration::from_secs(5), at(0));
    record_pause(&mut fleet, "a", Duration::from_secs(1), at(1_000));

    assert_eq!(
        fleet.min_pause("llm", at(1_000)),
        Some(Duration::from_secs(4))
    );
}

#[test]
fn pause_has_an_end_whatever_the_server_asks_for() {
    let mut fleet = fleet(&["a"]);

    record_pause(&mut fleet, "a", Duration::MAX, at(0));

    assert!(fleet.accepts_requests("a", at(0).plus(MAX_PAUSE)));
}

/// Requests wait for the first server to return and are told when that is.
#[test]
fn fleet_that_pauses_as_a_whole_is_full_until_the_first_pause_ends() {
    let mut fleet = fleet(&["a", "b"]);
    let mut random = StdRng::seed_from_u64(1);
    record_pause(&mut fleet, "a", Duration::from_secs(5), at(0));
    let one = fleet.min_pause("llm", at(0));

    record_pause(&mut fleet, "b", Duration::from_secs(2), at(0));

    let until = Duration::from_secs(2);
    assert_eq!((one, fleet.min_pause("llm", at(0))), (None, Some(until)));
    let choice = fleet.choose(&demand(10, 10), at(0), &mut random);
    assert_eq!(choice, Err(Shortage::Full(until)));
}

/// Guards against sums that overflow: a registration may state any number of slots.
#[test]
fn absurd_numbers_of_slots_can_be_added_up() {
    let mut members = members(&["a", "b"]);
    members
        .values_mut()
        .for_each(|member| member.slots = u32::MAX);
    let mut fleet = Fleet::new();
    fleet.update_members(&members, Timestamp::START);
    fleet.merge_load(1, "a", load(u32::MAX));

    let utilisation = fleet.utilisation("llm", at(0));

    assert_eq!(utilisation, Some(0.5));
    assert_eq!(
        fleet.free_slots("llm", None, at(0)),
        u32::MAX as usize,
        "one server is full"
    );
}

/// Guards against sums that overflow: a peer may report any load.
#[test]
fn absurd_loads_of_peers_make_a_server_full() {
    let mut fleet = fleet(&["a"]);
    let absurd = Load {
        requests: u32::MAX,
        prompt_tokens: u32::MAX,
    };
    fleet.merge_load(1, "a", absurd);
    fleet.merge_load(2, "a", absurd);
    fleet.record_start("a", RequestLoad::default());
    fleet.reserve("a", RequestLoad::default(), at(0));

    let choice = fleet.choose(&demand(10, 10), at(0), &mut StdRng::seed_from_u64(1));

    assert!(matches!(choice, Err(Shortage::Full(_))), "{choice:?}");
}
