//! The stream of load reports to one router.
//!
//! Urgent changes are sent at once. Other changes are rate-limited to the number of bytes per
//! second that the router asks for. While nothing changes, an empty item serves as a heartbeat and
//! confirms the last report.

use {
    bytes::Bytes,
    futures_util::{Stream, stream},
    gotham::{
        hyper::body::Frame,
        prelude::{StateData, StaticResponseExtender},
    },
    serde::Deserialize,
    std::{io, time::Duration},
    tamarackdale_core::{id::Boot, report::Report},
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

/// Query parameters of a router's request for reports.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub struct Query {
    /// Boot of the router.
    pub router: u64,
    /// Rate limit for this sidecar's reports, in bytes per second.
    pub bytes_per_s: u32,
}

struct ReportStream {
    reports: watch::Receiver<Report>,
    query: Query,
    /// Minimum time between two items.
    interval: Duration,
    last_report: Option<Report>,
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
    interval: Duration,
    drained: CancellationToken,
) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
    let now = Instant::now();
    let stream = ReportStream {
        reports,
        query,
        interval,
        last_report: None,
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
            let report = self.current_report();
            return self.send(report);
        };
        let heartbeat = self.last_sent_at + HEARTBEAT_INTERVAL;
        let mut earliest = self.last_sent_at + self.interval;
        loop {
            sleep_until(earliest).await;
            earliest = Instant::now() + self.interval;
            let report = self.current_report();
            let now = Instant::now();
            let wake = match report == last_report {
                true if now >= heartbeat => return self.send_unchanged(last_report),
                true => heartbeat,
                false if now >= self.next_regular_at || report.is_urgent_after(&last_report) => {
                    return self.send(report);
                }
                false => self.next_regular_at,
            };
            // Waits until `wake` or until the report changes; without a sender, only until `wake`.
            if let Ok(Err(_)) = timeout_at(wake, self.reports.changed()).await {
                sleep_until(wake).await;
            }
        }
    }

    fn current_report(&mut self) -> Report {
        let router = Boot(self.query.router);
        self.reports.borrow_and_update().for_router(router)
    }

    fn send(&mut self, report: Report) -> io::Result<Bytes> {
        let item = encode(Some(wire::Report::from(report.clone())))?;
        let bytes_per_s = self.query.bytes_per_s.max(1);
        let delay = Duration::from_secs(1) * item.len() as u32 / bytes_per_s;
        self.last_sent_at = Instant::now();
        self.next_regular_at = self.last_sent_at + delay.min(MAX_DELAY);
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
