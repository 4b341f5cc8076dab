//! Open-loop arrivals, drawn from a seed.

use {
    super::{Class, Profile},
    crate::load::Shot,
    rand::{Rng as _, SeedableRng as _, distr::weighted::WeightedIndex, rngs::StdRng},
    rand_distr::{Distribution as _, Exp, LogNormal, Zipf},
    std::time::Duration,
};

/// Time between two bursts, and their length.
const BURST_PERIOD: Duration = Duration::from_secs(10);
const BURST_LENGTH: Duration = Duration::from_secs(1);

/// Rate within a burst, relative to the time between them.
const BURST_FACTOR: f64 = 2.0;

/// One request to be offered.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is offered, from the start.
    pub offset: Duration,
    /// Index of its class in the profile.
    pub class: usize,
    /// Index of its caller in the class.
    pub caller: usize,
    /// Bytes of its own part.
    pub own_bytes: usize,
    /// Number of its subject.
    pub subject: u32,
    /// Tokens of its answer.
    pub output_tokens: u32,
    /// Number that makes its own part differ from all others.
    pub number: u64,
}

/// Requests of one trial.
#[derive(Clone, Debug)]
pub struct Arrivals {
    /// The requests, in the order in which they are offered.
    pub arrivals: Vec<Arrival>,
}

impl Arrivals {
    /// Poisson arrivals with bursts, at a mean rate of `rate` requests per second for `length`.
    pub fn new(profile: &Profile, rate: f64, length: Duration, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let class_index = weighted(profile.classes.iter().map(|class| class.frequency));
        let mut arrivals = Vec::new();
        let mut offset = Duration::ZERO;
        loop {
            let gap = Exp::new(rate * burst_factor(offset)).expect("rates are positive");
            offset += Duration::from_secs_f64(gap.sample(&mut rng));
            if offset >= length {
                return Self { arrivals };
            }
            let class = class_index.sample(&mut rng);
            arrivals.push(draw(&profile.classes[class], class, offset, &mut rng));
        }
    }

    /// The same requests, and so many more of one caller that it offers `factor` times as much.
    pub fn with_flood(mut self, class: usize, caller: usize, factor: usize) -> Self {
        let is_flooding = |arrival: &&Arrival| arrival.class == class && arrival.caller == caller;
        let copies: Vec<Arrival> = self
            .arrivals
            .iter()
            .filter(is_flooding)
            .flat_map(|arrival| {
                (1..factor).map(|copy| Arrival {
                    number: arrival.number.wrapping_add(copy as u64),
                    ..arrival.clone()
                })
            })
            .collect();
        self.arrivals.extend(copies);
        self.arrivals.sort_by_key(|arrival| arrival.offset);
        self
    }
}

impl Arrival {
    /// The request itself. It has no key of its own.
    pub fn shot(&self, profile: &Profile) -> Shot {
        let class = &profile.classes[self.class];
        let (api_key, _) = class.callers[self.caller];
        let shared = filler(
            &format!("{} {}", class.tier, self.subject),
            class.shared_bytes,
        );
        let own = filler(&format!("{:016x}", self.number), self.own_bytes);
        let input = shared + &own;
        Shot::model(
            profile.service,
            api_key,
            profile.model,
            &input,
            self.output_tokens,
        )
        .with_tier(class.tier)
    }
}

fn draw(class: &Class, index: usize, offset: Duration, rng: &mut StdRng) -> Arrival {
    let subjects = Zipf::new(f64::from(class.subjects), 1.0).expect("there are subjects");
    Arrival {
        offset,
        class: index,
        caller: weighted(class.callers.iter().map(|(_, part)| *part)).sample(rng),
        own_bytes: size(class.median_bytes, class.max_bytes, rng) as usize,
        subject: subjects.sample(rng) as u32,
        output_tokens: size(class.median_output, class.max_output, rng) as u32,
        number: rng.random(),
    }
}

fn size(median: f64, max: f64, rng: &mut StdRng) -> f64 {
    let sizes = LogNormal::new(median.ln(), Class::SPREAD).expect("the spread is positive");
    sizes.sample(rng).clamp(1.0, max)
}

fn weighted(weights: impl Iterator<Item = f64>) -> WeightedIndex<f64> {
    WeightedIndex::new(weights).expect("weights are positive")
}

/// Rate at a moment, relative to the mean.
fn burst_factor(offset: Duration) -> f64 {
    let burst_part = BURST_LENGTH.as_secs_f64() / BURST_PERIOD.as_secs_f64();
    let calm = 1.0 / (1.0 + (BURST_FACTOR - 1.0) * burst_part);
    let phase = offset.as_secs_f64() % BURST_PERIOD.as_secs_f64();
    let is_burst = phase >= (BURST_PERIOD - BURST_LENGTH).as_secs_f64();
    if is_burst { calm * BURST_FACTOR } else { calm }
}

fn filler(word: &str, bytes: usize) -> String {
    let mut text = format!("{word} ").repeat(bytes / (word.len() + 1) + 1);
    text.truncate(bytes);
    text
}
