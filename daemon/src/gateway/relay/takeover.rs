//! Finds a backend server that may take over a stream from one that has fallen silent.

use {
    super::{
        Job,
        exchange::{self, Connected},
    },
    crate::gateway::{
        scheduler::{PlacementRequest, Retry},
        starts,
    },
    derive_more::Display,
    std::time::Duration,
    tamarackdale_core::fleet::Member,
    tokio::time::sleep,
};

/// Pause after a search in which no backend server was found. New slots and retries come with the
/// requests of others, within tens of milliseconds under load.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);

/// Why no backend server takes the stream over at the moment.
#[derive(Debug, Display)]
enum Obstacle {
    #[display("the configuration is not confirmed to be current")]
    NotProved,
    #[display("requests like it crash backend servers")]
    Quarantined,
    #[display("the retry budget is used up")]
    NoRetry,
    #[display("it cannot be placed: {_0:?}")]
    NotPlaced(crate::gateway::scheduler::PlacementError),
    #[display("it would not end there before the shutdown does")]
    Leaving,
    #[display("the limit of the backend server allows no start")]
    NoStart,
    #[display("the other backend server cannot be reached")]
    NotConnected,
}

/// Connects to another backend server than `silent` that has a slot for the request, within the retry
/// budget. Never returns if there is none.
pub async fn find(job: &Job, silent: &Member) -> Connected {
    let mut is_logged = false;
    loop {
        let obstacle = match try_find(job, silent).await {
            Ok(connected) => return connected,
            Err(obstacle) => obstacle,
        };
        if !is_logged {
            log::info!(
                request = job.request.head.id.as_str(),
                backend_server = silent.id.as_str();
                "stream stays at a silent backend server: {obstacle}"
            );
            is_logged = true;
        }
        sleep(SEARCH_PAUSE).await;
    }
}

async fn try_find(job: &Job, silent: &Member) -> Result<Connected, Obstacle> {
    if !job.is_key_proved() {
        return Err(Obstacle::NotProved);
    }
    if job.quarantine().is_some() {
        return Err(Obstacle::Quarantined);
    }
    let scheduler = &job.context.scheduler;
    let retry = Retry::take(scheduler, &job.service).ok_or(Obstacle::NoRetry)?;
    let now = job.context.clock.now();
    let mut placement = PlacementRequest {
        waiting_since: now,
        is_optional: true,
        ..job.placement_request()
    };
    placement.excluded.push(silent.id.clone());
    let is_returning = placement.is_retry;
    let choice = scheduler
        .place(placement)
        .await
        .map_err(Obstacle::NotPlaced)?;
    job.log_placement(&choice, now, is_returning);
    if !job.ends_before_shutdown(&choice) {
        return Err(Obstacle::Leaving);
    }
    let load = choice.request_load(job.prompt_tokens());
    let request = job.request.head.id.as_str();
    if !starts::obtain(&job.context, &choice.member, load, request).await {
        return Err(Obstacle::NoStart);
    }
    let connected = exchange::connect(job, &choice).await;
    let connected = connected.map_err(|_| Obstacle::NotConnected)?;
    retry.spend();
    Ok(connected)
}
