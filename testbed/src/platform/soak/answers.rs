//! Servers whose answers break off at any byte, that do not take streams over, or that write something else
//! into a stream without a length.

use {
    super::{millis, world::World},
    crate::{
        platform::Behaviour,
        written::{Break, Framing, Written},
    },
    rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _},
    std::time::Duration,
};

/// Offset of the seed, so that the draws of the other faults stay the same for a seed.
const SEED_OFFSET: u64 = 6 << 32;

/// Range of the pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1_200;

/// Range of the length of a fault, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 100..600;

/// Range of the bytes before the break: the head, and a part of the body.
const BREAK_AT: std::ops::Range<usize> = 0..260;

/// Interim responses before an answer that breaks off.
const INTERIM: [Option<u16>; 4] = [None, None, Some(100), Some(103)];

/// What servers write into a stream.
const FOREIGN: [&str; 3] = [
    "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nerror",
    "{\"error\":\"the engine has failed\"}\n\n",
    "data: the engine has failed\n\n",
];

/// The answers of one soak, drawn from a seed.
pub(super) struct Answers {
    random: StdRng,
    next: Duration,
}

impl Answers {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed + SEED_OFFSET),
            next: Duration::ZERO,
        }
    }

    /// Brings about what is due `elapsed` after the start of the soak, and describes it.
    pub(super) fn step(&mut self, world: &mut World, elapsed: Duration) -> Option<String> {
        if elapsed < self.next {
            return None;
        }
        let random = &mut self.random;
        self.next = elapsed + millis(random, PAUSE_MS);
        let number = random.random_range(0..world.servers().len());
        let behaviour = match random.random_range(0..4) {
            0 => Behaviour::Interjects(FOREIGN.choose(random)?),
            1 => Behaviour::FailsToResume,
            _ => Behaviour::BreaksAt(draw_break(random)),
        };
        let length = millis(random, LENGTH_MS);
        world.spoil(number, behaviour, length)
    }
}

fn draw_break(random: &mut StdRng) -> Break {
    let framings = [Framing::Length, Framing::Chunked, Framing::Connection];
    let framing = framings.choose(random).copied();
    let framing = framing.unwrap_or(Framing::Length);
    let bytes = random.random_range(BREAK_AT);
    Break {
        answer: Written {
            framing,
            interim: INTERIM.choose(random).copied().flatten(),
        },
        bytes,
        // The end of the connection would be that of the answer.
        is_reset: framing == Framing::Connection || random.random_bool(0.5),
    }
}
