//! Bounded retries, with exponential backoff and jitter, of calls to the key-value store.

use {rand::Rng as _, std::time::Duration, tamarackdale_store::kv};

/// Attempts per call, the first one included.
pub const MAX_ATTEMPTS: u32 = 5;

/// Longest delay before the first retry; it doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Sleeps before the retry that follows attempt number `attempt`, counted from 0.
///
/// The delay is drawn from the upper half of the backoff interval.
pub async fn back_off(attempt: u32) {
    let longest = INITIAL_BACKOFF * 2_u32.saturating_pow(attempt);
    let jitter = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(longest.mul_f64(jitter)).await;
}

/// Makes a read, retrying it while the store is unavailable or the response is lost; at most
/// [`MAX_ATTEMPTS`] attempts.
pub async fn read<T, F>(call: impl Fn() -> F) -> Result<T, kv::Error>
where
    F: Future<Output = Result<T, kv::Error>>,
{
    let mut attempt = 0;
    loop {
        match call().await {
            Err(kv::Error::Unavailable(_) | kv::Error::Unknown(_))
                if attempt + 1 < MAX_ATTEMPTS =>
            {
                back_off(attempt).await;
                attempt += 1;
            }
            result => return result,
        }
    }
}
