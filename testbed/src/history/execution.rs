//! What backend servers ran.

use {
    super::Name,
    crate::{engine::Run, plain::Call},
    tamarackdale_core::digest,
};

/// One run of a request at a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The request.
    pub request: Name,
    /// Checksum of the whole answer, if the backend server records it.
    pub output: Option<u64>,
}

impl Execution {
    /// A run with the checksum of its answer.
    pub fn new(request: Name, output: u64) -> Self {
        Self {
            request,
            output: Some(output),
        }
    }

    /// The record of a plain service, or `None` for a call without a key.
    pub fn of_call(service: &str, call: &Call) -> Option<Self> {
        let request = Name::new(service, call.marker.as_deref()?);
        Some(Self::new(request, checksum(&call.path, call.fingerprint)))
    }

    /// The record of a model engine, or `None` for a run without a key.
    pub fn of_run(service: &str, run: &Run) -> Option<Self> {
        Some(Self {
            request: Name::new(service, run.marker.as_deref()?),
            output: None,
        })
    }
}

/// Checksum that stands for a plain service's answer to this path and body.
pub(super) fn checksum(path: &str, fingerprint: u64) -> u64 {
    digest::fingerprint(format!("{path} {fingerprint:016x}").as_bytes())
}
