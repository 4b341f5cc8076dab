//! The stream of reports to one router.
//!
//! Urgent changes go out at once. Others wait until the router's share of bytes allows the next
//! report, and a report that still holds is confirmed by an empty item.

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

/// Longest time that a change waits for its turn; less than a router's limit of silence.
const MAX_DELAY: Duration = Duration::from_millis(2_500);

/// What a router asks for.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub struct Query {
    /// Boot of the router.
    pub router: u64,
    /// Bytes per second that the router has to spare for this sidecar's reports.
    pub bytes_per_s: u32,
}

struct Feed {
    reports: watch::Receiver<Report>,
    query: Query,
    /// Shortest time between two items.
    interval: Duration,
    sent: Option<Report>,
    /// When the last item went out.
    last: Instant,
    /// When the next report that is not urgent may go out.
    due: Instant,
}

/// The items for a router: a report, or nothing where the last one still holds, at least
/// `interval` apart. Ends when `drained` is cancelled.
pub fn items(
    reports: watch::Receiver<Report>,
    query: Query,
    interval: Duration,
    drained: CancellationToken,
) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
    let now = Instant::now();
    let feed = Feed {
        reports,
        query,
        interval,
        sent: None,
        last: now,
        due: now,
    };
    stream::unfold((feed, drained), |(mut feed, drained)| async move {
        let item = tokio::select! {
            item = feed.next() => item,
            () = drained.cancelled() => return None,
        };
        Some((item.map(Frame::data), (feed, drained)))
    })
}

impl Feed {
    async fn next(&mut self) -> io::Result<Bytes> {
        let Some(sent) = self.sent.take() else {
            let report = self.newest();
            return self.send(report);
        };
        let heartbeat = self.last + HEARTBEAT_INTERVAL;
        let mut earliest = self.last + self.interval;
        loop {
            sleep_until(earliest).await;
            earliest = Instant::now() + self.interval;
            let report = self.newest();
            let now = Instant::now();
            let wake = match report == sent {
                true if now >= heartbeat => return self.confirm(sent),
                true => heartbeat,
                false if now >= self.due || report.is_urgent_after(&sent) => {
                    return self.send(report);
                }
                false => self.due,
            };
            // Ends at the moment or at a change; without a sender only the moment is left.
            if let Ok(Err(_)) = timeout_at(wake, self.reports.changed()).await {
                sleep_until(wake).await;
            }
        }
    }

    fn newest(&mut self) -> Report {
        let router = Boot(self.query.router);
        self.reports.borrow_and_update().for_router(router)
    }

    fn send(&mut self, report: Report) -> io::Result<Bytes> {
        let item = encode(Some(wire::Report::from(report.clone())))?;
        let share = self.query.bytes_per_s.max(1);
        let delay = Duration::from_secs(1) * item.len() as u32 / share;
        self.last = Instant::now();
        self.due = self.last + delay.min(MAX_DELAY);
        self.sent = Some(report);
        Ok(item)
    }

    fn confirm(&mut self, report: Report) -> io::Result<Bytes> {
        self.last = Instant::now();
        self.sent = Some(report);
        encode(None)
    }
}

fn encode(item: Option<wire::Report>) -> io::Result<Bytes> {
    codec::encode_item(&item).map_err(io::Error::other)
}
