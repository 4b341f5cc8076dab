//! Limits that backend servers name, from the statement to the starts of all routers together.

use {
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tamarackdale_core::{
        fleet::{
            Demand, Fleet, Limit, Member, Members,
            limit::{self, Pacer, Turn},
            statement::{Notice, Report},
        },
        peer_table::PeerTable,
        time::Timestamp,
    },
};

const WINDOW_MS: u64 = 4_000;

/// Delay of a message between two routers in the simulation.
const DELAY_MS: u64 = 2;

/// Time for which two routers hand out starts after the keeper has changed: half of the others have
/// not noticed yet. A peer counts as unreachable after 1.2 s.
const OVERLAP_MS: u64 = 1_200;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn limit(per_second: f64) -> Limit {
    Limit::new(per_second).expect("a limit")
}

/// Answer of a keeper: a start, or the time until the next one.
type Answer = Result<(), Duration>;

/// Starts in milliseconds, and questions to the keepers, of a simulation.
#[derive(Default)]
struct Outcome {
    starts: Vec<u64>,
    questions: usize,
}

/// Simulates `routers` that all have requests for one limited server all the time. The keeper changes
/// in the middle.
fn simulate(routers: usize, limit: Limit, length_ms: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(routers as u64);
    let change = length_ms / 2;
    let mut keepers = [
        Pacer::new(limit, 1.0, at(0)),
        Pacer::new(limit, 1.0, at(change)),
    ];
    let mut turns = vec![Turn::default(); routers];
    let mut answers: BTreeMap<u64, Vec<(usize, Answer)>> = BTreeMap::new();
    let mut outcome = Outcome::default();
    for now in 0..length_ms {
        for (router, answer) in answers.remove(&now).unwrap_or_default() {
            match answer {
                Ok(()) => {
                    outcome.starts.push(now);
                    turns[router].record_grant(at(now));
                }
                Err(next) => {
                    let delay = limit::ask_delay(next, routers, random.random());
                    turns[router].record_refusal(delay, at(now));
                }
            }
        }
        for (router, turn) in turns.iter_mut().enumerate() {
            if !turn.is_due(at(now)) {
                continue;
            }
            turn.begin(at(now));
            let has_noticed = router % 2 == 0 || now >= change + OVERLAP_MS;
            let keeper = &mut keepers[usize::from(now >= change && has_noticed)];
            let answer = keeper.take(limit, 1.0, at(now + DELAY_MS));
            outcome.questions += 1;
            let answered = answers.entry(now + 2 * DELAY_MS).or_default();
            answered.push((router, answer));
        }
    }
    outcome
}

/// Guards against shares that add up to more than the limit, as a burst of one at each router does:
/// the bound is that of the platform's rule.
#[rstest]
fn starts_of_all_routers_together_keep_the_limit(
    #[values(8, 41, 103, 360)] routers: usize,
    #[values(0.2, 1.0, 4.1, 17.0, 50.0)] per_second: f64,
) {
    const LENGTH_MS: u64 = 40_000;
    let limit = limit(per_second);

    let outcome = simulate(routers, limit, LENGTH_MS);

    let in_window = |from: &u64| {
        let starts = outcome.starts.iter();
        starts
            .filter(|start| (*from..from + WINDOW_MS).contains(start))
            .count()
    };
    let most = outcome.starts.iter().map(in_window).max().unwrap_or(0);
    let allowed = 1.5 * per_second * 4.0 + 5.0;
    assert!(most as f64 <= allowed, "{most} starts, allowed {allowed}");
    let length_s = LENGTH_MS as f64 / 1_000.0;
    let (used, offered) = (outcome.starts.len() as f64, per_second * length_s);
    assert!(used >= offered * 0.7 - 1.0, "{used} of {offered} are used");
    // A hundred a second from routers that were refused and one for each start, with as much again for
    // their spread.
    let questions = outcome.questions as f64 / length_s;
    assert!(
        questions <= 2.0 * (100.0 + per_second),
        "{questions} a second"
    );
}

fn member(id: &str, started_at_ms: u64) -> Member {
    Member {
        id: id.to_owned(),
        started_at_ms,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        service: "s".to_owned(),
        data_centre: "d".to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        is_leaving: false,
    }
}

