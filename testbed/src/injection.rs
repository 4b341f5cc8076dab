//! Random faults in a running system, drawn from a seed.

mod disturbance;

pub use disturbance::{Disturbance, Kind};

use {
    crate::{deployment::Deployment, process},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{
        collections::BTreeMap,
        ops::Range,
        time::{Duration, Instant},
    },
};

/// Time from one fault to the next, in milliseconds.
const GAP_MS: Range<u64> = 300..2_500;

/// Time until a fault is repaired, in milliseconds.
const LENGTH_MS: Range<u64> = 200..4_000;

/// Most faults in force at once.
const MAX_CONCURRENT: usize = 3;

/// Draws faults, and repairs each after a while.
pub struct Injector {
    generator: StdRng,
    next: Instant,
    kinds: Vec<Kind>,
    active: Vec<(Instant, Disturbance)>,
    counts: BTreeMap<Kind, u64>,
}

impl Injector {
    /// An injector of all kinds of faults.
    pub fn new(seed: u64) -> Self {
        Self {
            generator: StdRng::seed_from_u64(seed),
            next: Instant::now(),
            kinds: Kind::ALL.to_vec(),
            active: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Draws only these kinds.
    pub fn with_kinds(mut self, kinds: &[Kind]) -> Self {
        self.kinds = kinds.to_vec();
        self
    }

    /// How often each kind was injected.
    pub fn counts(&self) -> &BTreeMap<Kind, u64> {
        &self.counts
    }

    /// Repairs and injects what is due; to be called often.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be signalled or started anew.
    pub async fn step(&mut self, deployment: &mut Deployment) -> Result<(), process::Fault> {
        let now = Instant::now();
        self.repair_due(deployment, now).await?;
        if now < self.next || self.active.len() >= MAX_CONCURRENT {
            return Ok(());
        }
        self.next = now + self.draw_millis(GAP_MS);
        let kind = self.kinds[self.generator.random_range(0..self.kinds.len())];
        let disturbance = Disturbance::draw(kind, deployment, &mut self.generator);
        let is_busy = |(_, other): &(Instant, Disturbance)| other.target() == disturbance.target();
        if self.active.iter().any(is_busy) {
            return Ok(());
        }
        disturbance.inject(deployment)?;
        *self.counts.entry(kind).or_default() += 1;
        let until = now + self.draw_millis(LENGTH_MS);
        self.active.push((until, disturbance));
        Ok(())
    }

    /// Repairs everything.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be signalled or started anew.
    pub async fn repair_all(&mut self, deployment: &mut Deployment) -> Result<(), process::Fault> {
        for (_, disturbance) in self.active.drain(..) {
            disturbance.repair(deployment).await?;
        }
        Ok(())
    }

    async fn repair_due(
        &mut self,
        deployment: &mut Deployment,
        now: Instant,
    ) -> Result<(), process::Fault> {
        let active = std::mem::take(&mut self.active);
        for (until, disturbance) in active {
            if until > now {
                self.active.push((until, disturbance));
            } else {
                disturbance.repair(deployment).await?;
            }
        }
        Ok(())
    }

    fn draw_millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.generator.random_range(range))
    }
}
