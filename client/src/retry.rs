//! Bounded retries of calls to the key-value service.

use {rand::Rng as _, std::time::Duration, tamarackdale_store::kv};

/// Calls made before giving up.
pub const ATTEMPTS: u32 = 5;

/// Pause before the first repetition; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Pauses before the repetition that follows attempt number `attempt`, counted from 0.
pub async fn pause(attempt: u32) {
    let longest = FIRST_PAUSE * 2_u32.saturating_pow(attempt);
    let jitter = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(longest.mul_f64(jitter)).await;
}

/// Repeats a read until it is answered, at most [`ATTEMPTS`] times.
pub async fn read<T, F>(call: impl Fn() -> F) -> Result<T, kv::Error>
where
    F: Future<Output = Result<T, kv::Error>>,
{
    let mut attempt = 0;
    loop {
        match call().await {
            Err(kv::Error::Unavailable(_) | kv::Error::Unknown(_)) if attempt + 1 < ATTEMPTS => {
                pause(attempt).await;
                attempt += 1;
            }
            result => return result,
        }
    }
}
