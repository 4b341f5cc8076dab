//! Waiting for a condition, with a bound.

use {
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// How often a condition is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until `condition` holds; whether it did within `limit`.
pub async fn until<F>(limit: Duration, mut condition: F) -> bool
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    true
}
