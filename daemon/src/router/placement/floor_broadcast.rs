//! Decides when the shed floor is sent to all sidecars.

use {
    std::time::Duration,
    tamarackdale_core::{floor::Notice, tier::Rank, time::Timestamp},
};

/// Interval at which an active floor is sent again; shorter than the time for which a floor holds.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// The floor that was sent last, and when.
#[derive(Default)]
pub struct FloorBroadcast {
    last_sent: Option<(Rank, Timestamp)>,
}

impl FloorBroadcast {
    /// Whether to send the floor now, in which case it is recorded as sent. An active floor is sent
    /// if it is higher than the last one sent or the last one was sent too long ago.
    pub fn should_send(&mut self, notice: Notice, now: Timestamp) -> bool {
        if notice.rank == Rank::LAST {
            self.last_sent = None;
            return false;
        }
        let is_up_to_date = self.last_sent.is_some_and(|(rank, at)| {
            !notice.rank.is_more_urgent_than(rank) && now.since(at) < RENEWAL_INTERVAL
        });
        if !is_up_to_date {
            self.last_sent = Some((notice.rank, now));
        }
        !is_up_to_date
    }
}
