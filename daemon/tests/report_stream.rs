//! The stream of reports to one router: rate limit, urgent changes, heartbeats and end.
//!
//! Tokio's clock is paused, so time advances only while all tasks wait.

use {
    futures_util::StreamExt as _,
    std::{io, pin::Pin, sync::Arc, time::Duration},
    tamarackdale_core::{
        cost::Rates,
        floor,
        id::{Attempt, Boot, Incarnation, Instance},
        poison::{Fingerprint, Notice},
        report::Report,
        tier::Rank,
        time::Timestamp,
    },
    tamarackdale_wire::{self as wire, codec::Splitter},
    tamarackdaled::{
        clock::Clock,
        sidecar::report_stream::{self, Query},
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

const ROUTER: u64 = 7;

/// Minimum time between two items.
const INTERVAL: Duration = Duration::from_millis(100);

/// Longest allowed delay of an urgent change.
const MAX_URGENT_DELAY: Duration = Duration::from_millis(200);

struct TestStream {
    reports: watch::Sender<Report>,
    drained: CancellationToken,
    items: Pin<Box<dyn futures_util::Stream<Item = io::Result<bytes::Bytes>> + Send>>,
}

impl TestStream {
    /// The stream of a router that reads notices of crashes.
    fn new(bytes_per_s: u32) -> Self {
        Self::with_poison(bytes_per_s, Some(1))
    }

    fn with_poison(bytes_per_s: u32, poison: Option<u8>) -> Self {
        let (reports, receiver) = watch::channel(report());
        let drained = CancellationToken::new();
        let query = Query {
            router: ROUTER,
            bytes_per_s,
            poison,
        };
        let clock = Clock::new();
        let items = report_stream::open(receiver, query, clock, INTERVAL, drained.clone());
        let items = items.map(|item| item.map(|frame| frame.into_data().expect("a data frame")));
        Self {
            reports,
            drained,
            items: Box::pin(items),
        }
    }

    /// The next item and its length in bytes.
    async fn next(&mut self) -> (Option<wire::Report>, usize) {
        let bytes = self
            .items
            .next()
            .await
            .expect("the stream continues")
            .expect("the report is encoded");
        let mut splitter = Splitter::new();
        splitter.push(&bytes);
        let item = splitter
            .next_item()
            .expect("the item is valid")
            .expect("the item is complete");
        (item, bytes.len())
    }
}

fn report() -> Report {
    Report {
        incarnation: Incarnation {
            instance: Instance("slibe-1".to_owned()),
            boot: Boot(1),
        },
        service: "slibe-llm".to_owned(),
        leaving: false,
        revision: 1,
        floor: floor::Notice::OPEN,
        limit: 8,
        running: 0,
        running_tokens: 0,
        unprefilled_tokens: 0,
        waiting: Vec::new(),
        rates: Rates::new(1_000.0, 10.0),
        evicted_prefixes: Vec::new(),
        seen: Vec::new(),
        notices: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn reports_of_frequent_changes_stay_within_the_byte_rate() {
    const BYTES_PER_S: u32 = 100;
    const PERIOD: Duration = Duration::from_secs(20);
    let mut stream = TestStream::new(BYTES_PER_S);
    let reports = stream.reports.clone();
    tokio::spawn(async move {
        for running in 0.. {
            reports.send_modify(|report| report.running = running);
            sleep(Duration::from_millis(30)).await;
        }
    });
    let (first, length) = stream.next().await;
    let start = Instant::now();

    let mut bytes = 0;
    let mut newest = 0;
    while start.elapsed() < PERIOD {
        let (item, length) = stream.next().await;
        bytes += length;
        newest = item.expect("every item is a report").running;
    }

    assert!(first.is_some());
    let allowed = BYTES_PER_S as usize * PERIOD.as_secs() as usize + length;
    assert!(bytes <= allowed, "{bytes} bytes of {allowed}");
    assert!(bytes >= allowed / 2, "{bytes} bytes of {allowed}");
    // Each report carries the current state, not the oldest change that has not been reported.
    assert!(newest >= 600, "{newest}");
}

#[rstest::rstest]
#[case::leaving(|report: &mut Report| report.leaving = true)]
#[case::revision(|report: &mut Report| report.revision = 2)]
#[case::floor(|report: &mut Report| report.floor.rank = Rank(1))]
#[tokio::test(start_paused = true)]
async fn urgent_change_is_not_rate_limited(#[case] change: fn(&mut Report)) {
    let mut stream = TestStream::new(1);
    stream.next().await;
    let start = Instant::now();
    stream.reports.send_modify(change);

    let (item, _) = stream.next().await;

    let expected = wire::Report::from(stream.reports.borrow().clone());
    assert_eq!(item, Some(expected));
    assert!(start.elapsed() <= MAX_URGENT_DELAY);
}

#[tokio::test(start_paused = true)]
async fn change_that_is_not_urgent_is_sent_before_the_router_times_out() {
    let mut stream = TestStream::new(1);
    stream.next().await;
    let start = Instant::now();
    stream.reports.send_modify(|report| report.running = 1);

    let (item, _) = stream.next().await;

    assert_eq!(item.map(|report| report.running), Some(1));
    assert!(start.elapsed() < Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn unchanged_report_is_confirmed_by_short_heartbeats() {
    let mut stream = TestStream::new(1_000);
    stream.next().await;
    let start = Instant::now();

    let items = [
        stream.next().await,
        stream.next().await,
        stream.next().await,
    ];

    assert!(
        items
            .iter()
            .all(|(item, length)| item.is_none() && *length < 10)
    );
    let elapsed = start.elapsed();
    assert!((2..=4).contains(&elapsed.as_secs()), "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn report_lists_only_attempts_of_its_router() {
    let mut stream = TestStream::new(1_000);
    let attempt = |router| Attempt {
        router: Boot(router),
        sequence: 3,
    };
    stream
        .reports
        .send_modify(|report| report.seen = vec![attempt(5), attempt(ROUTER), attempt(9)]);

    let (item, _) = stream.next().await;

    let seen = item.expect("the first item is a report").seen;
    assert_eq!(seen, [wire::id::Attempt::from(attempt(ROUTER))]);
}

#[tokio::test(start_paused = true)]
async fn stream_ends_when_the_sidecar_has_drained() {
    let mut stream = TestStream::new(1_000);
    stream.next().await;
    stream.drained.cancel();

    let end = timeout(Duration::from_secs(1), stream.items.next()).await;

    assert!(matches!(end, Ok(None)));
}

/// A request that was lost at a crash.
fn lost(digest: u64) -> Arc<Notice> {
    Arc::new(Notice::Crash {
        fingerprint: Fingerprint {
            request: Some(digest),
            parts: Vec::new(),
        },
        server: 1,
        at: Timestamp::from_millis(1),
    })
}

#[tokio::test(start_paused = true)]
async fn request_that_was_lost_at_a_crash_is_told_at_once_and_once() {
    let mut stream = TestStream::new(1);
    stream.next().await;
    let start = Instant::now();
    stream
        .reports
        .send_modify(|report| report.notices.push(lost(7)));

    let (item, _) = stream.next().await;
    let told_after = start.elapsed();
    stream.reports.send_modify(|report| report.running = 1);
    let (next, _) = stream.next().await;

    let told = item.expect("a report").poison;
    assert_eq!(
        told.iter().map(|told| told.request).collect::<Vec<_>>(),
        [Some(7)]
    );
    assert!(told_after <= MAX_URGENT_DELAY, "{told_after:?}");
    assert_eq!(next.map(|report| report.poison.len()), Some(0));
}

/// Guards against notices that take all of a router's budget when a server crashes with many requests.
#[tokio::test(start_paused = true)]
async fn requests_that_were_lost_at_a_crash_are_told_in_bounded_parts() {
    const LOST: u64 = 100;
    const MAX_BYTES: usize = 480;
    let mut stream = TestStream::new(1);
    stream.next().await;
    let start = Instant::now();
    stream
        .reports
        .send_modify(|report| report.notices.extend((0..LOST).map(lost)));

    let mut told = Vec::new();
    while (told.len() as u64) < LOST {
        let (item, length) = stream.next().await;
        let digests = item.into_iter().flat_map(|report| report.poison);
        told.extend(digests.filter_map(|told| told.request));
        assert!(length <= MAX_BYTES, "{length} bytes at once");
    }

    assert_eq!(told, (0..LOST).collect::<Vec<_>>());
    let seconds = start.elapsed().as_secs();
    assert!((8..=9).contains(&seconds), "{seconds} s");
}

/// Guards against reports that routers of older versions cannot read.
#[tokio::test(start_paused = true)]
async fn router_that_does_not_ask_for_notices_gets_none() {
    let mut stream = TestStream::with_poison(1_000, None);
    stream.next().await;
    stream.reports.send_modify(|report| {
        report.notices.push(lost(7));
        report.leaving = true;
    });

    let (item, _) = stream.next().await;

    assert_eq!(item.map(|report| report.poison.len()), Some(0));
}
