//! Time of a shutdown beside stalls of the process.

use {
    std::{process::Command, time::Duration},
    tamarackdaled::signal::Shutdown,
    tokio::time::{sleep, timeout},
    tokio_util::sync::CancellationToken,
};

/// Guards against requests that are ended at once because the process stalled some time before the signal.
#[tokio::test]
async fn stall_that_was_over_before_the_signal_takes_no_time_from_the_shutdown() {
    const LIMIT: Duration = Duration::from_secs(4);
    let shutdown = Shutdown::new();
    let watched = shutdown.clone();
    tokio::spawn(async move { watched.watch(LIMIT, CancellationToken::new()).await });
    sleep(Duration::from_millis(600)).await;

    std::thread::sleep(Duration::from_secs(3));
    sleep(Duration::from_millis(150)).await;
    let own = std::process::id().to_string();
    let sent = Command::new("kill").args(["-TERM", &own]).status();
    assert!(sent.expect("runs").success());
    timeout(Duration::from_secs(1), shutdown.closing.cancelled())
        .await
        .expect("closing");

    let left = shutdown.time_left().unwrap_or_default();
    assert!(
        left > LIMIT - Duration::from_secs(1),
        "{left:?} left of {LIMIT:?}"
    );
}
