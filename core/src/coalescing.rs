//! Coalesced reads of the store.
//!
//! In a fleet of several cells, one router of each cell, the reader, calls the store for the others
//! ([`checks`]), and passes on the changes that its own watch returns ([`changes`]). A router that gets
//! no answer from its reader calls the store itself for some time ([`fallback`]).

pub mod changes;
pub mod checks;
pub mod fallback;

use std::time::Duration;

/// Time within which a reader answers a question, in addition to the time that a watch waits.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for a router's own call to the store after its reader has not answered.
const CALL_RESERVE: Duration = Duration::from_millis(150);

/// Least interval between two checks, as a fraction of the time in which a change must take effect.
const MIN_INTERVAL_FRACTION: f64 = 0.3;

/// Interval between two checks of a router that asks a reader, and between the reader's own. `alone` is
/// the interval without a reader.
///
/// If the reader is lost just after a check, the next one still ends within `bound` after the first:
/// after the timeout, the random delay of the direct call, and the call itself.
pub fn check_interval(alone: Duration, bound: Duration) -> Duration {
    let loss = ANSWER_TIMEOUT + fallback::DIRECT_CALL_SPREAD + CALL_RESERVE;
    let interval = bound.saturating_sub(loss);
    interval
        .max(bound.mul_f64(MIN_INTERVAL_FRACTION))
        .min(alone)
}
