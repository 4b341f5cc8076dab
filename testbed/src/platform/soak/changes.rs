//! Planned changes in series, which overlap with each other and with the faults: reloads, new
//! configurations and restarts of gateways. Once, all gateways end together without notice.

use {
    super::{Fault, millis, world::World},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{collections::VecDeque, time::Duration},
};

/// Offset of the seed, so that the draws of the other faults stay the same for a seed.
const SEED_OFFSET: u64 = 4 << 32;

/// Range of the pause between two series, in milliseconds.
const SERIES_PAUSE_MS: std::ops::Range<u64> = 400..2_000;

/// Range of the pause between two changes of a series, in milliseconds.
const CHANGE_PAUSE_MS: std::ops::Range<u64> = 20..300;

/// Changes in a series.
const SERIES_LENGTH: std::ops::Range<usize> = 2..7;

/// Latency targets of new configurations, in milliseconds.
const TARGET_MS: std::ops::Range<u64> = 300..500;

/// Offset of the seed of the idle timeouts.
const IDLE_SEED_OFFSET: u64 = 8 << 32;

/// Range of the pause between two idle timeouts, in milliseconds: some follow each other before they hold
/// everywhere.
const IDLE_PAUSE_MS: std::ops::Range<u64> = 100..1_500;

/// Idle timeouts, in milliseconds. Callers of the soak leave no connection idle for as long.
const IDLE_MS: std::ops::Range<u64> = 400..3_000;

#[derive(Clone, Copy, Debug)]
enum Change {
    Reload(usize),
    End(usize),
    Configure { target_ms: u64 },
    IdleTimeout { ms: u64 },
    KillAll,
}

/// The changes of one soak, drawn from a seed.
pub(super) struct Changes {
    due: VecDeque<(Duration, Change)>,
}

impl Changes {
    pub(super) fn draw(seed: u64, length: Duration, gateways: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed + SEED_OFFSET);
        let mut due = vec![(
            length.mul_f64(random.random_range(0.3..0.8)),
            Change::KillAll,
        )];
        let mut at = millis(&mut random, SERIES_PAUSE_MS);
        while at < length {
            for _ in 0..random.random_range(SERIES_LENGTH) {
                let gateway = random.random_range(0..gateways);
                let change = match random.random_range(0..4) {
                    0 | 1 => Change::Reload(gateway),
                    2 => Change::End(gateway),
                    _ => Change::Configure {
                        target_ms: random.random_range(TARGET_MS),
                    },
                };
                due.push((at, change));
                at += millis(&mut random, CHANGE_PAUSE_MS);
            }
            at += millis(&mut random, SERIES_PAUSE_MS);
        }
        let mut random = StdRng::seed_from_u64(seed + IDLE_SEED_OFFSET);
        let mut at = millis(&mut random, IDLE_PAUSE_MS);
        while at < length {
            let ms = random.random_range(IDLE_MS);
            due.push((at, Change::IdleTimeout { ms }));
            at += millis(&mut random, IDLE_PAUSE_MS);
        }
        due.sort_by_key(|(at, _)| *at);
        Self { due: due.into() }
    }

    /// Makes the next change if it is due `elapsed` after the start of the soak, and describes it if
    /// it could be made.
    pub(super) fn step(
        &mut self,
        world: &mut World,
        elapsed: Duration,
    ) -> Result<Option<String>, Fault> {
        let Some((_, change)) = self.due.pop_front_if(|(at, _)| *at <= elapsed) else {
            return Ok(None);
        };
        let is_made = match change {
            Change::Reload(gateway) => world.reload(gateway)?,
            Change::End(gateway) => world.terminate(gateway)?,
            Change::Configure { target_ms } => {
                world.configure("/routes/1/target_latency_ms", target_ms)
            }
            Change::IdleTimeout { ms } => world.configure("/limits/idle_timeout_ms", ms),
            Change::KillAll => world.kill_all_gateways()?,
        };
        Ok(is_made.then(|| format!("{change:?}")))
    }
}
