//! The stream of load reports to one router.
//!
//! Urgent changes are sent at once, and so are notices of requests that were lost at crashes, a bounded
//! number of them each second, to routers that ask for them. Other changes are rate-limited to the number of bytes per
//! second that the router asks for. While nothing changes, an empty item serves as a heartbeat and
//! confirms the last report.

use {
    crate::clock::Clock,
    bytes::Bytes,
    futures_util::{Stream, stream},
    gotham::{
        hyper::body::Frame,
        prelude::{StateData, StaticResponseExtender},
    },
    serde::Deserialize,
    std::{io, sync::Arc, time::Duration},
    tamarackdale_core::{
        id::Boot,
        poison::{self, Notice},
        report::Report,
    },
    tamarackdale_wire::{self as wire, codec},
    tokio::{
        sync::watch,
        time::{Instant, sleep_until, timeout_at},
    },
    tokio_util::sync::CancellationToken,
};

/// Longest time between two items while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that the rate limit delays a change; shorter than the silence after which a router
/// considers the connection dead.
const MAX_DELAY: Duration = Duration::from_millis(2_500);

/// Version of the notices of crashes that this process sends.
const POISON_VERSION: u8 = 1;

/// Most notices in one report.
const MAX_NOTICES: usize = 12;

/// Shortest time between two reports with notices; bounds what a crash adds to the traffic.
const NOTICES_INTERVAL: Duration = Duration::from_secs(1);

/// Query parameters of a router's request for reports.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub struct Query {
    /// Boot of the router.
    pub router: u64,
    /// Rate limit for this sidecar's reports, in bytes per second.
    pub bytes_per_s: u32,
    /// Version of the notices of crashes that the router reads. `None` from one of an older version,
    /// which gets none.
    pub poison: Option<u8>,
}

struct ReportStream {
    reports: watch::Receiver<Report>,
    query: Query,
    /// Minimum time between two items.
    interval: Duration,
    /// The last report, without its notices.
    last_report: Option<Report>,
    /// Notices that the router has been told.
    told: Vec<Arc<Notice>>,
    /// When the next notices may be sent.
    next_notices_at: Instant,
    clock: Clock,
    /// When the last item was sent.
    last_sent_at: Instant,
    /// When the rate limit allows the next report that is not urgent.
    next_regular_at: Instant,
}

/// Opens a stream of items for a router, at least `interval` apart. An item is a report, or empty
/// if the last report is unchanged. The stream ends when `drained` is cancelled.
pub fn open(
    reports: watch::Receiver<Report>,
    query: Query,
    clock: Clock,
    interval: Duration,
    drained: CancellationToken,
) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
    let now = Instant::now();
    let stream = ReportStream {
        reports,
        query,
        interval,
        last_report: None,
        told: Vec::new(),
        next_notices_at: now,
        clock,
        last_sent_at: now,
        next_regular_at: now,
    };
    stream::unfold((stream, drained), |(mut stream, drained)| async move {
        let item = tokio::select! {
            item = stream.next() => item,
            () = drained.cancelled() => return None,
        };
        Some((item.map(Frame::data), (stream, drained)))
    })
}

impl ReportStream {
    async fn next(&mut self) -> io::Result<Bytes> {
        let Some(last_report) = self.last_report.take() else {
            let (report, notices) = self.current_report();
            return self.send(report, &notices);
        };
        let heartbeat = self.last_sent_at + HEARTBEAT_INTERVAL;
        let mut earliest = self.last_sent_at + self.interval;
        loop {
            sleep_until(earliest).await;
            earliest = Instant::now() + self.interval;
            let (report, notices) = self.current_report();
            let now = Instant::now();
            let has_news = !poison::news(&self.told, &notices).is_empty();
            if has_news && now >= self.next_notices_at {
                return self.send(report, &notices);
            }
            let mut wake = match report == last_report {
                true if now >= heartbeat => return self.send_unchanged(last_report),
                true => heartbeat,
                false if now >= self.next_regular_at || report.is_urgent_after(&last_report) => {
                    return self.send(report, &notices);
                }
                false => self.next_regular_at,
            };
            if has_news {
                wake = wake.min(self.next_notices_at);
            }
            // Waits until `wake` or until the report changes; without a sender, only until `wake`.
            if let Ok(Err(_)) = timeout_at(wake, self.reports.changed()).await {
                sleep_until(wake).await;
            }
        }
    }

    /// The report for this router, and the notices that it may be told.
    fn current_report(&mut self) -> (Report, Vec<Arc<Notice>>) {
        let router = Boot(self.query.router);
        let mut report = self.reports.borrow_and_update().for_router(router);
        let notices = std::mem::take(&mut report.notices);
        match self.query.poison {
            Some(version) if version >= POISON_VERSION => (report, notices),
            _ => (report, Vec::new()),
        }
    }

    fn send(&mut self, report: Report, notices: &[Arc<Notice>]) -> io::Result<Bytes> {
        let now = Instant::now();
        let may_tell = now >= self.next_notices_at;
        let news = poison::news(&self.told, notices);
        let count = if may_tell {
            news.len().min(MAX_NOTICES)
        } else {
            0
        };
        let item = wire::Report::from(report.clone());
        let item = encode(Some(item.with_notices(&news[..count], self.clock.now())))?;
        if count > 0 {
            let told = notices.len() - news.len() + count;
            self.told = notices[..told].to_vec();
            self.next_notices_at = now + NOTICES_INTERVAL;
        }
        let bytes_per_s = self.query.bytes_per_s.max(1);
        let delay = Duration::from_secs(1) * item.len() as u32 / bytes_per_s;
        self.last_sent_at = now;
        self.next_regular_at = now + delay.min(MAX_DELAY);
        self.last_report = Some(report);
        Ok(item)
    }

    fn send_unchanged(&mut self, report: Report) -> io::Result<Bytes> {
        self.last_sent_at = Instant::now();
        self.last_report = Some(report);
        encode(None)
    }
}

fn encode(item: Option<wire::Report>) -> io::Result<Bytes> {
    codec::encode_item(&item).map_err(io::Error::other)
}
