//! Processor time of a process, finer than the ticks of `/proc/PID/stat`.

use std::{fs, io, time::Duration};

/// Time that the live threads of a process have run.
///
/// # Errors
///
/// Fails when the process is gone or the kernel keeps no such account.
pub fn time(pid: u32) -> io::Result<Duration> {
    let mut total = Duration::ZERO;
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        // A thread may end meanwhile.
        if let Ok(account) = fs::read_to_string(thread?.path().join("schedstat")) {
            total += run_time(&account).ok_or(io::ErrorKind::InvalidData)?;
        }
    }
    Ok(total)
}

/// The first field: nanoseconds on a processor.
fn run_time(account: &str) -> Option<Duration> {
    let nanoseconds = account.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanoseconds))
}
