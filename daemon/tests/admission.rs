//! Admission control in the scheduler of a gateway: who gets a slot that becomes free.

use {
    std::{pin::pin, sync::Arc, time::Duration},
    tamarackdale_core::{
        admission::{Subject, Work},
        fleet::{Choice, Members},
        summary::Summary,
        tier::Rank,
        wait_policy,
    },
    tamarackdale_platform::{Settings, registration},
    tamarackdaled::{
        clock::Clock,
        gateway::scheduler::{InFlightRequest, PlacementError, PlacementRequest, Scheduler},
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

const SERVICE: &str = "chat";

/// Time in which a request is placed that need not wait.
const AT_ONCE: Duration = Duration::from_millis(50);

struct Bench {
    clock: Clock,
    scheduler: Arc<Scheduler>,
}

impl Bench {
    /// A scheduler with admission control and one server with one slot.
    fn new() -> Self {
        let clock = Clock::new();
        let settings = Settings::parse(SETTINGS).expect("the settings are valid");
        let scheduler = Scheduler::new(clock, 1, &settings);
        let value = format!(
            r#"{{"service":"{SERVICE}","address":"10.128.0.1:8080","zone":"a","version":"v1",
            "slots":1,"state":"ready","cold_remaining_ms":0,"sequence":4,"born":1700000000000}}"#
        );
        let registration = registration::decode("servers/chat-1", value.as_bytes());
        let member = registration.expect("is valid").member;
        let members = Members::from([(member.id.clone(), member)]);
        scheduler.update_servers(&members, Default::default());
        scheduler.set_admission_control(true);
        Self {
            clock,
            scheduler: Arc::new(scheduler),
        }
    }

    fn request(&self, organisation: &str, output: u32) -> PlacementRequest {
        let now = self.clock.now();
        PlacementRequest {
            service: SERVICE.to_owned(),
            rank: Rank(1),
            subject: Subject::new(organisation, "route", 100, output),
            prompt: 100,
            prefix: None,
            output,
            excluded: Vec::new(),
            version: None,
            begins_stream: false,
            accepted: now,
            waiting_since: now,
            objective: Duration::from_secs(5),
            deadline: now.plus(Duration::from_secs(10)),
            is_retry: false,
            is_optional: false,
            trial_use: Default::default(),
            pick: Default::default(),
        }
    }

    async fn place(&self, request: PlacementRequest) -> Result<Choice, PlacementError> {
        self.scheduler.place(request).await
    }

    /// Takes the only slot.
    async fn occupy(&self, organisation: &str) -> InFlightRequest {
        let placed = self.place(self.request(organisation, 100)).await;
        let choice = placed.expect("the slot is free");
        let load = choice.request_load(100);
        self.scheduler.start_request(&choice.member.id, load)
    }
}

/// Guards against a slot for a request of ten times the size while a small one waits as well.
#[tokio::test]
async fn smaller_request_gets_the_slot_that_becomes_free() {
    let bench = Bench::new();
    let running = bench.occupy("first").await;
    // By the time left, the newer one would go first.
    let mut small = pin!(bench.place(bench.request("b", 100)));
    let mut large = pin!(bench.place(bench.request("a", 1_000)));
    let waiting = timeout(AT_ONCE, async { tokio::join!(&mut small, &mut large) }).await;

    drop(running);
    let small = timeout(AT_ONCE, small).await;

    assert!(waiting.is_err(), "both wait");
    assert!(small.expect("at once").is_ok());
    assert!(
        timeout(AT_ONCE, large).await.is_err(),
        "the large one waits"
    );
}

