//! Gateways as real processes beside entries that another writer left among the registrations of
//! backend servers.

use {
    rstest::rstest,
    serde_json::{Value, json},
    std::time::Duration,
    tamarackdale_testbed::platform::{Configuration, Gateway, Server, Site},
    tokio::time::{Instant, sleep},
};

/// Time within which a change of the registrations must be in force on a loaded machine.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Levels of nesting that overflow the stack of a reader that recurses.
const LEVELS: usize = 100_000;

/// Longest line in the log, in bytes.
const LONGEST_LINE: usize = 16 * 1024;

/// Connections that a server of `plain` accepts. A test with two servers sends 15 requests at a time.
const MAX_CONNS: usize = 8;

/// Size of an entry that must not be logged as a whole, in bytes.
const LARGE: usize = 1024 * 1024;

/// An entry of the service `plain` at an address where nobody listens, with some text replaced.
fn entry(text: &str, replacement: &str) -> Vec<u8> {
    let sound = r#"{"service":"plain","address":"127.0.0.1:1","zone":"a","version":"v1","slots":8,
        "state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}"#;
    assert!(sound.contains(text), "{text}");
    sound.replace(text, replacement).into()
}

fn nested() -> String {
    "[".repeat(LEVELS) + &"]".repeat(LEVELS)
}

/// Entries that name no server to use, each under a key of its own.
fn odd_entries() -> Vec<(String, Vec<u8>)> {
    let values = [
        Vec::new(),
        b"null".to_vec(),
        b"[]".to_vec(),
        b"\xff\xfe\x00".to_vec(),
        b"{\"service\":\"plain\"".to_vec(),
        nested().into(),
        "[".repeat(LEVELS).into(),
        "{\"a\":".repeat(LEVELS).into(),
        vec![b'x'; LARGE],
        entry("8", &nested()),
        entry("\"v1\"", &nested()),
        entry("8", "1e999"),
        entry("8", "4294967296"),
        entry("8", "99999999999999999999999999"),
        entry("8", "-1"),
        entry("8", "1.5"),
        entry("8", "0"),
        entry("8", "\"8\""),
        entry("8", "true"),
        entry("\"born\":1", "\"born\":1e400"),
        entry("\"born\":1", "\"born\":-1"),
        entry("\"sequence\":1", "\"sequence\":18446744073709551616"),
        entry("\"cold_remaining_ms\":0", "\"cold_remaining_ms\":\"long\""),
        entry("127.0.0.1:1", "127.0.0.1:70000"),
        entry("127.0.0.1:1", "127.0.0.1:0"),
        entry("127.0.0.1:1", "0.0.0.0:1"),
        entry("127.0.0.1:1", "host:80"),
        entry("\"127.0.0.1:1\"", "80"),
        entry("ready", "resting"),
        entry("ready", &"r".repeat(LARGE)),
        entry("\"plain\"", "[\"plain\"]"),
        entry("\"plain\"", "\"\\ud800\""),
        entry("plain", "unknown"),
    ];
    let numbered = values.into_iter().enumerate();
    let mut entries: Vec<_> = numbered
        .map(|(number, value)| (format!("servers/odd-{number}"), value))
        .collect();
    let sound = || entry("8", "8");
    entries.push(("servers/".to_owned(), sound()));
    entries.push(("servers/line\nbreak".to_owned(), sound()));
    entries.push(("servers/\u{fffd}".to_owned(), sound()));
    entries.push(("servers/nul\0".to_owned(), sound()));
    entries
}

/// Entries that can be decoded, with sizes that no server has.
fn absurd_entries() -> Vec<(String, Vec<u8>)> {
    let values = [
        entry("8", "4294967295"),
        entry("\"slots\":8", "\"slots\":4294967295"),
        entry(
            "\"cold_remaining_ms\":0",
            "\"cold_remaining_ms\":31536000000000",
        ),
        entry("\"born\":1", "\"born\":18446744073709551615"),
        entry("\"sequence\":1", "\"sequence\":18446744073709551615"),
    ];
    let numbered = values.into_iter().enumerate();
    numbered
        .map(|(number, value)| (format!("servers/absurd-{number}"), value))
        .collect()
}

fn put_all(site: &Site, entries: &[(String, Vec<u8>)]) {
    for (key, value) in entries {
        site.store.put(key, value);
    }
}

/// Lets one server leave and another take its place.
fn replace(site: &Site, leaving: &Server, next: &Server) {
    site.register(next);
    site.set_state(leaving, "draining");
}

fn server(id: &str) -> Server {
    Server::new(id, "plain").expect("starts")
}

fn site() -> Site {
    Site::new(&Configuration::default()).expect("starts")
}

async fn ready_gateway(site: &Site) -> Gateway {
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    gateway
}

