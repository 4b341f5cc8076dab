//! OpenTelemetry metrics, exported in the Prometheus text format.

use {
    crate::{gateway::scheduler::RolloutFigures, http::memory},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram, MeterProvider as _},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
    std::time::Duration,
    tamarackdale_core::{document::MAX_TIERS, report::WaitingWork},
};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// Bucket bounds of the grant wait histogram, in seconds.
const GRANT_BOUNDS_S: &[f64] = &[
    0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// Metric instruments of a process.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    // Dropping the provider shuts the instruments down.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    moves: Counter<u64>,
    first_byte: Histogram<f64>,
    duration: Histogram<f64>,
    grant_wait: Histogram<f64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    wasted_prefill: Counter<u64>,
    running: Gauge<u64>,
    limit: Gauge<u64>,
    waiting: Gauge<u64>,
    quarantines: Gauge<u64>,
    limited_servers: Gauge<u64>,
    ejected_servers: Gauge<u64>,
    invalid_reports: Gauge<u64>,
    invalid_work_reports: Gauge<u64>,
    asked_back: Counter<u64>,
    streams: Counter<u64>,
    store_reads: Counter<u64>,
    rollout_share: Gauge<f64>,
    rollout_answers: Gauge<u64>,
    rollout_bad_answers: Gauge<u64>,
    invalid_rollout_reports: Gauge<u64>,
    memory_full: Counter<u64>,
    unreadable_summaries: Counter<u64>,
}

/// Labels of the metrics about requests.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Tier of the request.
    pub tier: &'a str,
}

