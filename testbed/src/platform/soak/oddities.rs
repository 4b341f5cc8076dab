//! Servers that fall silent and go on, that write an earlier refusal once more, and registrations that
//! no server wrote.

use {
    super::{
        millis,
        world::{Presence, World},
    },
    crate::platform::{Behaviour, Repeat, RepeatPoint},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _},
    std::time::Duration,
};

/// Offset of the seed, so that the draws of the other faults stay the same for a seed.
const SEED_OFFSET: u64 = 5 << 32;

/// Range of the pause between two oddities, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..700;

/// Range of a silence, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 600..1_500;

/// Range of the time for which a server refuses requests, and then that for which it repeats a refusal,
/// in milliseconds.
const REFUSAL_MS: std::ops::Range<u64> = 200..900;

/// Levels of an entry that is nested very deeply.
const NESTING: usize = 20_000;

/// Most odd entries at once.
const MOST_ENTRIES: usize = 4;

/// The oddities of one soak, drawn from a seed.
pub(super) struct Oddities {
    random: StdRng,
    next: Duration,
    /// Servers that are to repeat a refusal once they have refused requests.
    repeats: Vec<(Duration, usize, Repeat)>,
    entries: Vec<String>,
    count: usize,
}

impl Oddities {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed + SEED_OFFSET),
            next: Duration::ZERO,
            repeats: Vec::new(),
            entries: Vec::new(),
            count: 0,
        }
    }

    /// Brings about what is due `elapsed` after the start of the soak, and describes it.
    pub(super) fn step(&mut self, world: &mut World, elapsed: Duration) -> Option<String> {
        let is_due = |(at, ..): &mut (Duration, usize, Repeat)| *at <= elapsed;
        if let Some((_, number, repeat)) = self.repeats.extract_if(.., is_due).next() {
            let length = millis(&mut self.random, REFUSAL_MS);
            return world.spoil(number, Behaviour::RepeatsRefusal(repeat), length);
        }
        if elapsed < self.next {
            return None;
        }
        self.next = elapsed + millis(&mut self.random, PAUSE_MS);
        let number = self.random.random_range(0..world.servers().len());
        match self.random.random_range(0..6) {
            0..3 => self.silence(world, number),
            3 => self.refuse(world, number, elapsed),
            _ => Some(self.write_entry(world)),
        }
    }

    fn silence(&mut self, world: &World, number: usize) -> Option<String> {
        let length = millis(&mut self.random, SILENCE_MS);
        let server = &world.servers()[number];
        if world.presence(number) == Presence::Absent {
            return None;
        }
        server.fall_silent(length);
        Some(format!("{} is silent for {length:?}", server.id()))
    }

    fn refuse(&mut self, world: &mut World, number: usize, elapsed: Duration) -> Option<String> {
        let points = [
            RepeatPoint::AfterRefusal,
            RepeatPoint::WhileIdle,
            RepeatPoint::BeforeAnswer,
        ];
        let point = *points.choose(&mut self.random)?;
        let is_named = self.random.random_bool(0.5);
        let length = millis(&mut self.random, REFUSAL_MS);
        let refuses = world.spoil(number, Behaviour::Full, length)?;
        let repeat = Repeat { point, is_named };
        // The world ends the first behaviour a moment after its length.
        let at = elapsed + length + super::TICK * 3;
        self.repeats.push((at, number, repeat));
        Some(refuses)
    }

    /// Writes one more odd entry, or removes all.
    fn write_entry(&mut self, world: &World) -> String {
        let store = &world.site().store;
        if self.entries.len() == MOST_ENTRIES {
            for key in self.entries.drain(..) {
                store.remove(&key);
            }
            return "odd entries removed".to_owned();
        }
        self.count += 1;
        let (name, value) = odd_entry(&mut self.random);
        let key = format!("servers/odd-{}", self.count);
        store.put(&key, &value);
        self.entries.push(key);
        format!("odd entry: {name}")
    }
}

/// An entry that names no server to use.
fn odd_entry(random: &mut StdRng) -> (&'static str, Vec<u8>) {
    let entry = |address: &str, slots: &str, rest: &str| {
        let text = format!(
            r#"{{"service":"engine","address":"{address}","zone":"a","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1{rest}}}"#
        );
        text.into_bytes()
    };
    let (open, close) = ("[".repeat(NESTING), "]".repeat(NESTING));
    match random.random_range(0..7) {
        0 => (
            "nested deeply",
            entry("127.0.0.1:1", "8", &format!(r#","more":{open}{close}"#)),
        ),
        1 => ("only brackets", open.into_bytes()),
        2 => ("too large", entry("127.0.0.1:1", "1e999", "")),
        3 => (
            "too many digits",
            entry("127.0.0.1:1", &"9".repeat(400), ""),
        ),
        4 => ("port out of range", entry("127.0.0.1:70000", "8", "")),
        5 => ("not JSON", b"\xff\xfe\x00 {not json".to_vec()),
        _ => ("another type", entry("127.0.0.1:1", r#"["8"]"#, "")),
    }
}
