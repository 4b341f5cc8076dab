//! Checks that wait for the reader's next call to the store.

use {crate::time::Timestamp, std::time::Duration};

/// Time for which a question waits for others before an additional call is sent for it.
const GATHER_TIME: Duration = Duration::from_millis(80);

/// Time before the reader's next regular call at which the routers of its cell are told to ask.
const LEAD_TIME: Duration = Duration::from_millis(60);

/// Least time before a regular call at which a question still meets it.
const MIN_LEAD_TIME: Duration = Duration::from_millis(20);

/// Maximum number of questions that wait: twice one from each router of the largest fleet.
const MAX_WAITING: usize = 1_024;

/// Questions that wait for a call, and the time of the next one. Calls are sent one after the other.
///
/// A question is answered only by a call that was sent after it arrived: [`Self::take`] returns the
/// questions that the call that is sent next may answer, and later ones wait for the call after it.
#[derive(Debug)]
pub struct Checks<Q> {
    interval: Duration,
    next_regular: Timestamp,
    /// Arrival of the first question that waits.
    first_arrival: Option<Timestamp>,
    waiting: Vec<Q>,
}

impl<Q> Default for Checks<Q> {
    fn default() -> Self {
        Self {
            interval: Duration::ZERO,
            next_regular: Timestamp::START,
            first_arrival: None,
            waiting: Vec::new(),
        }
    }
}

impl<Q> Checks<Q> {
    /// Sets the interval between regular calls, which are sent also without questions.
    pub fn set_interval(&mut self, interval: Duration, now: Timestamp) {
        self.interval = interval;
        self.next_regular = self.next_regular.min(now.plus(interval));
    }

    /// Adds a question that arrived at `now`, or returns it if too many wait.
    pub fn push(&mut self, question: Q, now: Timestamp) -> Result<(), Q> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(question);
        }
        self.first_arrival.get_or_insert(now);
        self.waiting.push(question);
        Ok(())
    }

    /// When the next call is to be sent. No additional call is sent shortly before a regular one.
    pub fn due(&self) -> Timestamp {
        let additional = self.first_arrival.map(|first| first.plus(GATHER_TIME));
        let additional = additional.filter(|due| due.plus(LEAD_TIME) < self.next_regular);
        additional.unwrap_or(self.next_regular)
    }

    /// Returns the questions that a call answers which is sent after this, at `now`.
    pub fn take(&mut self, now: Timestamp) -> Vec<Q> {
        // Additional calls do not move the regular ones, so the routers that have been told the time of
        // the next one still meet it.
        if self.next_regular <= now {
            let next = self.next_regular.plus(self.interval);
            self.next_regular = match next > now {
                true => next,
                false => now.plus(self.interval),
            };
        }
        self.clear()
    }

    /// Returns the questions that wait, without a call for them.
    pub fn clear(&mut self) -> Vec<Q> {
        self.first_arrival = None;
        std::mem::take(&mut self.waiting)
    }

    /// Time after which a router that is answered at `now` asks again, shortly before the next regular
    /// call that it can still meet.
    pub fn time_to_next_question(&self, now: Timestamp) -> Duration {
        let left = self.next_regular.since(now);
        let left = match left < MIN_LEAD_TIME {
            true => left + self.interval,
            false => left,
        };
        left.saturating_sub(LEAD_TIME)
    }
}
