//! What processes tell each other of requests that may crash backend servers.

use {
    crate::statement::{millis_between, time_of},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tamarackdale_core::{
        poison::{self, Cause, Fingerprint, Quarantine},
        time::Timestamp,
    },
};

/// Observation of a request that may crash backend servers, or a judgement on it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Poison {
    /// Digest of the request, if it is meant or was computed.
    pub request: Option<u64>,
    /// Identifiers of the parts of its prompt.
    pub parts: Vec<u64>,
    /// Age in milliseconds of the observation, or of the last crash, when it was sent.
    pub age_ms: u32,
    /// What was observed.
    pub kind: PoisonKind,
}

/// What was observed of a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum PoisonKind {
    /// It was lost at a crash; holds the hash of the backend server's identifier.
    Crash(u64),
    /// It was answered.
    Answer,
    /// It, or the parts, are blamed for a number of crashes, and refused for some milliseconds more.
    Quarantine(u32, u32),
}

impl Poison {
    /// Converts a notice at the time `now` of the sender's clock.
    pub fn new(notice: &poison::Notice, now: Timestamp) -> Self {
        let (fingerprint, at, kind) = match notice {
            poison::Notice::Crash {
                fingerprint,
                server,
                at,
            } => (fingerprint.clone(), *at, PoisonKind::Crash(*server)),
            poison::Notice::Answer { fingerprint, at } => {
                (fingerprint.clone(), *at, PoisonKind::Answer)
            }
            poison::Notice::Quarantine(quarantine) => {
                let crashes = u32::try_from(quarantine.crashes).unwrap_or(u32::MAX);
                let remaining_ms = millis_between(now, quarantine.until);
                let kind = PoisonKind::Quarantine(crashes, remaining_ms);
                (quarantine.cause.clone().into(), quarantine.last_crash, kind)
            }
        };
        Self {
            request: fingerprint.request,
            parts: fingerprint.parts,
            age_ms: millis_between(at, now),
            kind,
        }
    }

    /// The notice on the clock of the receiver, which received it at `now`. `None` if it is a
    /// quarantine of nothing.
    pub fn into_notice(self, now: Timestamp) -> Option<poison::Notice> {
        let at = time_of(self.age_ms, now);
        let fingerprint = Fingerprint {
            request: self.request,
            parts: self.parts,
        };
        Some(match self.kind {
            PoisonKind::Crash(server) => poison::Notice::Crash {
                fingerprint,
                server,
                at,
            },
            PoisonKind::Answer => poison::Notice::Answer { fingerprint, at },
            PoisonKind::Quarantine(crashes, remaining_ms) => {
                let Ok(cause) = Cause::try_from(fingerprint) else {
                    log::warn!("ignoring a peer's quarantine of nothing");
                    return None;
                };
                poison::Notice::Quarantine(Quarantine {
                    cause,
                    crashes: crashes as usize,
                    last_crash: at,
                    until: now.plus(Duration::from_millis(remaining_ms.into())),
                })
            }
        })
    }
}
