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

/// Range of the time by which a gateway is cut off from the store before a step, in milliseconds.
const CUT_EARLY_MS: std::ops::Range<u64> = 0..100;

/// Range of the length of such a cut, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 100..1_500;

/// Time for which a server that leaves says so: `drain_ms` of the site.
const DRAIN: Duration = Duration::from_secs(2);

/// A release, drawn from a seed.
pub(super) struct Release {
    /// What happens to which server, and when.
    steps: VecDeque<(Duration, usize, Presence)>,
    /// Gateways that are cut off from the store meanwhile, when and for how long.
    cuts: VecDeque<(Duration, usize, Duration)>,
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
        let mut cuts = Vec::new();
        for (at, ..) in &steps {
            let early = millis(&mut random, CUT_EARLY_MS);
            let gateway = random.random_range(0..world.gateways().len());
            let length = millis(&mut random, CUT_MS);
            cuts.push((at.saturating_sub(early), gateway, length));
        }
        cuts.sort();
        Self {
            steps: steps.into(),
            cuts: cuts.into(),
        }
    }

    /// Performs the next step if it is due `elapsed` after the start of the soak, and describes it.
    pub(super) fn step(&mut self, world: &mut World, elapsed: Duration) -> Option<String> {
        if let Some((_, number, length)) = self.cuts.pop_front_if(|(at, ..)| *at <= elapsed) {
            return world.cut_off_from_store(number, length);
        }
        let (_, number, presence) = self.steps.pop_front_if(|(at, ..)| *at <= elapsed)?;
        world.set_presence(number, presence);
        let id = world.servers()[number].id();
        Some(format!("{id} is {presence:?}"))
    }
}
