//! Ejection of failing backend servers: its log lines and its exchange with peers.

use {
    super::{Scheduler, State},
    std::collections::BTreeMap,
    tamarackdale_core::{
        fleet::{
            containment::{Event, EventKind, Report},
            health::Failure,
        },
        time::Timestamp,
    },
    tamarackdale_platform::{Feature, Settings},
};

impl Scheduler {
    /// Records a failure of a backend server.
    pub fn record_failure(&self, id: &str, failure: Failure) {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_ejected = state.fleet.record_failure(id, failure, now);
        let events = state.fleet.take_containment_events();
        let is_reported = state.fleet.containment().is_some();
        drop(state);
        if is_ejected {
            log::warn!(backend_server = id; "backend server ejected: {failure:?}");
        }
        log_events(&events);
        if is_reported {
            self.changed.notify_one();
        }
    }

    /// Records that a request, sent at `sent`, got no response in time.
    pub fn record_silence(&self, id: &str, sent: Timestamp) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.fleet.containment().is_none() {
            return;
        }
        state.fleet.record_silence(id, sent, now);
        let events = state.fleet.take_containment_events();
        drop(state);
        log_events(&events);
        self.changed.notify_one();
    }

    /// Whether failing backend servers are ejected by the decision of all gateways.
    pub fn has_containment(&self) -> bool {
        self.lock().fleet.containment().is_some()
    }

    /// Number of ejected backend servers by service, and of peers' reports that were ignored because
    /// they cannot be true.
    pub fn ejections(&self) -> (BTreeMap<String, u64>, u64) {
        let state = self.lock();
        let Some(containment) = state.fleet.containment() else {
            return (BTreeMap::new(), 0);
        };
        let ejected = containment.ejected().into_iter();
        let ejected = ejected.map(|(service, count)| (service.to_owned(), count));
        (ejected.collect(), containment.invalid_reports())
    }
}

impl State {
    /// Applies the settings to the ejection of failing backend servers.
    pub(super) fn update_containment(&mut self, settings: &Settings, now: Timestamp) {
        self.is_ejection_requested = settings.features.contains(Feature::Ejection);
        self.update_containment_of_layout(now);
    }

    /// Ejects only in a fleet of one cell. With 50 gateways in three cells the ejections took more capacity
    /// than the failures that they avoided: loads of other cells are known late.
    pub(super) fn update_containment_of_layout(&mut self, now: Timestamp) {
        let is_enabled = self.is_ejection_requested && self.layout.is_single_cell();
        self.fleet.set_containment(is_enabled, self.boot, now);
    }

    /// Merges the reports of a peer, which is connected.
    pub(super) fn merge_health(&mut self, peer: u64, reports: &[Report], now: Timestamp) {
        let Some(containment) = self.fleet.containment_mut() else {
            return;
        };
        containment.add_peer(peer);
        if reports.is_empty() {
            return;
        }
        let invalid = containment.invalid_reports();
        for report in reports {
            containment.merge(peer, report, now);
        }
        let is_invalid = containment.invalid_reports() > invalid;
        if is_invalid && self.peers_with_invalid_reports.insert(peer) {
            log::warn!(peer; "ignoring a peer's reports of failures whose counts are out of range");
        }
        self.log_containment_events();
    }

    pub(super) fn remove_health(&mut self, peer: u64) {
        self.peers_with_invalid_reports.remove(&peer);
        if let Some(containment) = self.fleet.containment_mut() {
            containment.remove_peer(peer);
        }
    }

    /// What peers are told of failures.
    pub(super) fn health_reports(&self, now: Timestamp) -> Vec<Report> {
        let containment = self.fleet.containment();
        containment.map_or_else(Vec::new, |containment| containment.reports(now))
    }

    pub(super) fn log_containment_events(&mut self) {
        log_events(&self.fleet.take_containment_events());
    }
}

fn log_events(events: &[Event]) {
    for event in events {
        let (backend_server, service) = (event.id.as_str(), event.service.as_str());
        match event.kind {
            EventKind::Ejected {
                failures,
                outcomes,
                gateways,
                length,
            } => log::warn!(
                backend_server,
                service,
                failures,
                outcomes,
                gateways,
                ejected_ms = length.as_millis() as u64;
                "backend server ejected"
            ),
            EventKind::OnTrial => log::info!(backend_server, service; "backend server on trial"),
            EventKind::Returned => log::info!(backend_server, service; "backend server returned"),
        }
    }
}
