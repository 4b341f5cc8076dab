//! Processor time and memory of a process, as the kernel counts them.

use std::{fs, io, time::Duration};

/// Ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// Field of `/proc/PID/stat` with the user time, counted after the command's name.
const USER_TIME_FIELD: usize = 11;

/// What a process has used since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its threads, user and system.
    pub processor: Duration,
    /// Memory resident now, in bytes.
    pub memory_bytes: u64,
    /// Most memory that was ever resident, in bytes.
    pub peak_memory_bytes: u64,
}

impl Usage {
    /// What the process with this identifier has used.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn of(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Self {
            processor: processor_time(&stat).ok_or(io::ErrorKind::InvalidData)?,
            memory_bytes: bytes(&status, "VmRSS:").ok_or(io::ErrorKind::InvalidData)?,
            peak_memory_bytes: bytes(&status, "VmHWM:").ok_or(io::ErrorKind::InvalidData)?,
        })
    }
}

fn processor_time(stat: &str) -> Option<Duration> {
    // The command's name, in parentheses, may itself hold spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis(
        (user + system) * 1_000 / TICKS_PER_SECOND,
    ))
}

/// The amount of memory that `/proc/PID/status` tells under a name.
fn bytes(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1_024)
}
