//! The stream of reports to one router: pace, urgency, confirmation and end.
//!
//! The time is virtual: it passes when everything waits.

use {
    futures_util::StreamExt as _,
    std::{io, pin::Pin, time::Duration},
    tamarackdale_core::{
        cost::Rates,
        floor,
        id::{Attempt, Boot, Incarnation, Instance},
        report::Report,
        tier::Rank,
    },
    tamarackdale_wire::{self as wire, codec::Splitter},
    tamarackdaled::sidecar::report_stream::{self, Query},
    tokio::{
        sync::watch,
        time::{Instant, sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

const ROUTER: u64 = 7;

/// Shortest time between two items.
const INTERVAL: Duration = Duration::from_millis(100);

/// Longest delay of an urgent change.
const URGENT_LIMIT: Duration = Duration::from_millis(200);

struct Feed {
    reports: watch::Sender<Report>,
    drained: CancellationToken,
    items: Pin<Box<dyn futures_util::Stream<Item = io::Result<bytes::Bytes>> + Send>>,
}

impl Feed {
    fn new(bytes_per_s: u32) -> Self {
        let (reports, receiver) = watch::channel(report());
        let drained = CancellationToken::new();
        let query = Query {
            router: ROUTER,
            bytes_per_s,
        };
        let items = report_stream::open(receiver, query, INTERVAL, drained.clone());
        let items = items.map(|item| item.map(|frame| frame.into_data().expect("data")));
        Self {
            reports,
            drained,
            items: Box::pin(items),
        }
    }

    /// The next item and its length in bytes.
    async fn next(&mut self) -> (Option<wire::Report>, usize) {
        let bytes = self.items.next().await.expect("goes on").expect("encodes");
        let mut splitter = Splitter::new();
        splitter.push(&bytes);
        let item = splitter.next_item().expect("decodes").expect("is whole");
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
    }
}

#[tokio::test(start_paused = true)]
async fn changes_keep_to_the_share_of_bytes() {
    const SHARE: u32 = 100;
    const LENGTH: Duration = Duration::from_secs(20);
    let mut feed = Feed::new(SHARE);
    let reports = feed.reports.clone();
    tokio::spawn(async move {
        for running in 0.. {
            reports.send_modify(|report| report.running = running);
            sleep(Duration::from_millis(30)).await;
        }
    });
    let (first, length) = feed.next().await;
    let start = Instant::now();

    let mut bytes = 0;
    let mut newest = 0;
    while start.elapsed() < LENGTH {
        let (item, length) = feed.next().await;
        bytes += length;
        newest = item.expect("every item is a change").running;
    }

    assert!(first.is_some());
    let allowed = SHARE as usize * LENGTH.as_secs() as usize + length;
    assert!(bytes <= allowed, "{bytes} bytes of {allowed}");
    assert!(bytes >= allowed / 2, "{bytes} bytes of {allowed}");
    // What goes out is the newest, not the oldest that waits.
    assert!(newest >= 600, "{newest}");
}

#[rstest::rstest]
#[case::leaving(|report: &mut Report| report.leaving = true)]
#[case::revision(|report: &mut Report| report.revision = 2)]
#[case::floor(|report: &mut Report| report.floor.rank = Rank(1))]
#[tokio::test(start_paused = true)]
async fn urgent_change_does_not_wait_for_its_share(#[case] change: fn(&mut Report)) {
    let mut feed = Feed::new(1);
    feed.next().await;
    let start = Instant::now();
    feed.reports.send_modify(change);

    let (item, _) = feed.next().await;

    let expected = wire::Report::from(feed.reports.borrow().clone());
    assert_eq!(item, Some(expected));
    assert!(start.elapsed() <= URGENT_LIMIT);
}

#[tokio::test(start_paused = true)]
async fn change_that_is_not_urgent_goes_out_within_the_routers_limit_of_silence() {
    let mut feed = Feed::new(1);
    feed.next().await;
    let start = Instant::now();
    feed.reports.send_modify(|report| report.running = 1);

    let (item, _) = feed.next().await;

    assert_eq!(item.map(|report| report.running), Some(1));
    assert!(start.elapsed() < Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn report_that_holds_is_confirmed_in_a_few_bytes() {
    let mut feed = Feed::new(1_000);
    feed.next().await;
    let start = Instant::now();

    let items = [feed.next().await, feed.next().await, feed.next().await];

    assert!(
        items
            .iter()
            .all(|(item, length)| item.is_none() && *length < 10)
    );
    let elapsed = start.elapsed();
    assert!((2..=4).contains(&elapsed.as_secs()), "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn only_the_routers_own_attempts_are_told() {
    let mut feed = Feed::new(1_000);
    let attempt = |router| Attempt {
        router: Boot(router),
        sequence: 3,
    };
    feed.reports
        .send_modify(|report| report.seen = vec![attempt(5), attempt(ROUTER), attempt(9)]);

    let (item, _) = feed.next().await;

    let seen = item.expect("the first item is a report").seen;
    assert_eq!(seen, [wire::id::Attempt::from(attempt(ROUTER))]);
}

#[tokio::test(start_paused = true)]
async fn feed_ends_when_the_sidecar_has_drained() {
    let mut feed = Feed::new(1_000);
    feed.next().await;
    feed.drained.cancel();

    let end = timeout(Duration::from_secs(1), feed.items.next()).await;

    assert!(matches!(end, Ok(None)));
}
