//! Look-ups in the routing configuration.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{
        fleet::{Member, Members},
        routing_config::{
            Denial, Limits, Organisation, RepeatPolicy, Route, RoutingConfig, RoutingConfigParts,
            Service, Target,
        },
        tier::Rank,
    },
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![target("s", 1)],
        repeat_policy: RepeatPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        attempts: 2,
        rank: Rank(1),
        is_anonymous: false,
    }
}

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.to_owned(),
        weight,
    }
}

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.to_owned(),
        rank: None,
        quota: None,
    }
}

fn config() -> RoutingConfig {
    RoutingConfig::new(RoutingConfigParts {
        version: 7,
        routes: vec![
            ("a.example".to_owned(), route("short", "/x/")),
            ("a.example".to_owned(), route("long", "/x/y/")),
            ("b.example".to_owned(), route("other", "/")),
        ],
        services: Vec::new(),
        organisations: vec![(organisation("o"), vec!["k1".to_owned(), "k2".to_owned()])],
        limits: Limits::default(),
    })
}

#[rstest]
#[case("a.example", "/x/y/z", Ok("long"))]
#[case("a.example", "/x/z", Ok("short"))]
#[case("A.Example:8080", "/x/z", Ok("short"))]
#[case("b.example", "/x/y/z", Ok("other"))]
#[case("a.example", "/y/", Err(Denial::NoRoute))]
#[case("c.example", "/x/", Err(Denial::NoRoute))]
fn longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Result<&str, Denial>,
) {
    let config = config();

    let found = config.route(host, path).map(|route| route.name.as_str());

    assert_eq!(found, expected);
}

#[rstest]
#[case(Some("k2"), Ok(Some("o")))]
#[case(Some("k3"), Err(Denial::UnknownKey))]
#[case(None, Err(Denial::UnknownKey))]
fn key_identifies_the_organisation(
    #[case] key: Option<&str>,
    #[case] expected: Result<Option<&str>, Denial>,
) {
    let config = config();
    let route = config.route("b.example", "/").expect("the route exists");

    let found = config
        .organisation(route, key)
        .map(|found| found.map(|organisation| organisation.name.as_str()));

    assert_eq!(found, expected);
}

#[test]
fn anonymous_route_needs_no_key() {
    let config = config();
    let open = Route {
        is_anonymous: true,
        ..route("open", "/")
    };

    assert_eq!(config.organisation(&open, None), Ok(None));
}

#[test]
fn requests_are_split_by_weight_and_keep_their_target() {
    let split = Route {
        targets: vec![target("new", 10), target("old", 90)],
        ..route("split", "/")
    };

    let new = (0..1_000).filter(|hash| split.target(*hash) == Some("new"));

    assert_eq!(new.count(), 100);
    assert_eq!(split.target(5), split.target(5));
}

/// Guards against a server that is never full because of the number of slots that it states.
#[rstest]
#[case("s", u32::MAX, 8)]
#[case("s", 8, 8)]
#[case("s", 4, 4)]
#[case("unbounded", u32::MAX, u32::MAX)]
#[case("unknown", u32::MAX, u32::MAX)]
fn server_has_no_more_slots_than_it_accepts_connections(
    #[case] service: &str,
    #[case] stated: u32,
    #[case] expected: u32,
) {
    let with_connections = |name: &str, max_connections| Service {
        name: name.to_owned(),
        max_connections,
        engine: None,
    };
    let config = RoutingConfig::new(RoutingConfigParts {
        services: vec![with_connections("s", 8), with_connections("unbounded", 0)],
        ..RoutingConfigParts::default()
    });
    let member = Member {
        id: "i".to_owned(),
        started_at_ms: 1,
        address: ([127, 0, 0, 1], 1).into(),
        service: service.to_owned(),
        data_centre: "a".to_owned(),
        version: "v1".to_owned(),
        slots: stated,
        is_leaving: false,
    };

    let members = config.with_bounded_slots(&Members::from([("i".to_owned(), member)]));

    assert_eq!(members["i"].slots, expected);
}
