//! The scheduler of a gateway: who gets the starts at limited backend servers.

use {
    std::{pin::pin, sync::Arc, time::Duration},
    tamarackdale_core::{
        admission::Subject,
        cell::Layout,
        fleet::{
            Choice, Members,
            limit::{self, Limit},
            statement::Notice,
        },
        routing_config::{Organisation, Quota, Unit},
        tier::Rank,
        wait_queue::SchedulingKey,
    },
    tamarackdale_platform::{Settings, registration},
    tamarackdaled::{
        clock::Clock,
        gateway::scheduler::{PlacementError, PlacementRequest, Scheduler},
    },
    tokio::time::timeout,
};

const SETTINGS: &str = r#"
node_name = "edge-a-1"
role = "gateway"
zone = "a"
ip = "10.1.0.25"
port_range = [7600, 7615]
bootstrap = true
[bind]
frontend = "10.1.0.25:8221"
readiness = "10.1.0.25:8224"
[limits]
memory_mb = 182
max_fds = 2870
[bounds]
grace_s = 8
converge_ms = 2000
drain_ms = 2000
revoke_ms = 5000
retry_budget = 0.2
budget_window_s = 10
retry_extra = 116
quota_window_s = 8
quota_overrun = 0.1
quota_slack = 140000
[platform_api]
address = "10.200.1.7:8225"
"#;

const URGENT: Rank = Rank(0);
const OTHER: Rank = Rank(3);

/// Time in which a request is placed that need not wait.
const AT_ONCE: Duration = Duration::from_millis(50);

/// Time until the next start that a keeper names.
const NEXT: Duration = Duration::from_millis(200);

struct Bench {
    clock: Clock,
    scheduler: Scheduler,
}

impl Bench {
    /// A scheduler with two idle servers that have named a limit.
    fn new() -> Self {
        let clock = Clock::new();
        let settings = Settings::parse(SETTINGS).expect("the settings are valid");
        let scheduler = Scheduler::new(clock, 1, &settings);
        let members: Members = (1..=2).map(member).collect();
        scheduler.update_servers(&members, Default::default());
        let notice = Notice {
            limit: limit::Notice::Limited(Limit::new(4.0).expect("a number")),
            ..Notice::default()
        };
        for member in members.values() {
            scheduler.record_notice(member, &notice, clock.now());
        }
        Self { clock, scheduler }
    }

    async fn place(&self, rank: Rank) -> Option<Result<Choice, PlacementError>> {
        let placing = self.scheduler.place(self.request(rank));
        timeout(AT_ONCE, placing).await.ok()
    }

    fn request(&self, rank: Rank) -> PlacementRequest {
        let now = self.clock.now();
        PlacementRequest {
            service: "plain".to_owned(),
            rank,
            subject: Subject::default(),
            prompt: 0,
            prefix: None,
            output: 0,
            excluded: Vec::new(),
            version: None,
            begins_stream: false,
            accepted: now,
            waiting_since: now,
            objective: Duration::from_secs(1),
            deadline: now.plus(Duration::from_secs(10)),
            is_retry: false,
            is_optional: false,
            trial_use: Default::default(),
            pick: Default::default(),
        }
    }

    /// Places an urgent request, which then asks for a start.
    async fn place_urgent(&self) -> Choice {
        let placed = self.place(URGENT).await;
        placed.expect("at once").expect("placed")
    }

    fn refuse_start(&self, choice: &Choice) {
        let load = choice.request_load(0);
        self.scheduler
            .record_start_refused(&choice.member.id, load, NEXT);
    }
}

fn member(number: usize) -> (String, tamarackdale_core::fleet::Member) {
    let value = format!(
        r#"{{"service":"plain","address":"10.128.0.{number}:8080","zone":"a","version":"v1",
        "slots":8,"state":"ready","cold_remaining_ms":0,"sequence":4,"born":1700000000000}}"#
    );
    let key = format!("servers/plain-{number}");
    let registration = registration::decode(&key, value.as_bytes()).expect("is valid");
    (registration.member.id.clone(), registration.member)
}

/// Guards against a start at one server for a less urgent request while a more urgent one of the same
/// gateway, which therefore does not wait in the queue, asks for one at another server and is refused.
#[tokio::test]
async fn start_is_left_to_a_more_urgent_request_that_asks_for_one_elsewhere() {
    let bench = Bench::new();
    let first = bench.place_urgent().await;

    let other = bench.place(OTHER).await;
    let told = bench.scheduler.summary(false).waits;
    bench.refuse_start(&first);
    let second = bench.place_urgent().await;

    assert!(other.is_none(), "the less urgent request waits");
    assert_eq!(told.first().map(|(_, urgency)| urgency.rank), Some(URGENT));
    assert_ne!(second.member.id, first.member.id);
}

/// Guards against a start at the other server for a less urgent request that waits in the queue, in the
/// moment in which the more urgent one is refused its own and is placed again.
#[tokio::test]
async fn request_that_is_refused_a_start_goes_before_less_urgent_ones_that_wait() {
    let bench = Bench::new();
    let first = bench.place_urgent().await;
    let mut other = pin!(bench.scheduler.place(bench.request(OTHER)));
    let waiting = timeout(AT_ONCE, &mut other).await;
    assert!(waiting.is_err(), "the less urgent request waits");

    bench.refuse_start(&first);
    let second = bench.place_urgent().await;

    assert_ne!(second.member.id, first.member.id);
    assert!(timeout(AT_ONCE, &mut other).await.is_err());
}

