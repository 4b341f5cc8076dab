//! Origins of streams, and the versions of services.

use {
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        fleet::{Member, Members},
        origin::{self, Origin, RETENTION, Table, Versions},
        time::Timestamp,
    },
};

fn origin(version: &str) -> Origin {
    Origin {
        service: "engine".to_owned(),
        version: version.to_owned(),
    }
}

/// One registered server of a version.
fn members(version: &str) -> Members {
    let member = Member {
        id: format!("server-{version}"),
        started_at_ms: 1,
        address: "127.0.0.1:1".parse().expect("an address"),
        service: "engine".to_owned(),
        data_centre: "a".to_owned(),
        version: version.to_owned(),
        slots: 1,
        is_leaving: false,
    };
    Members::from([(member.id.clone(), member)])
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::START.plus(Duration::from_secs(seconds))
}

/// Guards against a stream that is taken for one of the version that its request was first sent to,
/// although another one brought its first event.
#[test]
fn stream_that_moves_has_the_origin_of_its_last_run() {
    let mut table = Table::new();
    let stream = origin::stream_digest("a-1");

    table.record(stream, Arc::new(origin("v1")), at(10));
    table.record(stream, Arc::new(origin("v2")), at(10));

    assert_eq!(table.get(stream).map(AsRef::as_ref), Some(&origin("v2")));
}

#[test]
fn stream_is_forgotten_when_nobody_can_take_it_up_any_more() {
    let mut table = Table::new();
    table.record(1, Arc::new(origin("v1")), at(10));
    table.record(2, Arc::new(origin("v1")), at(5));
    table.record(2, Arc::new(origin("v1")), at(20));

    table.prune(at(10));

    assert_eq!(table.get(1), None);
    assert!(table.get(2).is_some());
}

/// Guards against saves that nothing requires: each of them is a call to the store.
#[test]
fn only_what_other_processes_must_know_counts_as_a_change() {
    let mut table = Table::new();
    table.record(1, Arc::new(origin("v1")), at(10));

    let take_changes = |table: &mut Table| {
        let has_changes = table.has_changes();
        table.clear_changes();
        has_changes
    };
    let has_begun = take_changes(&mut table);
    table.record(1, Arc::new(origin("v1")), at(20));
    let has_longer = take_changes(&mut table);
    table.remove(1);
    let has_ended = take_changes(&mut table);

    assert_eq!((has_begun, has_longer, has_ended), (true, false, true));
}

#[test]
fn streams_that_last_longest_are_saved_if_there_are_too_many() {
    let mut table = Table::new();
    for stream in 0..10 {
        let version = if stream % 2 == 0 { "v1" } else { "v2" };
        table.record(stream, Arc::new(origin(version)), at(stream));
    }

    let saved = table.by_origin(4);

    let mut streams: Vec<u64> = saved.into_values().flatten().collect();
    streams.sort_unstable();
    assert_eq!(streams, [6, 7, 8, 9]);
}

/// Guards against saves of a large fleet that take the store's writes from everything else.
#[rstest]
fn saves_of_all_routers_take_a_fifth_of_the_stores_writes_at_most(
    #[values(8, 41, 103, 360)] routers: usize,
    #[values(400.0, 1_200.0, 3_200.0)] writes_per_s: f64,
) {
    let interval = origin::save_interval(routers, writes_per_s);

    let all_per_s = routers as f64 / interval.as_secs_f64();
    assert!(
        all_per_s <= writes_per_s * 0.2 + 1e-6,
        "{all_per_s} a second"
    );
    assert!(interval * 10 < RETENTION, "saved every {interval:?}");
}

/// Guards against take-ups of a large fleet that take the store's reads from everything else.
#[rstest]
fn reads_of_all_routers_take_a_fifth_of_the_stores_reads_at_most(
    #[values(8, 41, 103, 360)] routers: usize,
) {
    const READS_PER_S: f64 = 2_000.0;

    let interval = origin::read_interval(routers, READS_PER_S);

    let all_per_s = routers as f64 / interval.as_secs_f64();
    assert!(
        all_per_s <= READS_PER_S * 0.2 + 1e-6,
        "{all_per_s} a second"
    );
    assert!(interval < Duration::from_secs(1), "read every {interval:?}");
}