impl Labels<'_> {
    fn attributes(&self) -> [KeyValue; 2] {
        [
            KeyValue::new("service", self.service.to_owned()),
            KeyValue::new("tier", self.tier.to_owned()),
        ]
    }

    fn attributes_with(&self, key: &'static str, value: String) -> [KeyValue; 3] {
        let [service, tier] = self.attributes();
        [service, tier, KeyValue::new(key, value)]
    }
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// Fails when the exporter cannot be registered.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("tamarackdale");
        let histogram = |name: &'static str, help: &'static str, bounds: &[f64]| {
            meter
                .f64_histogram(name)
                .with_description(help)
                .with_unit("s")
                .with_boundaries(bounds.to_vec())
                .build()
        };
        let latency = |name, help| histogram(name, help, LATENCY_BOUNDS_S);
        let count = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        let gauge = |name: &'static str, help: &'static str| {
            meter.u64_gauge(name).with_description(help).build()
        };
        Ok(Self {
            requests: count("tamarackdale_requests", "Requests by outcome"),
            refusals: count("tamarackdale_refusals", "Refused requests by reason"),
            moves: count(
                "tamarackdale_moves",
                "Offers that were moved to another sidecar",
            ),
            first_byte: latency("tamarackdale_first_byte", "Time to the head of the answer"),
            duration: latency("tamarackdale_duration", "Time to the end of the answer"),
            grant_wait: histogram(
                "tamarackdale_grant_wait",
                "Time from asking for a grant to dispatch, by whether the request needs a claim",
                GRANT_BOUNDS_S,
            ),
            first_token: latency(
                "tamarackdale_first_token",
                "Time from dispatch to first token",
            ),
            token_gap: latency("tamarackdale_token_gap", "Time between tokens"),
            wasted_prefill: count(
                "tamarackdale_wasted_prefill_tokens",
                "Prompt tokens of dispatched requests whose answer was not delivered",
            ),
            running: gauge("tamarackdale_running", "Requests at the backend server"),
            limit: gauge("tamarackdale_limit", "Requests that may run at once"),
            waiting: gauge("tamarackdale_waiting", "Waiting requests by rank"),
            quarantines: gauge(
                "tamarackdale_quarantines",
                "Requests and prompt parts that are refused because they crash backend servers",
            ),
            limited_servers: gauge(
                "tamarackdale_limited_servers",
                "Backend servers that have named a limit",
            ),
            ejected_servers: gauge(
                "tamarackdale_ejected_servers",
                "Backend servers that are ejected because of failures, by service",
            ),
            invalid_reports: gauge(
                "tamarackdale_invalid_health_reports",
                "Reports of failures from peers that were ignored because their counts are out of range",
            ),
            invalid_work_reports: gauge(
                "tamarackdale_invalid_work_reports",
                "Reports of work by peers that were ignored because a value was out of range",
            ),
            asked_back: count(
                "tamarackdale_asked_back",
                "Callers refused by overload or floor, by rank and whether a slot is predicted for their return",
            ),
            streams: count(
                "tamarackdale_streams",
                "Streams that callers may take up, by version, whether they were taken up and whether an event came",
            ),
            store_reads: count(
                "tamarackdale_store_reads",
                "Reads of the store for other gateways, by kind and whether they were answered",
            ),
            rollout_share: meter
                .f64_gauge("tamarackdale_rollout_share")
                .with_description("Share of the new version of a service during its rollout")
                .build(),
            rollout_answers: gauge(
                "tamarackdale_rollout_answers",
                "Answers of this gateway's requests during a rollout, by service and version",
            ),
            rollout_bad_answers: gauge(
                "tamarackdale_rollout_bad_answers",
                "Those of them that failed or were slow",
            ),
            invalid_rollout_reports: gauge(
                "tamarackdale_invalid_rollout_reports",
                "Reports of peers about rollouts that were ignored because they are out of range",
            ),
            memory_full: count(
                "tamarackdale_memory_full",
                "Connections closed and requests refused because the memory for callers was full, by cause",
            ),
            unreadable_summaries: count(
                "tamarackdale_unreadable_summaries",
                "Summaries of peers that could not be read, each of which ended its connection",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    /// Counts a request that has ended.
    pub fn count_request(&self, labels: Labels<'_>, outcome: &str, duration: Duration) {
        let attributes = labels.attributes_with("outcome", outcome.to_owned());
        self.requests.add(1, &attributes);
        self.duration.record(duration.as_secs_f64(), &attributes);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, labels: Labels<'_>, reason: String) {
        self.refusals
            .add(1, &labels.attributes_with("reason", reason));
    }

    /// Counts an offer that was moved to another sidecar.
    pub fn count_move(&self, labels: Labels<'_>, reason: String) {
        self.moves.add(1, &labels.attributes_with("reason", reason));
    }

    /// Records the time from acceptance to the head of the response.
    pub fn record_first_byte(&self, labels: Labels<'_>, elapsed: Duration) {
        self.first_byte
            .record(elapsed.as_secs_f64(), &labels.attributes());
    }

    /// Records the time from requesting a grant to the dispatch; `claimed` is whether the request
    /// needs a claim.
    pub fn record_grant_wait(&self, elapsed: Duration, claimed: bool) {
        let label = KeyValue::new("claimed", claimed);
        self.grant_wait.record(elapsed.as_secs_f64(), &[label]);
    }

    /// Records the time from dispatch to the first token.
    pub fn record_first_token(&self, elapsed: Duration) {
        self.first_token.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the time between two tokens.
    pub fn record_token_gap(&self, elapsed: Duration) {
        self.token_gap.record(elapsed.as_secs_f64(), &[]);
    }

    /// Sets the gauges of a sidecar's load; `waiting` has one element per rank.
    pub fn set_load(&self, running: u32, limit: u32, waiting: &[WaitingWork]) {
        self.running.record(running.into(), &[]);
        self.limit.record(limit.into(), &[]);
        for rank in 0..MAX_TIERS {
            let requests = waiting.get(rank).map_or(0, |work| work.requests);
            let label = KeyValue::new("rank", rank as i64);
            self.waiting.record(requests.into(), &[label]);
        }
    }

    /// Counts a stream that its caller may take up, or has. `has_begun` is whether it brought an event.
    pub fn count_stream(&self, service: &str, version: &str, is_take_up: bool, has_begun: bool) {
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("software_version", version.to_owned()),
            KeyValue::new("taken_up", is_take_up),
            KeyValue::new("begun", has_begun),
        ];
        self.streams.add(1, &attributes);
    }

    /// Returns a function that counts a connection that is closed, or a request that is refused, because the
    /// memory for callers is full.
    pub fn memory_counter(&self) -> impl Fn(memory::Cause) + Send + Sync + 'static {
        let counter = self.memory_full.clone();
        move |cause| counter.add(1, &[KeyValue::new("cause", cause.to_string())])
    }

    /// Counts a summary of a peer that could not be read.
    pub fn count_unreadable_summary(&self) {
        self.unreadable_summaries.add(1, &[]);
    }

    /// Sets the gauges of what a gateway protects backend servers from.
    pub fn set_protection(&self, quarantines: usize, limited_servers: usize) {
        self.quarantines.record(quarantines as u64, &[]);
        self.limited_servers.record(limited_servers as u64, &[]);
    }

    /// Counts a read of the store that another gateway asked for.
    pub fn count_store_read(&self, kind: &'static str, is_answered: bool) {
        let attributes = [
            KeyValue::new("kind", kind),
            KeyValue::new("answered", is_answered),
        ];
        self.store_reads.add(1, &attributes);
    }

    /// Sets the gauges of the ejection of failing backend servers.
    pub fn set_ejections<'a>(
        &self,
        ejected: impl IntoIterator<Item = (&'a String, &'a u64)>,
        invalid_reports: u64,
    ) {
        for (service, count) in ejected {
            let service = KeyValue::new("service", service.clone());
            self.ejected_servers.record(*count, &[service]);
        }
        self.invalid_reports.record(invalid_reports, &[]);
    }

    /// Sets the gauges of a rollout.
    pub fn set_rollout(&self, figures: &RolloutFigures) {
        let labels = |version: &str| {
            [
                KeyValue::new("service", figures.service.clone()),
                KeyValue::new("software_version", version.to_owned()),
            ]
        };
        self.rollout_share
            .record(figures.share, &labels(&figures.to));
        for (version, (_, answers, bad)) in ["", figures.to.as_str()].iter().zip(figures.totals) {
            self.rollout_answers
                .record(answers as u64, &labels(version));
            self.rollout_bad_answers
                .record(bad as u64, &labels(version));
        }
    }

    /// Sets the number of peers' reports about rollouts that were ignored.
    pub fn set_invalid_rollout_reports(&self, reports: u64) {
        if reports > 0 {
            self.invalid_rollout_reports.record(reports, &[]);
        }
    }

    /// Counts a caller that is refused and asked back.
    pub fn count_asked_back(&self, labels: Labels<'_>, is_promised: bool) {
        let attributes = labels.attributes_with("promised", is_promised.to_string());
        self.asked_back.add(1, &attributes);
    }

    /// Sets the number of peers' reports of work that were ignored.
    pub fn set_invalid_work_reports(&self, reports: u64) {
        self.invalid_work_reports.record(reports, &[]);
    }

    /// Counts prompt tokens of dispatched requests whose response was not delivered.
    pub fn count_wasted_prefill(&self, tokens: u32) {
        self.wasted_prefill.add(tokens.into(), &[]);
    }
}