#[tokio::test]
async fn less_urgent_request_gets_a_start_once_the_more_urgent_one_has_its_own() {
    let bench = Bench::new();
    let first = bench.place_urgent().await;
    bench.scheduler.record_start_granted(&first.member.id);

    let other = bench.place(OTHER).await;

    assert!(other.expect("at once").is_ok());
    // It asks for a start itself now.
    let told = bench.scheduler.summary(false).waits;
    let told = told.into_iter().map(|(_, urgency)| urgency.rank);
    assert_eq!(told.collect::<Vec<_>>(), [OTHER]);
}

#[tokio::test]
async fn equally_urgent_requests_ask_for_starts_at_several_servers_at_once() {
    let bench = Bench::new();

    let first = bench.place_urgent().await;
    let second = bench.place_urgent().await;

    assert_ne!(second.member.id, first.member.id);
}

/// Guards against starts that nobody uses after a caller has left while its request asked for one.
#[tokio::test]
async fn question_without_an_end_holds_up_others_for_its_time_only() {
    let bench = Bench::new();
    let _asking = bench.place_urgent().await;
    tokio::time::sleep(limit::ASK_TIMEOUT).await;

    let other = bench.place(OTHER).await;

    assert!(other.expect("at once").is_ok());
}

/// An organisation with a quota of 800,000 in 8 s.
fn organisation() -> Arc<Organisation> {
    Arc::new(Organisation {
        name: "o".to_owned(),
        rank: None,
        quota: Some(Quota {
            rate: 100_000.0,
            burst: 0.0,
            unit: Unit::Requests,
        }),
    })
}

/// Guards against a stream that is refused by quota at a gateway that has just started, while a new one
/// gets what is free once the gateway has heard its peers.
#[tokio::test]
async fn stream_that_goes_on_gets_the_quota_first_once_the_peers_are_heard() {
    let bench = Bench::new();
    let now = bench.clock.now();
    let organisation = organisation();
    let admit = |is_resumed| {
        let key = SchedulingKey {
            rank: OTHER,
            is_resumed,
            is_retry: false,
            on_time_until: now.plus(Duration::from_secs(1)),
        };
        let until = now.plus(Duration::from_millis(300));
        // Two of them are more than the quota of 800,000 and what it may be overrun by.
        bench.scheduler.admit(&organisation, 500_000.0, key, until)
    };
    let hear_peers = async {
        tokio::task::yield_now().await;
        bench
            .scheduler
            .set_gateways(1, 1, Layout::default(), Duration::ZERO);
        bench.scheduler.admit_waiting();
    };

    let (new, resumed, ()) = tokio::join!(admit(false), admit(true), hear_peers);

    assert!(resumed.is_ok(), "the stream goes on");
    assert!(new.is_err(), "there is no room for both");
}

/// Guards against a stream that is refused at a moment without room, while the room that a request
/// leaves goes to new ones.
#[tokio::test]
async fn stream_that_goes_on_waits_for_room_before_new_requests() {
    const COST: f64 = 500_000.0;
    let bench = Bench::new();
    let organisation = organisation();
    let layout = Layout::default();
    bench.scheduler.set_gateways(1, 1, layout, Duration::ZERO);
    let now = bench.clock.now();
    let admit = |is_resumed, cost| {
        let key = SchedulingKey {
            rank: OTHER,
            is_resumed,
            is_retry: false,
            on_time_until: now.plus(Duration::from_secs(1)),
        };
        let until = now.plus(Duration::from_millis(800));
        bench.scheduler.admit(&organisation, cost, key, until)
    };
    admit(false, COST).await.expect("there is room");
    let admitted = bench.clock.now();

    let mut resumed = pin!(admit(true, COST));
    let waiting = timeout(AT_ONCE, &mut resumed).await;
    let new = admit(false, 1.0).await;
    bench.scheduler.refund("o", COST, admitted);
    bench.scheduler.admit_waiting();
    let resumed = resumed.await;

    assert!(waiting.is_err(), "refused at once");
    assert!(new.is_err(), "overtakes the stream");
    assert!(resumed.is_ok(), "the stream goes on");
}

/// Guards against use that nobody has: a caller leaves at the moment at which its stream gets the room for
/// which it waits.
#[tokio::test]
async fn room_of_a_stream_whose_caller_has_just_left_is_free_again() {
    const COST: f64 = 500_000.0;
    let bench = Bench::new();
    let organisation = organisation();
    let layout = Layout::default();
    bench.scheduler.set_gateways(1, 1, layout, Duration::ZERO);
    let now = bench.clock.now();
    let admit = |is_resumed| {
        let key = SchedulingKey {
            rank: OTHER,
            is_resumed,
            is_retry: false,
            on_time_until: now.plus(Duration::from_secs(1)),
        };
        let until = now.plus(Duration::from_millis(800));
        bench.scheduler.admit(&organisation, COST, key, until)
    };
    admit(false).await.expect("there is room");
    let admitted = bench.clock.now();
    let mut resumed = Box::pin(admit(true));
    let waiting = timeout(AT_ONCE, &mut resumed).await;
    assert!(waiting.is_err(), "refused at once");

    bench.scheduler.refund("o", COST, admitted);
    bench.scheduler.admit_waiting();
    drop(resumed);

    admit(false).await.expect("the room is free");
}
