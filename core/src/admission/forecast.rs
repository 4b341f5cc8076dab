//! Forecast of who gets a slot in time: a request that would be refused after its whole wait is better
//! refused early, while its caller has most of its time left.

use {super::window::Window, crate::time::Timestamp, std::time::Duration};

/// Period from which it is determined how much slot time this router gets.
const WINDOW: Duration = Duration::from_secs(2);

/// Fewest requests that got a slot within the period from which a forecast is made.
const MIN_STARTS: f64 = 5.0;

/// Time for which requests must have waited without a break until some are refused early. After a
/// shorter burst, more is gained if callers are held, and those who are refused return later.
const SUSTAINED: Duration = Duration::from_secs(3);

/// Factor by which a predicted wait is over what a request has left when it is refused.
const MARGIN: f64 = 1.5;

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Its number in the queue.
    pub number: u64,
    /// Predicted time for which it occupies its slot.
    pub slot_time: Duration,
    /// Time for which it can still wait.
    pub wait_left: Duration,
}

/// The slot time of a service that one router gets.
#[derive(Debug)]
pub struct Forecast {
    /// Since when requests have waited at each check.
    waiting_since: Option<Timestamp>,
    started_s: Window,
    starts: Window,
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            waiting_since: None,
            started_s: Window::new(WINDOW),
            starts: Window::new(WINDOW),
        }
    }
}

impl Forecast {
    /// Records a request that got a slot, which it occupies for about `slot_time`.
    pub fn record_start(&mut self, slot_time: Duration, now: Timestamp) {
        self.started_s.add(slot_time.as_secs_f64(), now);
        self.starts.add(1.0, now);
    }

    /// Of the requests that wait, in the order in which they are served, those that do not get a slot
    /// within the time for which they can wait: so much slot time is needed by those before them. Later
    /// arrivals that overtake them are not considered. Called at regular intervals, also while none
    /// wait.
    pub fn hopeless(&mut self, waiting: &[Waiting], now: Timestamp) -> Vec<u64> {
        if waiting.is_empty() {
            self.waiting_since = None;
            return Vec::new();
        }
        let since = *self.waiting_since.get_or_insert(now);
        if now.since(since) < SUSTAINED || self.starts.sum(now) < MIN_STARTS {
            return Vec::new();
        }
        let per_second = self.started_s.sum(now) / WINDOW.as_secs_f64();
        let mut ahead_s = 0.0;
        let mut hopeless = Vec::new();
        for request in waiting {
            if ahead_s > request.wait_left.as_secs_f64() * MARGIN * per_second {
                hopeless.push(request.number);
            } else {
                ahead_s += request.slot_time.as_secs_f64();
            }
        }
        hopeless
    }
}