fn demand() -> Demand<'static> {
    Demand {
        service: "s",
        prompt_tokens: 0,
        output_tokens: 0,
        excluded: &[],
        max_wait: Duration::ZERO,
        time_left: Duration::from_secs(1),
        prefix: None,
        data_centre: "d",
        begins_stream: false,
        required_version: None,
        max_remote: None,
        required_server: None,
        trial_use: Default::default(),
        barred_versions: &[],
    }
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new();
    let members = ids.iter().map(|id| ((*id).to_owned(), member(id, 1)));
    fleet.update_members(&Members::from_iter(members), at(0));
    fleet
}

/// Records a response to a request that was sent at `sent_ms`.
fn answer(fleet: &mut Fleet, id: &str, notice: limit::Notice, sent_ms: u64, now_ms: u64) {
    let notice = Notice {
        limit: notice,
        ..Notice::default()
    };
    fleet.record_notice(id, 1, &notice, at(sent_ms), at(now_ms));
}

fn limit_of(fleet: &Fleet, id: &str, now_ms: u64) -> Option<f64> {
    fleet.limit(id, at(now_ms)).map(Limit::per_second)
}

/// Answers overtake each other, and the head of a long one is old when it arrives.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let mut fleet = fleet(&["a"]);
    answer(
        &mut fleet,
        "a",
        limit::Notice::Limited(limit(4.0)),
        900,
        1_000,
    );

    answer(&mut fleet, "a", limit::Notice::Unlimited, 950, 1_100);
    answer(&mut fleet, "a", limit::Notice::Unknown, 1_050, 1_200);
    let after_older = limit_of(&fleet, "a", 60_000);
    answer(&mut fleet, "a", limit::Notice::Unlimited, 60_000, 60_100);

    assert_eq!(after_older, Some(4.0));
    assert_eq!(limit_of(&fleet, "a", 60_100), Some(4.0));
    assert_eq!(limit_of(&fleet, "a", 62_100), Some(16.0));
    assert_eq!(limit_of(&fleet, "a", 65_000), None);
}

#[test]
fn newest_statement_to_any_router_holds() {
    let mut fleet = fleet(&["a"]);
    let report = |per_second: f64, at_ms: u64, is_over: bool| Report {
        id: "a".to_owned(),
        started_at_ms: 1,
        leaving_since: None,
        limit: Some(limit::Statement {
            at: at(at_ms),
            limit: limit(per_second),
            is_over,
        }),
    };

    fleet.merge_report(&report(4.0, 1_000, false), at(1_100));
    fleet.merge_report(&report(9.0, 900, false), at(1_200));
    let told = limit_of(&fleet, "a", 1_200);
    let own = fleet.own_reports().count();
    fleet.merge_report(&report(4.0, 2_000, true), at(2_100));

    assert_eq!((told, own), (Some(4.0), 0));
    assert_eq!(limit_of(&fleet, "a", 7_000), None);
}

/// A peer's report may be late or forged: the server itself corrects it with its next answer.
#[test]
fn limit_that_a_peer_has_told_ends_with_the_servers_own_answer() {
    let mut fleet = fleet(&["a"]);
    let report = Report {
        id: "a".to_owned(),
        started_at_ms: 1,
        leaving_since: None,
        limit: Some(limit::Statement {
            at: at(1_000),
            limit: limit(0.0),
            is_over: false,
        }),
    };
    fleet.merge_report(&report, at(1_000));

    let first = fleet.take_start("a", 1, 1.0, at(1_000));
    let second = fleet.take_start("a", 1, 1.0, at(11_000));
    answer(&mut fleet, "a", limit::Notice::Unlimited, 11_000, 11_100);

    assert_eq!(first, Err(Duration::from_secs(10)));
    assert_eq!(second, Ok(()));
    assert_eq!(limit_of(&fleet, "a", 16_000), None);
}

