//! Stand-ins of the platform around real gateways: its store, servers and callers. They use the standard
//! library only and run as threads of the program that checks a rule.

pub mod caller;
pub mod engine;
pub mod gateway;
pub mod http;
pub mod json;
pub mod record;
pub mod server;
pub mod store;

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Locks a mutex whose holder may have panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sleeps until a moment, or not at all if it has passed.
pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Milliseconds as a duration.
pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
