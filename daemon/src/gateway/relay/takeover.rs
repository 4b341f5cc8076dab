//! Seeks a backend server that takes over a stream from one that has fallen silent.
//!
//! The silent one may be sound and go on, so it is given up only once another one has responded.

use {
    super::{
        Job,
        exchange::{Exchange, ExchangeError},
    },
    crate::gateway::{scheduler::PlacementRequest, starts},
    derive_more::Display,
    std::{future::pending, time::Duration},
    tamarackdale_core::{dispatch::SendFailure, fleet::Member},
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
    #[display("no slot is free")]
    NoSlot,
    #[display("the limit of the backend server allows no start")]
    NoStart,
    #[display("the retry budget is used up")]
    NoRetry,
    #[display("the other backend server did not take the request")]
    NotTaken,
}

/// Sends the request to other backend servers than `silent` until one responds with a stream. Never
/// returns if the request may not be sent again.
///
/// Dropping the future closes the connection to the other backend server.
pub async fn run(job: &mut Job, silent: &Member) -> Exchange {
    job.dispatch.begin_move();
    let mut is_logged = false;
    while job.dispatch.may_send_again() {
        let obstacle = match attempt(job, silent).await {
            Ok(exchange) => return exchange,
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
    pending().await
}

/// Sends the request to one other backend server, if there is one for it.
async fn attempt(job: &mut Job, silent: &Member) -> Result<Exchange, Obstacle> {
    if !job.is_key_proved() {
        return Err(Obstacle::NotProved);
    }
    if job.quarantine().is_some() {
        return Err(Obstacle::Quarantined);
    }
    let now = job.context.clock.now();
    let mut placement = PlacementRequest {
        waiting_since: now,
        is_optional: true,
        ..job.placement_request()
    };
    placement.excluded.push(silent.id.clone());
    let is_retry = placement.is_retry;
    let placed = job.context.scheduler.place(placement).await;
    let choice = placed.map_err(|_| Obstacle::NoSlot)?;
    job.log_placement(&choice, now, is_retry);
    let load = choice.request_load(job.prompt_tokens());
    let request = job.request.head.id.as_str();
    if !starts::obtain(&job.context, &choice.member, load, request).await {
        return Err(Obstacle::NoStart);
    }
    if !job.context.scheduler.take_retry(&job.service) {
        return Err(Obstacle::NoRetry);
    }
    let failure = match job.exchange(&choice).await {
        Ok(exchange) if exchange.is_stream() => return Ok(exchange),
        Ok(_) => SendFailure::Failed,
        // Its time is over, or the configuration was not confirmed in time.
        Err(ExchangeError::GivenUp(_)) => SendFailure::Lost,
        Err(ExchangeError::SendFailure(failure)) => failure,
        Err(ExchangeError::ConnectionBroken) => {
            job.may_resend_after_break(&choice.member).await;
            SendFailure::Lost
        }
    };
    job.dispatch.fail(failure);
    log::info!(
        request = job.request.head.id.as_str(),
        backend_server = choice.member.id.as_str(),
        setback:? = failure;
        "stream not taken over"
    );
    job.excluded.push(choice.member.id);
    Err(Obstacle::NotTaken)
}
