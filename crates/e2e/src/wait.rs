//! Waiting for conditions.

use {
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Longest wait for a condition; generous, for the machine may be busy.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
const POLL_PAUSE: Duration = Duration::from_millis(25);

/// Waits until `look` gives a value; panics with `what` after [`WAIT_LIMIT`].
pub async fn wait_for<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "waited {WAIT_LIMIT:?} for {what}");
        sleep(POLL_PAUSE).await;
    }
}
