//! Direct calls of a router whose reader does not answer, and its return to the reader.

use {crate::time::Timestamp, rand::Rng, std::time::Duration};

/// Longest random delay of the first direct call, so that a cell that loses its reader does not call the
/// store at the same moment.
pub const DIRECT_CALL_SPREAD: Duration = Duration::from_millis(200);

/// Time for which a router calls the store itself after its reader has not answered.
const DIRECT_TIME: Duration = Duration::from_secs(5);

/// Longest random addition to [`DIRECT_TIME`], so that a cell does not return at the same moment.
const RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Whether a router calls the store itself because its reader did not answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fallback {
    direct_until: Option<Timestamp>,
}

impl Fallback {
    /// Whether the router calls the store itself at `now`.
    pub fn is_direct(&self, now: Timestamp) -> bool {
        self.direct_until.is_some_and(|until| now < until)
    }

    /// Records that the reader did not answer a question. Returns whether the router has called the
    /// reader until now.
    pub fn record_failure(&mut self, now: Timestamp, random: &mut impl Rng) -> bool {
        let is_first = !self.is_direct(now);
        if is_first {
            let addition = random.random_range(Duration::ZERO..=RETURN_SPREAD);
            self.direct_until = Some(now.plus(DIRECT_TIME + addition));
        }
        is_first
    }

    /// Random delay of the first direct call after a failure.
    pub fn call_delay(random: &mut impl Rng) -> Duration {
        random.random_range(Duration::ZERO..=DIRECT_CALL_SPREAD)
    }
}
