//! Times at which refused callers return: they are spread over the time in which slots are predicted
//! to be free.

use {
    super::window::Window,
    crate::{tier::Rank, time::Timestamp, wait_policy},
    std::{collections::BTreeMap, time::Duration},
};

/// Period from which the rate of new requests is determined. It covers a burst and the time until
/// those who were refused in it return.
const RATE_WINDOW: Duration = Duration::from_secs(8);

/// Shortest period from which a rate is determined after a start.
const MIN_RATE_PERIOD: Duration = Duration::from_secs(2);

/// Unit of time in which promises are counted.
const STEP: Duration = Duration::from_millis(250);

/// When a refused caller should return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Return {
    /// Time until then.
    pub delay: Duration,
    /// Whether a slot is predicted to be free then, which is counted as promised.
    pub is_promised: bool,
}

/// New requests and promises of a service at one router, by rank.
#[derive(Debug)]
pub struct Returns {
    /// Sum and number of observations of the slots that this router uses.
    slots: (Window, Window),
    /// Slot time of new requests in seconds.
    arrivals: BTreeMap<Rank, Window>,
    first_arrival: Option<Timestamp>,
    /// Slot time in seconds that was promised, by step.
    assigned: BTreeMap<u64, BTreeMap<Rank, f64>>,
}

impl Default for Returns {
    fn default() -> Self {
        Self {
            slots: (Window::new(RATE_WINDOW), Window::new(RATE_WINDOW)),
            arrivals: BTreeMap::new(),
            first_arrival: None,
            assigned: BTreeMap::new(),
        }
    }
}

impl Returns {
    /// Records the number of slots that this router may use, its part of those of the service.
    /// Called at regular intervals.
    pub fn observe_slots(&mut self, slots: f64, now: Timestamp) {
        self.slots.0.add(slots, now);
        self.slots.1.add(1.0, now);
    }

    /// Records a new request with the predicted slot time.
    pub fn record_arrival(&mut self, rank: Rank, slot_time: Duration, now: Timestamp) {
        self.first_arrival.get_or_insert(now);
        let window = self.arrivals.entry(rank);
        window
            .or_insert_with(|| Window::new(RATE_WINDOW))
            .add(slot_time.as_secs_f64(), now);
    }

    /// Determines when a refused caller returns that has `time_left`, while this router uses `slots`
    /// slots. Promises it the slot time in the step with the most room, if there is enough in one.
    /// `random`, from 0 up to but not including 1, spreads the returns within the step.
    pub fn assign(
        &mut self,
        rank: Rank,
        slot_time: Duration,
        time_left: Duration,
        random: f64,
        now: Timestamp,
    ) -> Return {
        self.assigned.retain(|step, _| *step >= step_of(now));
        let (earliest, latest) = wait_policy::retry_range(time_left);
        let slots = self.slots.0.sum(now) / self.slots.1.sum(now).max(1.0);
        let free_s = (slots - self.arrival_rate(rank, now)) * STEP.as_secs_f64();
        let drawn = Return {
            delay: wait_policy::retry_after(time_left, random),
            is_promised: false,
        };
        if free_s <= 0.0 {
            return drawn;
        }
        let steps = step_of(now.plus(earliest))..=step_of(now.plus(latest));
        let rooms = steps.map(|step| (step, free_s - self.assigned_s(step, rank)));
        let most = rooms.max_by(|(_, one), (_, other)| one.total_cmp(other));
        let Some((step, room_s)) = most else {
            return drawn;
        };
        let assigned = self.assigned.entry(step).or_default();
        *assigned.entry(rank).or_default() += slot_time.as_secs_f64();
        let begin = Timestamp::from_micros(step * STEP.as_micros() as u64);
        let delay = begin.plus(STEP.mul_f64(random)).since(now);
        Return {
            delay: delay.clamp(earliest, latest),
            is_promised: room_s >= slot_time.as_secs_f64(),
        }
    }

    /// Slot time per second of new requests that are at least as urgent.
    fn arrival_rate(&self, rank: Rank, now: Timestamp) -> f64 {
        let known = self
            .first_arrival
            .map_or(Duration::ZERO, |first| now.since(first));
        let period = known.clamp(MIN_RATE_PERIOD, RATE_WINDOW);
        let arrivals = self.arrivals.range(..=rank);
        let slot_s: f64 = arrivals.map(|(_, window)| window.sum(now)).sum();
        slot_s / period.as_secs_f64()
    }

    /// Slot time promised in a step to callers that are at least as urgent.
    fn assigned_s(&self, step: u64, rank: Rank) -> f64 {
        let assigned = self.assigned.get(&step);
        assigned.map_or(0.0, |assigned| {
            assigned.range(..=rank).map(|(_, slot_s)| slot_s).sum()
        })
    }
}

fn step_of(time: Timestamp) -> u64 {
    time.as_micros() / STEP.as_micros() as u64
}