/// Guards against a release in which all routers save the new version in the same moment, beside the
/// saves of streams and those that keep the tables.
#[rstest]
fn calls_of_a_release_leave_the_store_to_others(
    #[values(8, 41, 103, 360)] routers: usize,
    #[values(400.0, 1_200.0)] writes_per_s: f64,
) {
    const KEEP_S: f64 = 15.0;
    const READS_PER_S: f64 = 2_000.0;
    let all = routers as f64;

    let spread = origin::first_save_spread(routers, writes_per_s);
    let first_saves = all / spread.as_secs_f64();
    let saves = all / origin::save_interval(routers, writes_per_s).as_secs_f64();
    let reads = 2.0 * all / origin::read_interval(routers, READS_PER_S).as_secs_f64();

    let writes = first_saves + saves + all / KEEP_S;
    assert!(writes <= writes_per_s * 0.8, "{writes} writes a second");
    assert!(reads <= READS_PER_S * 0.4 + 1e-6, "{reads} reads a second");
    assert!(spread < Duration::from_secs(2), "spread over {spread:?}");
}

/// Guards against streams that begin at a version that no table in the store names, and against a version
/// that stays unused for ever because the store takes no writes.
#[test]
fn version_is_held_back_until_it_is_saved_for_a_while_at_most() {
    let mut versions = Versions::new();
    let held_back = |versions: &Versions, now| -> Vec<String> {
        let held_back = versions.held_back(now).into_iter();
        held_back.map(|origin| origin.version).collect()
    };

    versions.observe_servers(&members("v1"), at(0));
    versions.record_save(1);
    let before = held_back(&versions, at(1));
    versions.acknowledge(1);
    versions.observe_servers(&members("v2"), at(10));
    let after = held_back(&versions, at(10));
    versions.record_save(2);
    versions.acknowledge(1);
    let unsaved = held_back(&versions, at(14));
    let late = held_back(&versions, at(15));
    versions.acknowledge(2);
    let saved = held_back(&versions, at(11));

    assert_eq!(before, ["v1"]);
    assert_eq!(after, ["v2"]);
    assert_eq!(unsaved, ["v2"]);
    assert!(late.is_empty());
    assert!(saved.is_empty());
}

/// Guards against a stream that goes on at the only version in service although another one, which has
/// just left, may have begun it.
#[rstest]
#[case::first_version_only(&[("v1", 0)], Some("v1"))]
#[case::both(&[("v1", 0), ("v2", 0)], None)]
#[case::other_service_has_two(&[("v1", 0)], Some("v1"))]
#[case::none(&[], None)]
fn version_is_the_only_one_if_no_other_was_seen(
    #[case] seen: &[(&str, u64)],
    #[case] expected: Option<&str>,
) {
    let mut versions = Versions::new();
    for (version, seconds) in seen {
        versions.observe_report(&Arc::new(origin(version)), at(*seconds));
    }
    for version in ["v1", "v2"] {
        let service = "other".to_owned();
        let version = version.to_owned();
        versions.observe_report(&Arc::new(Origin { service, version }), at(0));
    }

    let only = versions.only("engine").map(|only| only.version.as_str());

    assert_eq!(only, expected);
}

#[test]
fn version_that_has_left_counts_for_as_long_as_its_streams_may_be_taken_up() {
    let mut versions = Versions::new();
    let nobody = std::collections::BTreeMap::new();
    versions.observe_report(&Arc::new(origin("v1")), at(0));
    versions.observe_report(&Arc::new(origin("v2")), at(30));

    versions.observe_servers(&nobody, at(0).plus(RETENTION - Duration::from_secs(1)));
    let is_mixed_before = versions.is_mixed();
    versions.observe_servers(&nobody, at(0).plus(RETENTION));

    assert!(is_mixed_before);
    assert!(!versions.is_mixed());
    assert_eq!(
        versions.only("engine").map(AsRef::as_ref),
        Some(&origin("v2"))
    );
}

/// Guards against two routers that remind each other for ever of a version that has left.
#[test]
fn version_that_was_only_reported_is_not_told_to_others() {
    let mut versions = Versions::new();

    versions.observe_report(&Arc::new(origin("v1")), at(0));

    assert_eq!(versions.registered().count(), 0);
    assert!(!versions.take_changes());
    assert!(versions.only("engine").is_some());
}
