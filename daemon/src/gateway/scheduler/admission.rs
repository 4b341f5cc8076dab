//! Admission control in the scheduler's state.

use {
    super::{
        PlacementRequest,
        state::{State, demand},
    },
    std::{collections::HashMap, time::Duration},
    tamarackdale_core::{
        admission::{Admission, Precedence},
        time::Timestamp,
    },
};

impl State {
    /// Enables or disables admission control. The state is dropped when it is disabled.
    pub(super) fn set_admission_control(&mut self, is_enabled: bool) {
        match (is_enabled, &self.admissions) {
            (true, None) => self.admissions = Some(HashMap::new()),
            (false, Some(_)) => self.admissions = None,
            _ => return,
        }
        log::info!(is_enabled; "admission control changed");
    }

    /// Admission control of a service, if it is enabled.
    pub(super) fn admission(&mut self, service: &str) -> Option<&mut Admission> {
        let admissions = self.admissions.as_mut()?;
        if !admissions.contains_key(service) {
            admissions.insert(service.to_owned(), Admission::new());
        }
        admissions.get_mut(service)
    }

    /// Records a request that asks for a slot.
    pub(super) fn record_arrival(&mut self, request: &PlacementRequest, now: Timestamp) {
        let (subject, is_retry) = (request.subject, request.is_retry);
        if let Some(admission) = self.admission(&request.service) {
            admission.record_arrival(subject, is_retry, now);
        }
    }

    /// Predicted time for which the request occupies a slot.
    pub(super) fn predicted_slot_time(
        &self,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> Duration {
        let demand = demand(request, None, &self.data_centre, self.layout, now);
        let predicted = self.fleet.min_slot_time(&demand, now);
        predicted.unwrap_or_default()
    }

    /// Numbers of the waiting requests in the order in which they are served.
    pub(super) fn waiting_order(&self, now: Timestamp) -> Vec<u64> {
        let Some(admissions) = &self.admissions else {
            return self.queue.order(now);
        };
        self.queue.order_by(now, |waiter| {
            let admission = admissions.get(&waiter.request.service);
            admission.map_or(Precedence::default(), |admission| {
                admission.precedence(waiter.request.subject, waiter.slot_time, now)
            })
        })
    }
}
