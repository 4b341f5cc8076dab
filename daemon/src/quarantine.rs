//! Log of requests that are refused because they crash backend servers.

use tamarackdale_core::poison::{Cause, Quarantine};

/// Target of this module's log lines; part of the log format, so it does not follow the file name.
const LOG_TARGET: &str = "tamarackdaled::gateway::scheduler";

/// Logs that requests are refused from now on.
pub fn log(quarantine: &Quarantine) {
    let crashes = quarantine.crashes;
    let length_s = quarantine.until.since(quarantine.last_crash).as_secs();
    match &quarantine.cause {
        Cause::Request(digest) => log::warn!(
            target: LOG_TARGET,
            request_digest = format!("{digest:x}"), crashes, length_s;
            "request quarantined: backend servers crash when they run it"
        ),
        Cause::Parts(parts) => {
            let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
            log::warn!(
            target: LOG_TARGET,
                prompt_parts = parts.join(","), crashes, length_s;
                "prompt parts quarantined: backend servers crash when they run requests with them"
            );
        }
    }
}
