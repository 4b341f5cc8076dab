//! Restoration of the store from an older copy during a soak.

use {
    super::{World, millis},
    crate::store,
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::time::Duration,
};

/// Offset of the drill's seed, so that the draws of the other faults stay the same for a seed.
const SEED_OFFSET: u64 = 1 << 32;

/// Range of the copy's age, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 100..3_000;

/// Range of the time until the lost entries are written again, in milliseconds.
const REWRITE_MS: std::ops::Range<u64> = 0..1_800;

/// One restoration, at times drawn from a seed.
pub(super) struct Drill {
    copy_at: Duration,
    restore_at: Duration,
    rewrite_at: Duration,
    copy: Option<store::Copy>,
    state: State,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Copied,
    Restored,
    Over,
}

impl Drill {
    pub(super) fn draw(seed: u64, length: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed + SEED_OFFSET);
        let copy_at = length.mul_f64(random.random_range(0.1..0.6));
        let restore_at = copy_at + millis(&mut random, COPY_AGE_MS);
        Self {
            copy_at,
            restore_at,
            rewrite_at: restore_at + millis(&mut random, REWRITE_MS),
            copy: None,
            state: State::Waiting,
        }
    }

    /// Performs the steps that are due `elapsed` after the start of the soak. Describes the
    /// restoration when it happens.
    pub(super) fn step(&mut self, world: &World, elapsed: Duration) -> Option<String> {
        match self.state {
            State::Waiting if elapsed >= self.copy_at => {
                self.copy = Some(world.site().store.copy());
                self.state = State::Copied;
            }
            State::Copied if elapsed >= self.restore_at => {
                self.state = State::Restored;
                let copy = self.copy.take()?;
                world.site().store.restore(copy);
                let age = self.restore_at.saturating_sub(self.copy_at);
                return Some(format!("store restored from a copy {age:?} old"));
            }
            State::Restored if elapsed >= self.rewrite_at => {
                world.write_again();
                self.state = State::Over;
            }
            _ => {}
        }
        None
    }
}
