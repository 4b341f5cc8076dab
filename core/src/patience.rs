//! How long a request may wait, and where.

use {
    crate::{tier::Rank, time::Timestamp},
    std::time::Duration,
};

/// Time for which less urgent ranks are not served after a rank was shed: a few rounds of summaries
/// between routers.
pub const FLOOR_HOLD: Duration = Duration::from_millis(300);

/// Requests of the same or a more urgent rank that may wait at one router before another is
/// refused at once.
pub const MAX_LINE: usize = 24;

/// Part of the objective that a request may wait for a slot inside an engine, where its turn
/// depends on nobody's rank.
const ENGINE_PART: f64 = 0.4;

/// Part of the objective after which a request has waited for long enough at the router: what is
/// left must do for the prompt.
const LINE_PART: f64 = 0.5;

/// Longest wait inside an engine; each rank less urgent than the first gets half as much, so that
/// room that turns up goes to the more urgent.
pub fn engine_wait(rank: Rank, objective: Duration) -> Duration {
    let halvings = i32::from(rank.0.min(8));
    objective.mul_f64(ENGINE_PART * 0.5_f64.powi(halvings))
}

/// Until when a request may wait at the router.
pub fn line_end(accepted: Timestamp, objective: Duration, deadline: Timestamp) -> Timestamp {
    accepted.plus(objective.mul_f64(LINE_PART)).min(deadline)
}

/// Shortest time after which a refused caller is asked to come back: an overload takes longer to
/// pass.
const SHORTEST_RETURN: Duration = Duration::from_millis(500);

/// Longest time after which a refused caller is asked to come back.
const LONGEST_RETURN: Duration = Duration::from_secs(4);

/// Part of the time that a caller has left within which it is asked to come back.
const RETURN_PART: f64 = 0.3;

/// When a refused caller should come back; `random`, from zero up to one, spreads the returns.
pub fn retry_after(time_left: Duration, random: f64) -> Duration {
    let longest = time_left.mul_f64(RETURN_PART).min(LONGEST_RETURN);
    let shortest = SHORTEST_RETURN.min(longest);
    shortest + (longest - shortest).mul_f64(random)
}
