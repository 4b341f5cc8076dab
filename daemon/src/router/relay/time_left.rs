//! Time that is left for a request while the router shuts down.

use {crate::signal::Shutdown, std::time::Duration, tokio::time::sleep};

/// Whether a shutdown has begun and leaves less time than `needed`, or none.
pub fn is_less_than(shutdown: &Shutdown, needed: Duration) -> bool {
    shutdown
        .time_left()
        .is_some_and(|left| left.is_zero() || left < needed)
}

/// Waits until a shutdown leaves less time than `needed`.
pub async fn until_less_than(shutdown: &Shutdown, needed: Duration) {
    shutdown.closing.cancelled().await;
    let left = shutdown.time_left().unwrap_or_default();
    tokio::select! {
        () = sleep(left.saturating_sub(needed)) => {}
        () = shutdown.ending.cancelled() => {}
    }
}