/// Guards against an organisation with most of the work at all gateways whose request displaces that of
/// another, although it has little at this one.
#[tokio::test]
async fn organisation_over_its_share_at_peers_goes_after_others() {
    let bench = Bench::new();
    // Three organisations have had the slot here, so that an equal part is a third.
    drop(bench.occupy("first").await);
    drop(bench.occupy("greedy").await);
    let running = bench.occupy("third").await;
    let greedy = Subject::new("greedy", "route", 0, 0).organisation;
    let work = Work {
        total_s: 50.0,
        organisations: vec![(greedy, 45.0), (1, 1.0)],
    };
    let summary = Summary {
        work: vec![(SERVICE.to_owned(), work)],
        ..Summary::default()
    };
    bench.scheduler.merge_summary(7, &summary);
    let mut over = pin!(bench.place(bench.request("greedy", 100)));
    let mut other = pin!(bench.place(bench.request("b", 1_000)));
    let waiting = timeout(AT_ONCE, async { tokio::join!(&mut over, &mut other) }).await;

    drop(running);
    let other = timeout(AT_ONCE, other).await;

    assert!(waiting.is_err(), "both wait");
    assert!(other.expect("at once").is_ok());
    assert!(timeout(AT_ONCE, over).await.is_err());
}

/// Guards against summaries that differ from those of the previous version while nothing waits.
#[tokio::test]
async fn summary_tells_of_work_only_while_requests_wait() {
    let bench = Bench::new();
    let _running = bench.occupy("first").await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let calm = bench.scheduler.summary(false).work;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut waits = pin!(bench.place(bench.request("a", 100)));
    let waiting = timeout(Duration::from_millis(500), &mut waits).await;

    let told = bench.scheduler.summary(false).work;

    assert!(calm.is_empty());
    assert!(waiting.is_err(), "it still waits");
    let told = told.into_iter().map(|(service, _)| service);
    assert_eq!(told.collect::<Vec<_>>(), [SERVICE]);
}

/// Guards against times that callers do not follow, and against promises to callers that do not return,
/// or by a gateway that has not observed any slots.
#[tokio::test]
async fn refused_caller_is_asked_back_within_the_time_that_it_follows() {
    let bench = Bench::new();
    let _running = bench.occupy("first").await;
    // The slots that this gateway uses are observed.
    tokio::time::sleep(Duration::from_millis(300)).await;
    bench.scheduler.claim_unused_capacity();
    let time_left = Duration::from_secs(8);
    let request = bench.request("a", 100);

    let first = bench.scheduler.assign_return(&request, time_left);
    let returned = PlacementRequest {
        is_retry: true,
        ..bench.request("a", 100)
    };
    let again = bench.scheduler.assign_return(&returned, time_left);
    let without = Bench::new();
    let none = without.scheduler.assign_return(&request, time_left);

    let (earliest, latest) = wait_policy::retry_range(time_left);
    assert!((earliest..=latest).contains(&first.delay));
    assert!(!again.is_promised, "it does not return once more");
    assert!(!none.is_promised, "no slots were observed");
}

/// Guards against callers that are held for their whole wait under an overload that lasts, although many
/// more wait than get a slot, and against early refusals before that.
#[tokio::test]
async fn requests_without_a_chance_are_refused_early_under_a_lasting_overload() {
    const RUN: Duration = Duration::from_millis(200);
    let bench = Bench::new();
    let start = bench.clock.now();
    let mut callers = tokio::task::JoinSet::new();
    while bench.clock.now().since(start) < Duration::from_millis(4_500) {
        let (scheduler, clock) = (Arc::clone(&bench.scheduler), bench.clock);
        let request = bench.request("a", 1_000);
        callers.spawn(async move {
            let accepted = clock.now();
            let choice = scheduler.place(request).await;
            let waited = clock.now().since(accepted);
            if let Ok(choice) = &choice {
                let load = choice.request_load(100);
                let _running = scheduler.start_request(&choice.member.id, load);
                tokio::time::sleep(RUN).await;
            }
            (accepted.since(start), waited, choice.is_ok())
        });
        tokio::time::sleep(AT_ONCE).await;
        bench.scheduler.claim_unused_capacity();
    }

    let ends = callers.join_all().await;

    let is_early = |(_, waited, is_placed): &&(Duration, Duration, bool)| {
        !is_placed && *waited < Duration::from_millis(500)
    };
    let early: Vec<_> = ends.iter().filter(is_early).collect();
    assert!(!early.is_empty());
    let begin = Duration::from_millis(2_400);
    assert!(early.iter().all(|(accepted, ..)| *accepted > begin));
}
