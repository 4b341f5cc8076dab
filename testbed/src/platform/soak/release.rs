//! A release in the middle of a soak: servers of another version come, and older ones leave.

use {
    super::{
        millis,
        world::{Presence, World},
    },
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{collections::VecDeque, time::Duration},
};

/// Offset of the seed, so that the draws of the other faults stay the same for a seed.
const SEED_OFFSET: u64 = 3 << 32;

/// Range of the pause between two servers that come or leave, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 50..800;

/// Time for which a server that leaves says so: `drain_ms` of the site.
const DRAIN: Duration = Duration::from_secs(2);

/// A release, drawn from a seed.
pub(super) struct Release {
    /// What happens to which server, and when.
    steps: VecDeque<(Duration, usize, Presence)>,
}

impl Release {
    pub(super) fn draw(seed: u64, length: Duration, world: &World) -> Self {
        let mut random = StdRng::seed_from_u64(seed + SEED_OFFSET);
        let mut steps = Vec::new();
        let mut at = length.mul_f64(random.random_range(0.1..0.35));
        for number in world.newer() {
            steps.push((at, number, Presence::Ready));
            at += millis(&mut random, PAUSE_MS);
        }
        at = at.max(length.mul_f64(random.random_range(0.4..0.7)));
        // Either all of the older servers leave or one of them stays.
        let staying = usize::from(random.random_bool(0.5));
        for number in world.older_engines().skip(staying) {
            let tells = random.random_bool(0.7);
            if tells {
                steps.push((at, number, Presence::Draining));
            }
            let drain = if tells { DRAIN } else { Duration::ZERO };
            steps.push((at + drain, number, Presence::Absent));
            at += millis(&mut random, PAUSE_MS);
        }
        steps.sort_by_key(|(at, ..)| *at);
        Self {
            steps: steps.into(),
        }
    }

    /// Performs the next step if it is due `elapsed` after the start of the soak, and describes it.
    pub(super) fn step(&mut self, world: &mut World, elapsed: Duration) -> Option<String> {
        let (_, number, presence) = self.steps.pop_front_if(|(at, ..)| *at <= elapsed)?;
        world.set_presence(number, presence);
        let id = world.servers()[number].id();
        Some(format!("{id} is {presence:?}"))
    }
}
