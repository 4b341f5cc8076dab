//! How long a request may wait, and where.

use {crate::time::Timestamp, std::time::Duration};

/// Time for which less urgent ranks are not served after a rank was shed: some rounds of summaries
/// between routers.
pub const FLOOR_HOLD: Duration = Duration::from_millis(120);

/// Requests of the same or a more urgent rank that may wait at one router before another is
/// refused at once.
pub const MAX_WAITING: usize = 48;

/// Longest wait for a slot inside an engine, where its turn depends on nobody's rank: about the
/// time in which routers hear of a slot that has become free, so that none stays empty.
const ENGINE_WAIT: Duration = Duration::from_millis(80);

/// Part of the objective that may be used up before a first event: predictions are right within a
/// fifth.
const ON_TIME_PART: f64 = 0.8;

/// Chance that a router takes a slot that a peer has freed, while it and `peers` other routers have
/// requests waiting: on average one of them takes it.
pub fn claim_probability(peers: usize) -> f64 {
    1.0 / (1.0 + peers as f64)
}

/// Longest wait at the router; callers give up a stream that shows nothing for two seconds.
const LONGEST_WAIT: Duration = Duration::from_millis(800);

/// Part of the time left that a request may wait at the router, so that a refusal leaves time to
/// come back.
const WAIT_PART: f64 = 0.4;

/// Longest wait inside an engine for a request with this objective.
pub fn max_engine_wait(objective: Duration) -> Duration {
    ENGINE_WAIT.min(objective / 2)
}

/// Until when a request can wait at the router and still be on time, if its first event comes
/// `first` after it has got a slot.
pub fn on_time_until(accepted: Timestamp, objective: Duration, first: Duration) -> Timestamp {
    accepted.plus(objective.mul_f64(ON_TIME_PART).saturating_sub(first))
}

/// Until when a request may wait at the router at all.
pub fn wait_deadline(accepted: Timestamp, deadline: Timestamp) -> Timestamp {
    let time_left = deadline.since(accepted);
    accepted.plus(LONGEST_WAIT.min(time_left.mul_f64(WAIT_PART)))
}

/// Shortest part of the time that a caller has left after which it is asked to come back: an
/// overload takes longer to pass than a caller waited.
const SHORTEST_RETURN_PART: f64 = 0.15;

/// Longest part of the time that a caller has left after which it is asked to come back; callers
/// follow up to a third.
const LONGEST_RETURN_PART: f64 = 0.32;

/// Whether a caller that states so much time on a route with this timeout comes back after a
/// refusal: then it has waited for at least the shortest time that it is asked to. Callers may
/// state less than the whole timeout when they first ask.
pub fn is_retry(stated: Duration, timeout: Duration) -> bool {
    stated <= timeout.mul_f64(1.0 - SHORTEST_RETURN_PART)
}

/// When a refused caller should come back; `random`, from zero up to one, spreads the returns.
pub fn retry_after(time_left: Duration, random: f64) -> Duration {
    let part = SHORTEST_RETURN_PART + (LONGEST_RETURN_PART - SHORTEST_RETURN_PART) * random;
    time_left.mul_f64(part)
}
