//! Requests and parts of prompts that are refused.

use {
    super::{Feature, Fingerprint},
    crate::time::Timestamp,
    derive_more::{Display, Error},
    std::time::Duration,
};

/// Time from the last crash to the end of the first quarantine. A server needs some seconds to return.
const FIRST_QUARANTINE: Duration = Duration::from_secs(300);

/// Longest quarantine. Each one that a crash follows is twice as long as the one before.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Time after the end of a quarantine for which one crash is enough for the next.
const PROBATION: Duration = Duration::from_secs(3_600);

/// Most quarantines that are remembered; bounds the memory and the time of a check.
const MAX_QUARANTINES: usize = 256;

/// What is blamed for crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A request that comes again, by its digest.
    Request(u64),
    /// Parts of a prompt that were together in all crashes, in ascending order.
    Parts(Vec<u64>),
}

/// Why requests are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// What is blamed.
    pub cause: Cause,
    /// Crashes that it is blamed for.
    pub crashes: usize,
    /// The last of them.
    pub last_crash: Timestamp,
    /// When such requests are accepted again, unless there are more crashes.
    pub until: Timestamp,
}

/// A judgement on crashes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Blame {
    pub(super) cause: Cause,
    pub(super) crashes: usize,
    pub(super) last_crash: Timestamp,
}

impl Cause {
    /// Whether a request has what is blamed.
    pub fn matches(&self, fingerprint: &Fingerprint) -> bool {
        match self {
            Self::Request(request) => fingerprint.request == Some(*request),
            Self::Parts(parts) => parts.iter().all(|part| fingerprint.parts.contains(part)),
        }
    }

    fn has(&self, feature: Feature) -> bool {
        match (self, feature) {
            (Self::Request(request), Feature::Request(other)) => *request == other,
            (Self::Parts(parts), Feature::Part(part)) => parts.contains(&part),
            _ => false,
        }
    }

    /// Number of features that must be found. Of several causes that match, the one with the fewest
    /// is the most precise.
    fn size(&self) -> usize {
        match self {
            Self::Request(_) => 1,
            Self::Parts(parts) => parts.len(),
        }
    }
}

impl From<Cause> for Fingerprint {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::Request(request) => Self {
                request: Some(request),
                parts: Vec::new(),
            },
            Cause::Parts(parts) => Self {
                request: None,
                parts,
            },
        }
    }
}

/// Error of a cause without any feature, which would match every request.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("neither a request nor parts of a prompt are named")]
pub struct NoCause;

impl TryFrom<Fingerprint> for Cause {
    type Error = NoCause;

    fn try_from(fingerprint: Fingerprint) -> Result<Self, NoCause> {
        match fingerprint.request {
            Some(request) => Ok(Self::Request(request)),
            None if fingerprint.parts.is_empty() => Err(NoCause),
            None => Ok(Self::Parts(fingerprint.parts)),
        }
    }
}

/// All quarantines, including those that have ended lately.
#[derive(Debug, Default)]
pub(super) struct Register(Vec<Quarantine>);

impl Register {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn in_force(&self, now: Timestamp) -> usize {
        self.0.iter().filter(|known| known.until > now).count()
    }

    /// The most precise quarantine that is in force for a request.
    pub(super) fn find(&self, fingerprint: &Fingerprint, now: Timestamp) -> Option<&Quarantine> {
        let matching = self.0.iter();
        matching
            .filter(|known| known.until > now && known.cause.matches(fingerprint))
            .min_by_key(|known| known.cause.size())
    }

    /// Whether a feature is blamed, alone or with others.
    pub(super) fn blames(&self, feature: Feature) -> bool {
        self.0.iter().any(|known| known.cause.has(feature))
    }

    pub(super) fn contains(&self, cause: &Cause) -> bool {
        self.0.iter().any(|known| known.cause == *cause)
    }

    /// The end of the quarantine of a cause, if one is known.
    pub(super) fn until(&self, cause: &Cause) -> Option<Timestamp> {
        let known = self.0.iter().find(|known| known.cause == *cause)?;
        Some(known.until)
    }

    pub(super) fn begin(&mut self, blame: Blame) -> Option<Quarantine> {
        if self.contains(&blame.cause) {
            return None;
        }
        let quarantine = Quarantine {
            until: blame.last_crash.plus(FIRST_QUARANTINE),
            cause: blame.cause,
            crashes: blame.crashes,
            last_crash: blame.last_crash,
        };
        self.insert(quarantine.clone());
        Some(quarantine)
    }

    /// Begins the next quarantine of what a request is blamed for, if it was lost at a crash after the
    /// end of the last one.
    pub(super) fn repeat(
        &mut self,
        fingerprint: &Fingerprint,
        at: Timestamp,
    ) -> Option<Quarantine> {
        let known = self.0.iter_mut();
        let mut ended = known.filter(|known| known.until <= at && known.cause.matches(fingerprint));
        let known = ended.next()?;
        let length = known.until.since(known.last_crash);
        known.crashes += 1;
        known.last_crash = at;
        known.until = at.plus((length * 2).min(MAX_QUARANTINE));
        Some(known.clone())
    }

    /// Merges a quarantine that a peer has begun.
    pub(super) fn merge(&mut self, told: &Quarantine) {
        match self.0.iter_mut().find(|known| known.cause == told.cause) {
            Some(known) if known.until < told.until => *known = told.clone(),
            Some(_) => {}
            None => self.insert(told.clone()),
        }
    }

    /// Ends the quarantines of what was answered after the last crash.
    pub(super) fn lift(&mut self, feature: Feature, answered: Timestamp) {
        self.0
            .retain(|known| !known.cause.has(feature) || known.last_crash >= answered);
    }

    pub(super) fn prune(&mut self, now: Timestamp) {
        self.0.retain(|known| now.since(known.until) < PROBATION);
    }

    fn insert(&mut self, quarantine: Quarantine) {
        if self.0.len() >= MAX_QUARANTINES {
            let known = self.0.iter().enumerate();
            let first = known.min_by_key(|(_, known)| known.until);
            if let Some((index, _)) = first {
                self.0.remove(index);
            }
        }
        self.0.push(quarantine);
    }
}
