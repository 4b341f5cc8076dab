//! What failures of backend servers change in the choice of one: ejection by all routers, if it is enabled,
//! and the risk of a loss.

use {
    super::{
        Demand, Fleet, Health, Server,
        containment::{self, Containment, Outcome},
        health,
    },
    crate::time::Timestamp,
    std::time::Duration,
};

/// Probability that a request is lost at a backend server whose last one got no response.
const SUSPECT_RISK: f64 = 0.5;

/// Shortest time without a response that is a sign of a fault: callers may allow for less.
const MIN_SILENCE: Duration = Duration::from_secs(1);

impl Fleet {
    /// Begins or ends the ejection of failing backend servers. `boot` identifies this router.
    pub fn set_containment(&mut self, is_enabled: bool, boot: u64, now: Timestamp) {
        if is_enabled == self.containment.is_some() {
            return;
        }
        self.containment = is_enabled.then(|| {
            let servers = self.servers.iter();
            let members = servers.map(|(id, server)| (id.clone(), server.member.clone()));
            let mut containment = Containment::new(boot);
            containment.update_members(&members.collect(), now);
            containment
        });
    }

    /// The ejection of failing backend servers, if it is enabled.
    pub fn containment_mut(&mut self) -> Option<&mut Containment> {
        self.containment.as_mut()
    }

    /// The ejection of failing backend servers, if it is enabled.
    pub fn containment(&self) -> Option<&Containment> {
        self.containment.as_ref()
    }

    /// Records that a backend server has responded to this router: completely, or with a first event or
    /// the head of a response.
    pub fn record_response(&mut self, id: &str, is_complete: bool, now: Timestamp) {
        if let Some(containment) = &mut self.containment {
            let outcome = match is_complete {
                true => Outcome::Answered,
                false => Outcome::Begun,
            };
            containment.record(id, outcome, now);
        }
    }

    /// Changes by failures since the last call. A backend server that has returned begins without risk.
    pub fn take_containment_events(&mut self) -> Vec<containment::Event> {
        let Some(containment) = &mut self.containment else {
            return Vec::new();
        };
        let events = containment.take_events();
        for event in &events {
            if event.kind == containment::EventKind::Returned
                && let Some(server) = self.servers.get_mut(&event.id)
            {
                server.health = Health::new();
            }
        }
        events
    }

    /// Records that a request of this router, sent at `sent`, got no response in time. This is a failure
    /// of the backend server only if it has room and has responded to no other request meanwhile: an
    /// overloaded one is late, but responds. Without the ejection of failing servers it is no failure.
    pub fn record_silence(&mut self, id: &str, sent: Timestamp, now: Timestamp) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        if now.since(sent) < MIN_SILENCE {
            return;
        }
        let is_overloaded = server.load(now).requests > server.member.slots;
        let has_responded = self
            .containment
            .as_ref()
            .is_none_or(|containment| containment.has_responded(id, sent, now));
        if !is_overloaded && !has_responded {
            self.record_failure(id, health::Failure::Broken, now);
        }
    }

    /// Whether a backend server is ejected by the decision of this router alone or of all.
    pub(super) fn is_ejected(&self, server: &Server, now: Timestamp) -> bool {
        match &self.containment {
            Some(containment) => containment.is_ejected(&server.member.id, now),
            None => server.health.is_ejected(now),
        }
    }

    /// Probability that the next request to a backend server is lost.
    pub(super) fn risk(&self, server: &Server, now: Timestamp) -> f64 {
        let containment = self.containment.as_ref();
        let is_outdated =
            containment.is_some_and(|it| !it.has_recent_failure(&server.member.id, now));
        let is_suspect = containment.is_some_and(|it| it.is_suspect(&server.member.id, now));
        match (is_suspect, is_outdated) {
            (true, _) => server.health.risk().max(SUSPECT_RISK),
            (false, true) => 0.0,
            (false, false) => server.health.risk(),
        }
    }

    /// Whether a request may be sent to a backend server.
    pub(super) fn eligibility(
        &self,
        server: &Server,
        demand: &Demand,
        now: Timestamp,
    ) -> containment::Eligibility {
        let Some(containment) = &self.containment else {
            return containment::Eligibility::Free;
        };
        let reserved = server.reserved.iter().filter(|(_, end)| *end > now);
        let own_requests = server.own.requests + reserved.count() as u32;
        let all_requests = server.load(now).requests;
        let id = &server.member.id;
        containment.eligibility(id, own_requests, all_requests, demand.trial_use, now)
    }
}