/// Statuses of `count` requests, one after the other.
async fn statuses(gateway: &Gateway, name: &str, count: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let answer = gateway.call("/status/1", &format!("{name}-{number}")).await;
        statuses.push(answer.map_or(0, |answer| answer.status()));
    }
    statuses
}

/// Sends requests until one is not refused; its status, or `None` if there is none.
async fn first_status(gateway: &Gateway) -> Option<u16> {
    let deadline = Instant::now() + IN_FORCE;
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        let answer = gateway.call("/status/1", &format!("first-{number}")).await;
        match answer {
            Ok(answer) if answer.status() != 503 => return Some(answer.status()),
            _ => sleep(Duration::from_millis(20)).await,
        }
    }
    None
}

/// Sends requests until one has reached the server.
async fn is_soon_used(gateway: &Gateway, server: &Server) -> bool {
    let before = server.runs().len();
    let deadline = Instant::now() + IN_FORCE;
    let mut number = 0;
    while server.runs().len() == before && Instant::now() < deadline {
        number += 1;
        let id = format!("{}-{number}", server.id());
        let _ = gateway.call("/status/1", &id).await;
        sleep(Duration::from_millis(20)).await;
    }
    server.runs().len() > before
}

fn panics(gateway: &Gateway) -> Vec<String> {
    let lines = gateway.process.other_lines();
    lines
        .into_iter()
        .filter(|line| line.contains("panicked") || line.contains("overflow"))
        .collect()
}

/// Longest line of the log, in bytes.
fn longest_line(gateway: &Gateway) -> usize {
    let logs = gateway.process.logs();
    let lengths = logs.iter().map(|line| line.to_string().len());
    lengths.max().unwrap_or_default()
}

/// Guards against the loss of all servers to one entry that cannot be read.
#[rstest]
#[case::odd(odd_entries())]
#[case::absurd(absurd_entries())]
#[tokio::test]
async fn gateway_that_starts_beside_odd_entries_serves_and_follows(
    #[case] entries: Vec<(String, Vec<u8>)>,
) {
    let site = site();
    put_all(&site, &entries);
    let first = server("plain-1");
    site.register(&first);
    let mut gateway = ready_gateway(&site).await;
    assert!(
        is_soon_used(&gateway, &first).await,
        "the server is not used"
    );

    let statuses = statuses(&gateway, "s", 20).await;
    let second = server("plain-2");
    replace(&site, &first, &second);
    let is_followed = is_soon_used(&gateway, &second).await;

    assert_eq!((statuses, is_followed), (vec![200; 20], true));
    assert_eq!(panics(&gateway), Vec::<String>::new());
    assert!(gateway.process.is_running());
    assert!(longest_line(&gateway) <= LONGEST_LINE);
}

/// Guards against a watch that ends at an entry that cannot be read, or a process that does.
#[rstest]
#[case::odd(odd_entries())]
#[case::absurd(absurd_entries())]
#[tokio::test]
async fn gateway_goes_on_following_when_odd_entries_are_written(
    #[case] entries: Vec<(String, Vec<u8>)>,
) {
    let site = site();
    let first = server("plain-1");
    site.register(&first);
    let mut gateway = ready_gateway(&site).await;
    assert!(
        is_soon_used(&gateway, &first).await,
        "the server is not used"
    );

    put_all(&site, &entries);
    let statuses = statuses(&gateway, "s", 20).await;
    let second = server("plain-2");
    replace(&site, &first, &second);
    let is_followed = is_soon_used(&gateway, &second).await;
    put_all(&site, &entries);
    replace(&site, &second, &first);
    let is_followed_again = is_soon_used(&gateway, &first).await;

    let is_followed = (is_followed, is_followed_again);
    assert_eq!((statuses, is_followed), (vec![200; 20], (true, true)));
    assert_eq!(panics(&gateway), Vec::<String>::new());
    assert!(gateway.process.is_running());
    assert!(longest_line(&gateway) <= LONGEST_LINE);
}

/// Guards against a server that stays in use, or never returns, when its entry was overwritten.
#[tokio::test]
async fn server_whose_entry_is_overwritten_is_not_used_until_it_is_back() {
    let site = site();
    let (first, second) = (server("plain-1"), server("plain-2"));
    site.register(&first);
    site.register(&second);
    let gateway = ready_gateway(&site).await;

    for (_, value) in odd_entries() {
        // The last of the values is an entry that can be used.
        if value != entry("8", "8") {
            site.store.put("servers/plain-1", &value);
        }
    }
    sleep(IN_FORCE / 2).await;
    let before = first.runs().len();
    let statuses = statuses(&gateway, "s", 20).await;
    let runs_meanwhile = first.runs().len() - before;
    replace(&site, &second, &first);
    let is_back = is_soon_used(&gateway, &first).await;

    assert_eq!(
        (statuses, runs_meanwhile, is_back),
        (vec![200; 20], 0, true)
    );
}

