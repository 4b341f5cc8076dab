//! Reads the report stream of one sidecar.

use {
    super::gone_event,
    crate::{
        clock::Clock,
        http::client::HttpClient,
        router::placement::{Placement, command::SidecarEvent},
    },
    http_body_util::{BodyExt as _, Full},
    hyper::{Request, body::Incoming},
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{id::Boot, poison::Notice, report::Report},
    tamarackdale_store::list::Member,
    tamarackdale_wire::{self as wire, codec::Splitter, path},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Target of this module's log lines; part of the log format, so it does not follow the file name.
const LOG_TARGET: &str = "tamarackdaled::router::membership::follower";

/// Time without data after which the connection is considered dead; several report intervals.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before reconnecting to the sidecar.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(250);

/// Version of the notices of crashes that this process reads.
const POISON_VERSION: u8 = 1;

/// Parameters of a report stream.
#[derive(Clone, Copy, Debug)]
pub struct ReportRequest {
    /// Boot of this router.
    pub router: Boot,
    /// Bandwidth budget for this sidecar's reports, in bytes per second.
    pub bytes_per_s: u32,
}

impl ReportRequest {
    /// Whether a stream opened with these parameters can be kept when `other` is wanted: its budget
    /// is between half and five quarters of the wanted one.
    pub fn is_close_to(self, other: Self) -> bool {
        self.bytes_per_s <= other.bytes_per_s + other.bytes_per_s / 4
            && self.bytes_per_s >= other.bytes_per_s / 2
    }
}

/// Reads reports until cancelled, reconnecting when the stream ends. `first_attempt_guard` is
/// dropped at the first report or the first failure.
pub async fn run(
    member: Member,
    report_request: ReportRequest,
    clock: Clock,
    placement: Placement,
    mut first_attempt_guard: Option<mpsc::Sender<()>>,
) {
    loop {
        if let Some(body) = connect(&member, report_request).await {
            let reader = Reader {
                member: &member,
                clock,
                placement: &placement,
            };
            reader.read(body, &mut first_attempt_guard).await;
        }
        first_attempt_guard = None;
        log::info!(
            target: LOG_TARGET,
            instance = member.instance.as_str();
            "no report stream from the sidecar; reconnecting"
        );
        // Placement does not choose a sidecar without reports; the next report adds it again.
        placement.send_event(gone_event(&member));
        sleep(RECONNECT_BACKOFF).await;
    }
}

async fn connect(member: &Member, report_request: ReportRequest) -> Option<Incoming> {
    let url = format!(
        "http://{}{}?router={}&bytes_per_s={}&poison={POISON_VERSION}",
        member.address,
        path::REPORTS,
        report_request.router.0,
        report_request.bytes_per_s
    );
    let request = Request::get(url).body(Full::default()).ok()?;
    let response = timeout(IDLE_TIMEOUT, HttpClient::unpooled().request(request))
        .await
        .ok()?
        .ok()?;
    response.status().is_success().then(|| response.into_body())
}

/// Reads one stream of reports.
struct Reader<'a> {
    member: &'a Member,
    clock: Clock,
    placement: &'a Placement,
}

impl Reader<'_> {
    async fn read(&self, mut body: Incoming, first_attempt_guard: &mut Option<mpsc::Sender<()>>) {
        let mut splitter = Splitter::new();
        let mut last = None;
        while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, body.frame()).await {
            if let Some(bytes) = frame.data_ref() {
                splitter.push(bytes);
            }
            loop {
                match splitter.next_item::<Option<wire::Report>>() {
                    Ok(Some(item)) => {
                        last = item.or(last);
                        if let Some(report) = &mut last {
                            // The ages of notices hold only for the report that brought them.
                            let notices = report.take_notices(self.clock.now());
                            self.forward(report.clone(), notices);
                        }
                        *first_attempt_guard = None;
                    }
                    Ok(None) => break,
                    Err(error) => {
                        log::warn!(
                            target: LOG_TARGET,
                            instance = self.member.instance.as_str();
                            "failed to decode the report stream of the sidecar: {error}"
                        );
                        return;
                    }
                }
            }
        }
    }

    fn forward(&self, report: wire::Report, notices: Vec<Arc<Notice>>) {
        match Report::try_from(report) {
            Ok(report) => self.placement.send_event(SidecarEvent::Report {
                report: Box::new(Report { notices, ..report }),
                address: self.member.address,
                data_centre: self.member.data_centre.clone(),
            }),
            Err(error) => {
                log::warn!(
                    target: LOG_TARGET,
                    instance = self.member.instance.as_str();
                    "invalid report from the sidecar: {error}"
                );
            }
        }
    }
}