#[test]
fn later_start_of_a_server_has_no_limit() {
    let mut fleet = fleet(&["a"]);
    answer(&mut fleet, "a", limit::Notice::Limited(limit(4.0)), 0, 0);
    let lapsed = Members::new();
    let returned = Members::from([("a".to_owned(), member("a", 1))]);
    let restarted = Members::from([("a".to_owned(), member("a", 2))]);

    fleet.update_members(&lapsed, at(1_000));
    fleet.update_members(&returned, at(2_000));
    let same = limit_of(&fleet, "a", 2_000);
    fleet.update_members(&restarted, at(3_000));
    // A late response of the former process.
    answer(
        &mut fleet,
        "a",
        limit::Notice::Limited(limit(4.0)),
        0,
        3_100,
    );

    assert_eq!(same, Some(4.0));
    assert_eq!(limit_of(&fleet, "a", 3_100), None);
}

/// A router asks for one start at a time, and none of them has a free slot that others need not leave to
/// more urgent requests.
#[test]
fn limited_server_is_chosen_once_for_each_question_and_has_no_free_slot() {
    let mut fleet = fleet(&["a"]);
    let mut random = StdRng::seed_from_u64(1);
    answer(&mut fleet, "a", limit::Notice::Limited(limit(4.0)), 0, 0);
    let request = tamarackdale_core::fleet::RequestLoad::default();
    let mut is_chosen =
        |fleet: &Fleet, now_ms: u64| fleet.choose(&demand(), at(now_ms), &mut random).is_ok();

    let before = is_chosen(&fleet, 10);
    fleet.reserve("a", request, at(10));
    let asking = is_chosen(&fleet, 10);
    fleet.record_start_refused("a", request, Duration::from_millis(100), at(20));
    let (refused, due) = (is_chosen(&fleet, 100), is_chosen(&fleet, 120));

    assert_eq!((before, asking, refused, due), (true, false, false, true));
    assert_eq!(fleet.free_slots("s", None, at(120)), 0);
}

#[test]
fn service_has_a_start_interval_only_if_all_its_servers_are_limited() {
    let mut fleet = fleet(&["a", "b"]);
    answer(&mut fleet, "a", limit::Notice::Limited(limit(4.0)), 0, 0);
    let one = fleet.start_interval("s", at(0));

    answer(&mut fleet, "b", limit::Notice::Limited(limit(1.0)), 0, 0);

    assert_eq!(one, None);
    assert_eq!(
        fleet.start_interval("s", at(0)),
        Some(Duration::from_millis(200))
    );
    assert_eq!(fleet.start_interval("other", at(0)), None);
}

#[rstest]
#[case(0.0, Some(0.1))]
#[case(f64::MAX, Some(1e6))]
#[case(f64::INFINITY, Some(1e6))]
#[case(-1.0, None)]
#[case(f64::NAN, None)]
fn limit_of_any_value_is_applied_within_a_range(
    #[case] per_second: f64,
    #[case] expected: Option<f64>,
) {
    assert_eq!(Limit::new(per_second).map(Limit::per_second), expected);
}

/// Routers that are connected to each other choose the same keeper, also after one of them is gone.
#[test]
fn connected_routers_choose_the_same_keeper() {
    let addresses: Vec<SocketAddr> = (1..=8)
        .map(|host| SocketAddr::from(([10, 0, 0, host], 80)))
        .collect();
    let keepers = |gone: Option<SocketAddr>, server: &str| -> Vec<SocketAddr> {
        let remaining = addresses.iter().filter(|address| Some(**address) != gone);
        let choose = |own: &SocketAddr| {
            let mut table = PeerTable::new();
            for peer in addresses.iter().filter(|peer| *peer != own) {
                table.mark_reachable(*peer, "d");
            }
            if let Some(gone) = gone {
                table.mark_unreachable(gone, at(0));
            }
            table.keeper(server, *own)
        };
        remaining.map(choose).collect()
    };

    let before = keepers(None, "server-1");
    let after = keepers(Some(before[0]), "server-1");
    let all: std::collections::BTreeSet<SocketAddr> = (0..40)
        .map(|number| keepers(None, &format!("server-{number}"))[0])
        .collect();

    assert!(before.iter().all(|keeper| *keeper == before[0]));
    assert!(
        after
            .iter()
            .all(|keeper| *keeper == after[0] && *keeper != before[0])
    );
    assert!(
        all.len() > 4,
        "the servers are spread over the routers: {all:?}"
    );
}