/// Guards against a log that fills with the same odd entries.
#[tokio::test]
async fn odd_entries_that_are_written_again_and_again_do_not_fill_the_log() {
    let site = site();
    let first = server("plain-1");
    site.register(&first);
    let gateway = ready_gateway(&site).await;

    for _ in 0..30 {
        site.store.put("servers/odd", &entry("ready", "resting"));
        site.store.put("servers/large", &vec![b'x'; LARGE]);
        sleep(Duration::from_millis(100)).await;
    }
    assert!(
        is_soon_used(&gateway, &first).await,
        "the server is not used"
    );

    let is_about = |line: &&Value, key: &str| line["key"] == key;
    let logs = gateway.process.logs();
    let of = |key: &str| logs.iter().filter(|line| is_about(line, key)).count();
    assert_eq!((of("servers/odd"), of("servers/large")), (1, 1));
}

/// Guards against a server that takes all requests because it claims to have more slots than any.
#[tokio::test]
async fn server_with_an_absurd_number_of_slots_does_not_take_all_requests() {
    let configuration = Configuration::default()
        .with("/services/1/max_conns", json!(MAX_CONNS))
        // Too little for a wait at a server.
        .with("/routes/3/target_latency_ms", json!(1));
    let site = Site::new(&configuration).expect("starts");
    let (first, second) = (server("plain-1"), server("plain-2"));
    let (key, value) = first.registration("ready");
    let value = String::from_utf8(value).expect("text");
    let absurd = value.replace("\"slots\":8", "\"slots\":4294967295");
    assert_ne!(value, absurd);
    site.store.put(&key, absurd.as_bytes());
    site.register(&second);
    let gateway = ready_gateway(&site).await;
    first.set_latency(Duration::from_millis(100));
    second.set_latency(Duration::from_millis(100));

    let gateway = &gateway;
    let calls = (0..100).map(|number| async move {
        sleep(Duration::from_millis(7 * number)).await;
        let answer = gateway.call("/status/1", &format!("s-{number}")).await;
        answer.map_or(0, |answer| answer.status())
    });
    let calls = futures_util::future::join_all(calls);
    let mut most_at_once = 0;
    let observation = async {
        loop {
            most_at_once = first.working().max(most_at_once);
            sleep(Duration::from_millis(2)).await;
        }
    };
    let statuses = tokio::select! {
        statuses = calls => statuses,
        () = observation => Vec::new(),
    };

    assert_eq!(statuses, [200; 100]);
    assert!(most_at_once <= MAX_CONNS, "{most_at_once} at once");
    let runs = (first.runs().len(), second.runs().len());
    assert!(runs.0 >= 10 && runs.1 >= 10, "{runs:?}");
    assert_eq!(panics(gateway), Vec::<String>::new());
}

/// Guards against arithmetic that overflows when several servers claim such numbers.
#[tokio::test]
async fn servers_with_absurd_numbers_of_slots_serve() {
    let site = site();
    let servers = [server("plain-1"), server("plain-2")];
    for server in &servers {
        let (key, value) = server.registration("ready");
        let value = String::from_utf8(value).expect("text");
        let absurd = value.replace("\"slots\":8", "\"slots\":4294967295");
        site.store.put(&key, absurd.as_bytes());
    }
    let gateway = ready_gateway(&site).await;

    let first_status = first_status(&gateway).await;
    let statuses = statuses(&gateway, "s", 20).await;

    assert_eq!((first_status, statuses), (Some(200), vec![200; 20]));
    assert_eq!(panics(&gateway), Vec::<String>::new());
}

/// A configuration that can be decoded, with the largest numbers that an entry may state.
fn extreme_configuration() -> Configuration {
    let mut configuration = Configuration::default().with(
        "/limits",
        json!({
            "max_header_bytes": u64::MAX, "max_body_bytes": u64::MAX,
            "header_timeout_ms": u64::MAX, "idle_timeout_ms": u64::MAX,
        }),
    );
    let value = &mut configuration.value;
    for route in value["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = u64::MAX.into();
        route["target_latency_ms"] = f64::MAX.into();
        route["attempts"] = u32::MAX.into();
        let service = route["service"].take();
        route["backends"] = json!([
            {"service": service, "weight": u32::MAX}, {"service": service, "weight": u32::MAX},
        ]);
    }
    for service in value["services"].as_array_mut().expect("services") {
        service["max_conns"] = u32::MAX.into();
        service["engine"] = json!({
            "slots": u32::MAX, "kv_capacity_tokens": u64::MAX, "stride": u32::MAX,
        });
    }
    for tenant in value["tenants"].as_array_mut().expect("tenants") {
        tenant["rate_per_s"] = f64::MAX.into();
        tenant["burst"] = f64::MAX.into();
        tenant["uncached_tokens"] = u32::MAX.into();
    }
    configuration
}

