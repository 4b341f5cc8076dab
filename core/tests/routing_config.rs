//! Look-ups in the routing configuration.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{
        routing_config::{
            Denial, Limits, Organisation, RepeatPolicy, Route, RoutingConfig, RoutingConfigParts,
            Target,
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
