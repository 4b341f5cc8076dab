//! Drives rollouts: passes what the store has to the scheduler, and to the follower what the store is to be
//! asked and told.

use {
    super::context::Context,
    std::time::Duration,
    tamarackdale_core::{
        rollout::{Invalid, Observation},
        time::Timestamp,
    },
    tokio::{
        sync::mpsc,
        time::{Instant, sleep},
    },
};

/// Interval at which answers are judged and schedules are followed.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which metrics are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a start within which another gateway with a lower address may not have been heard yet.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// Drives rollouts. Never returns.
pub async fn run(context: &Context, mut observations: mpsc::Receiver<Observation>) {
    let mut measured = Instant::now();
    loop {
        let observation = tokio::select! {
            observation = observations.recv() => observation,
            () = sleep(UPDATE_INTERVAL) => None,
        };
        if !context.settings.borrow().rollout.is_enabled {
            sleep(UPDATE_INTERVAL).await;
        }
        if let Some(observation) = observation {
            let observation = with_known_service(context, observation);
            context.scheduler.observe_rollout(&observation);
        }
        context.scheduler.update_rollouts();
        let work = context.scheduler.rollout_work(is_lowest(context));
        context.store.rollout_work.send_if_modified(|known| {
            let is_new = *known != work;
            *known = work;
            is_new
        });
        if measured.elapsed() >= METRICS_INTERVAL {
            measured = Instant::now();
            update_metrics(context);
        }
    }
}

/// Whether this gateway has the lowest address of those that are reachable. Soon after a start that is not
/// known.
fn is_lowest(context: &Context) -> bool {
    let own = context.settings.borrow().peers;
    context.clock.now().since(Timestamp::START) >= SETTLING_TIME
        && context.store.gateways.borrow().is_some()
        && !context.shutdown.closing.is_cancelled()
        && context.known_peers().is_lowest_address(own)
}

/// An order for a service that is not configured cannot be carried out.
fn with_known_service(context: &Context, mut observation: Observation) -> Observation {
    let Some(snapshot) = context.snapshot() else {
        return observation;
    };
    if snapshot.value.service(&observation.service).is_some() {
        return observation;
    }
    if let Some(order) = &mut observation.order
        && let Ok(target) = &order.target
    {
        order.target = Err(Invalid {
            to: target.to.clone(),
            reason: "unknown service".to_owned(),
        });
    }
    observation
}

fn update_metrics(context: &Context) {
    let metrics = &context.metrics;
    for figures in context.scheduler.rollout_figures() {
        metrics.set_rollout(&figures);
    }
    let invalid = context.scheduler.invalid_rollout_reports();
    metrics.set_invalid_rollout_reports(invalid);
}