/// Guards against arithmetic that overflows, and against a gateway that follows no later version.
#[tokio::test]
async fn gateway_serves_with_an_extreme_configuration_and_follows_the_next() {
    let site = Site::new(&extreme_configuration()).expect("starts");
    let first = server("plain-1");
    let engine = Server::new("engine-1", "engine").expect("starts");
    site.register(&first);
    site.register(&engine);
    let mut gateway = ready_gateway(&site).await;
    assert!(
        is_soon_used(&gateway, &first).await,
        "the server is not used"
    );

    let statuses = statuses(&gateway, "s", 20).await;
    let stream = gateway.call("/stream/1", "t-1").await;
    let resumable = gateway.call("/resumable/1", "r-1").await;
    let next = Configuration::default()
        // The requests so far cost more than any other quota.
        .with("/tenants/0/rate_per_s", json!(0))
        .with("/routes/3/prefix", json!("/other/"));
    site.configure(&next);
    let is_followed = wait_for_status(&gateway, "/other/1", 200).await;

    assert_eq!((statuses, is_followed), (vec![200; 20], true));
    let streams = [stream, resumable].map(|answer| answer.map_or(0, |answer| answer.status()));
    assert_eq!(streams, [200; 2]);
    assert_eq!(panics(&gateway), Vec::<String>::new());
    assert!(gateway.process.is_running());
}

/// Guards against a gateway that ends at a configuration that cannot be read, or follows no later one.
#[rstest]
#[case::nested(nested())]
#[case::unclosed("{\"routes\":".repeat(LEVELS))]
#[case::number(r#"{"version":1e999}"#.to_owned())]
#[case::large("x".repeat(LARGE))]
#[case::large_text(Configuration::default().with("/routes/0/route_type", json!("x".repeat(LARGE))).value.to_string())]
#[tokio::test]
async fn gateway_keeps_its_configuration_beside_an_odd_one_and_follows_the_next(
    #[case] odd: String,
) {
    let site = site();
    let first = server("plain-1");
    site.register(&first);
    let mut gateway = ready_gateway(&site).await;
    assert!(
        is_soon_used(&gateway, &first).await,
        "the server is not used"
    );

    site.store.put("op/config", odd.as_bytes());
    sleep(Duration::from_millis(1_500)).await;
    let meanwhile = statuses(&gateway, "s", 5).await;
    let next = Configuration::default().with("/routes/3/prefix", json!("/other/"));
    site.configure(&next);
    let is_followed = wait_for_status(&gateway, "/other/1", 200).await;

    assert_eq!((meanwhile, is_followed), (vec![200; 5], true));
    assert_eq!(panics(&gateway), Vec::<String>::new());
    assert!(gateway.process.is_running());
    assert!(longest_line(&gateway) <= LONGEST_LINE);
}

/// Guards against a gateway that does not start beside what other programs left under its own keys.
#[rstest]
#[case::empty(Vec::new())]
#[case::text(b"not MessagePack".to_vec())]
#[case::nested(vec![0x91; LEVELS])]
#[case::nested_maps([0x81, 0x01].repeat(LEVELS))]
#[case::length_without_content(vec![0xdd, 0xff, 0xff, 0xff, 0xff])]
#[case::map_without_content(vec![0x91, 0xdf, 0xff, 0xff, 0xff, 0xff])]
#[tokio::test]
async fn gateway_starts_beside_odd_entries_under_its_own_keys(#[case] saved: Vec<u8>) {
    let site = site();
    site.store.put("quota-use", &saved);
    for name in ["", "x", "127.0.0.1:70000", "127.0.0.1", "\n"] {
        site.store.put(format!("gateways/{name}"), &saved);
    }
    site.store.put(b"gateways/\xff", &saved);
    let first = server("plain-1");
    site.register(&first);

    let mut gateway = ready_gateway(&site).await;
    let is_used = is_soon_used(&gateway, &first).await;
    let statuses = statuses(&gateway, "s", 20).await;

    assert_eq!((is_used, statuses), (true, vec![200; 20]));
    assert_eq!(panics(&gateway), Vec::<String>::new());
    assert!(gateway.process.is_running());
}

/// Waits until requests to a path have a status.
async fn wait_for_status(gateway: &Gateway, path: &str, expected: u16) -> bool {
    let deadline = Instant::now() + IN_FORCE;
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        let answer = gateway.call(path, &format!("w-{number}")).await;
        if answer.is_ok_and(|answer| answer.status() == expected) {
            return true;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}
