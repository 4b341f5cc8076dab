//! Follows the reports of one sidecar.

use {
    super::gone,
    crate::{
        http::client,
        router::placement::{Placement, command::Sighting},
    },
    http_body_util::{BodyExt as _, Full},
    hyper::{Request, body::Incoming},
    std::time::Duration,
    tamarackdale_core::{id::Boot, report::Report},
    tamarackdale_store::list::Member,
    tamarackdale_wire::{self as wire, codec::Splitter, path},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Silence after which the connection is taken for dead; several report intervals.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Pause before a new connection.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(250);

/// What is asked of the sidecar.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// This router.
    pub router: Boot,
    /// Bytes per second that are to spare for this sidecar's reports.
    pub bytes_per_s: u32,
}

impl Order {
    /// Whether this order may stand where `other` is due.
    pub fn is_near(self, other: Self) -> bool {
        self.bytes_per_s <= other.bytes_per_s + other.bytes_per_s / 4
            && self.bytes_per_s >= other.bytes_per_s / 2
    }
}

/// Follows the reports for ever, over as many connections as it takes. `trying` is dropped at the
/// first report or the first failure.
pub async fn run(
    member: Member,
    order: Order,
    placement: Placement,
    mut trying: Option<mpsc::Sender<()>>,
) {
    loop {
        if let Some(body) = connect(&member, order).await {
            follow(&member, body, &placement, &mut trying).await;
        }
        trying = None;
        log::info!(instance = member.instance.as_str(); "no reports from the sidecar");
        // Without reports the sidecar is not chosen; the next report brings it back.
        placement.sight(gone(&member));
        sleep(RECONNECT_BACKOFF).await;
    }
}

async fn connect(member: &Member, order: Order) -> Option<Incoming> {
    let url = format!(
        "http://{}{}?router={}&bytes_per_s={}",
        member.address,
        path::REPORTS,
        order.router.0,
        order.bytes_per_s
    );
    let request = Request::get(url).body(Full::default()).ok()?;
    let response = timeout(SILENCE_LIMIT, client::unpooled().request(request))
        .await
        .ok()?
        .ok()?;
    response.status().is_success().then(|| response.into_body())
}

async fn follow(
    member: &Member,
    mut body: Incoming,
    placement: &Placement,
    trying: &mut Option<mpsc::Sender<()>>,
) {
    let mut splitter = Splitter::new();
    let mut last = None;
    while let Ok(Some(Ok(frame))) = timeout(SILENCE_LIMIT, body.frame()).await {
        if let Some(bytes) = frame.data_ref() {
            splitter.push(bytes);
        }
        loop {
            match splitter.next_item::<Option<wire::Report>>() {
                Ok(Some(item)) => {
                    last = item.or(last);
                    if let Some(report) = &last {
                        sight(member, report.clone(), placement);
                    }
                    *trying = None;
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!(instance = member.instance.as_str(); "broken reports: {error}");
                    return;
                }
            }
        }
    }
}

fn sight(member: &Member, report: wire::Report, placement: &Placement) {
    match Report::try_from(report) {
        Ok(report) => placement.sight(Sighting::Report {
            report,
            address: member.address,
        }),
        Err(error) => {
            log::warn!(instance = member.instance.as_str(); "unusable report: {error}");
        }
    }
}
