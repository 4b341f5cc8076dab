//! How long a request may wait at a router or inside an engine, and when a refused caller retries.

use {crate::time::Timestamp, std::time::Duration};

/// Hold time of the shed floor: less urgent ranks are not served for this long after a rank was
/// shed. It covers several rounds of summaries between routers.
pub const FLOOR_HOLD: Duration = Duration::from_millis(120);

/// Number of waiting requests of the same or a more urgent rank at one router from which a further
/// request is refused immediately.
pub const MAX_WAITING: usize = 48;

/// Longest wait for a slot inside an engine, where requests are not ordered by rank. It is about
/// the time in which routers learn of a freed slot, so that no slot stays empty meanwhile.
const MAX_ENGINE_WAIT: Duration = Duration::from_millis(80);

/// Fraction of the objective that may have passed at the predicted first event: predictions are
/// accurate to within 20%.
const ON_TIME_FRACTION: f64 = 0.8;

/// Probability with which a router claims a slot that a peer has freed, while it and `peers` other
/// routers have waiting requests. On average, one of them claims it.
pub fn claim_probability(peers: usize) -> f64 {
    1.0 / (1.0 + peers as f64)
}

/// Whether a request leaves the free slots to the more urgent requests that wait at
/// `more_urgent_peers` other routers. While there are more free slots than such routers, it does
/// not: each of them can take one, and one that is too slow to do so must not hold up all others.
pub fn yields_to_peers(free_slots: usize, more_urgent_peers: usize) -> bool {
    more_urgent_peers > 0 && free_slots <= more_urgent_peers
}

/// Longest wait at the router. Callers give up on a stream without events after two seconds.
const MAX_ROUTER_WAIT: Duration = Duration::from_millis(800);

/// Fraction of the remaining time for which a request may wait at the router, so that a refused
/// caller has time for a retry.
const MAX_WAIT_FRACTION: f64 = 0.4;

/// Longest wait inside an engine for a request with the given objective.
pub fn max_engine_wait(objective: Duration) -> Duration {
    MAX_ENGINE_WAIT.min(objective / 2)
}

/// Latest time at which a request can get a slot and still be on time, if its first event is
/// predicted `first` after that.
pub fn on_time_until(accepted: Timestamp, objective: Duration, first: Duration) -> Timestamp {
    accepted.plus(objective.mul_f64(ON_TIME_FRACTION).saturating_sub(first))
}

/// Time until which a request that waits since `waiting_since` may wait at the router.
pub fn wait_deadline(waiting_since: Timestamp, deadline: Timestamp) -> Timestamp {
    let time_left = deadline.since(waiting_since);
    waiting_since.plus(MAX_ROUTER_WAIT.min(time_left.mul_f64(MAX_WAIT_FRACTION)))
}

/// Smallest fraction of a caller's remaining time that is given as its retry delay: an overload
/// lasts longer than the caller has waited.
const MIN_RETRY_FRACTION: f64 = 0.15;

/// Largest fraction of a caller's remaining time that is given as its retry delay. Callers follow
/// delays of up to a third of that time.
const MAX_RETRY_FRACTION: f64 = 0.32;

/// Whether a request with the stated remaining time is a retry, given the time-out of its route: a
/// retry has waited for at least the smallest retry delay. The limit is not the whole time-out,
/// because callers may state less than that in a first request.
pub fn is_retry(stated: Duration, timeout: Duration) -> bool {
    stated <= timeout.mul_f64(1.0 - MIN_RETRY_FRACTION)
}

/// Smallest and largest retry delay of a caller with the stated remaining time.
pub fn retry_range(time_left: Duration) -> (Duration, Duration) {
    (
        time_left.mul_f64(MIN_RETRY_FRACTION),
        time_left.mul_f64(MAX_RETRY_FRACTION),
    )
}

/// Retry delay of a refused caller. `random`, from 0 up to but not including 1, spreads the retries
/// over time.
pub fn retry_after(time_left: Duration, random: f64) -> Duration {
    let fraction = MIN_RETRY_FRACTION + (MAX_RETRY_FRACTION - MIN_RETRY_FRACTION) * random;
    time_left.mul_f64(fraction)
}
