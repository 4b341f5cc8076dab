//! Processes are found, read, bounded and reaped.

use {
    std::time::Duration,
    tamarackdale_testbed::process::{self, Fault, Process},
};

/// Bound on anything that should happen at once.
const LIMIT: Duration = Duration::from_secs(10);

#[test]
fn missing_binary_is_explained() {
    let found = process::binary("no-such-binary");

    let message = found.expect_err("no such binary").to_string();
    assert!(
        message.contains("cargo build --workspace --bins"),
        "{message}"
    );
}

#[tokio::test]
async fn output_of_a_process_that_ends_is_read() {
    let arguments = ["router".to_owned(), "--no-such-flag".to_owned()];
    let mut process = Process::new("broken", "tamarackdaled", &arguments).expect("starts");

    let listening = process.wait_for_listener("callers", LIMIT);

    let Err(Fault::Timeout { output, .. }) = listening else {
        panic!("a daemon with an unknown flag listens: {listening:?}");
    };
    assert!(output.contains("no-such-flag"), "{output}");
    assert_eq!(process.wait(LIMIT).await.expect("ended").code(), Some(2));
    assert!(!process.is_running());
}

#[test]
fn usage_of_this_process_is_plausible() {
    let usage = process::Usage::of(std::process::id()).expect("this process is there");

    assert!(usage.memory_bytes > 100_000);
    assert!(process::Usage::of(u32::MAX).is_err());
}
