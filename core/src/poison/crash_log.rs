//! Requests that were lost when backend servers crashed, and who is to blame.

use {
    super::{
        Answers, Feature, Fingerprint,
        quarantine::{Blame, Cause, Register},
    },
    crate::time::Timestamp,
    std::{
        collections::{BTreeMap, HashMap},
        rc::Rc,
        time::Duration,
    },
};

/// Crashes that a request or a part is blamed for until it is quarantined. Two may be a coincidence
/// while several servers fail; the platform allows three more requests after the third crash.
const THRESHOLD: usize = 3;

/// Crashes that a request is blamed for if it was answered before them, or if another one was lost at
/// exactly the same ones. A request that is asked all the time is at each crash of its service, and the
/// observations of who caused one may be lost with the router that made them.
const DOUBTFUL_THRESHOLD: usize = 5;

/// Time after a crash until all losses at it are known here, if several requests come into question:
/// the longest interval between two summaries of a peer, and the time to read them.
const SETTLING: Duration = Duration::from_millis(500);

/// Losses at the same server within this time are one crash, and a repeated notice of a crash is
/// not another. Less than a server needs to return.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// Time for which a crash is remembered.
const MEMORY: Duration = Duration::from_secs(300);

/// Most losses that are remembered; bounds the memory and the time of a judgement. A crash has some
/// tens of them.
const MAX_LOSSES: usize = 512;

/// A request that was lost when its server crashed.
#[derive(Clone, Debug)]
struct Loss {
    fingerprint: Fingerprint,
    server: u64,
    at: Timestamp,
    /// Whether another request is blamed for the crash.
    is_explained: bool,
}

impl Loss {
    /// Whether it was at the same crash.
    fn is_same_crash(&self, server: u64, at: Timestamp) -> bool {
        let apart = self.at.since(at).max(at.since(self.at));
        self.server == server && apart < SAME_CRASH
    }
}

/// A request that was lost at crashes which nothing else explains.
struct Suspect<'a> {
    request: u64,
    /// One loss for each crash.
    crashes: Vec<&'a Loss>,
    /// Whether it was answered before.
    was_answered: bool,
}

impl Suspect<'_> {
    /// Most crashes that it shares with another suspect. Those that were answered before are not
    /// considered beside one that was not.
    fn most_shared(&self, suspects: &[Self]) -> usize {
        let rivals = suspects.iter().filter(|rival| {
            rival.request != self.request && (self.was_answered || !rival.was_answered)
        });
        let shared = rivals.map(|rival| count_shared(&self.crashes, &rival.crashes));
        shared.max().unwrap_or_default()
    }
}

/// Result of a judgement.
#[derive(Debug, Default)]
pub(super) struct Verdict {
    pub(super) blamed: Vec<Blame>,
    /// Whether some crashes are too recent to be judged.
    pub(super) is_pending: bool,
}

/// A loss and the parts to blame for it.
type BlamedLoss<'a> = (&'a Loss, Rc<Vec<u64>>);

/// Losses, oldest first.
#[derive(Debug, Default)]
pub(super) struct CrashLog(Vec<Loss>);

impl CrashLog {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Adds a loss. Returns whether it was not known.
    pub(super) fn push(
        &mut self,
        fingerprint: &Fingerprint,
        server: u64,
        at: Timestamp,
        now: Timestamp,
    ) -> bool {
        if now.since(at) >= MEMORY || self.contains(fingerprint, server, at) {
            return false;
        }
        if self.0.len() >= MAX_LOSSES {
            self.remove_least();
        }
        let is_explained = self
            .0
            .iter()
            .any(|loss| loss.is_explained && loss.is_same_crash(server, at));
        let later = self.0.partition_point(|loss| loss.at <= at);
        let loss = Loss {
            fingerprint: fingerprint.clone(),
            server,
            at,
            is_explained,
        };
        self.0.insert(later, loss);
        true
    }

    /// Whether the loss of a request at a crash is known.
    pub(super) fn contains(&self, fingerprint: &Fingerprint, server: u64, at: Timestamp) -> bool {
        let is_known =
            |loss: &Loss| loss.is_same_crash(server, at) && loss.fingerprint == *fingerprint;
        self.0.iter().any(is_known)
    }

    pub(super) fn prune(&mut self, now: Timestamp) {
        self.0.retain(|loss| now.since(loss.at) < MEMORY);
    }

    /// Number of crashes at which a request was lost that were not followed by an answer to it.
    pub(super) fn crashes_of(&self, request: u64, answers: &Answers) -> usize {
        let feature = Feature::Request(request);
        let losses = self.0.iter();
        let losses = losses.filter(|loss| loss.fingerprint.request == Some(request));
        distinct(losses.filter(|loss| is_unanswered(feature, loss, answers))).len()
    }

    /// Whether a request or part was lost at a crash and was not answered since.
    pub(super) fn suspects(&self, feature: Feature, answers: &Answers) -> bool {
        self.0.iter().any(|loss| {
            loss.fingerprint.features().any(|other| other == feature)
                && is_unanswered(feature, loss, answers)
        })
    }

    /// Marks the crashes of what is blamed as explained: other requests that were lost at them are
    /// not suspected for these.
    pub(super) fn explain(&mut self, cause: &Cause, answers: &Answers) {
        let causing = self.0.iter().filter(|loss| {
            let feature = match cause {
                Cause::Request(request) => Feature::Request(*request),
                Cause::Parts(parts) => match parts.first() {
                    Some(part) => Feature::Part(*part),
                    None => return false,
                },
            };
            cause.matches(&loss.fingerprint) && is_unanswered(feature, loss, answers)
        });
        let crashes: Vec<(u64, Timestamp)> = causing.map(|loss| (loss.server, loss.at)).collect();
        for loss in &mut self.0 {
            let mut crashes = crashes.iter();
            loss.is_explained |= crashes.any(|(server, at)| loss.is_same_crash(*server, *at));
        }
    }

    /// Judges the crashes that are not explained.
    pub(super) fn verdict(
        &self,
        answers: &Answers,
        register: &Register,
        now: Timestamp,
    ) -> Verdict {
        let mut verdict = self.judge_requests(answers, register, now);
        if verdict.blamed.is_empty() {
            verdict.blamed = self.judge_parts(answers, register);
        }
        verdict
    }

    /// Blames requests that were lost at enough crashes, the one with the most crashes first.
    fn judge_requests(&self, answers: &Answers, register: &Register, now: Timestamp) -> Verdict {
        let mut by_request: HashMap<u64, Vec<&Loss>> = HashMap::new();
        for loss in self.0.iter().filter(|loss| !loss.is_explained) {
            if let Some(request) = loss.fingerprint.request
                && is_unanswered(Feature::Request(request), loss, answers)
            {
                by_request.entry(request).or_default().push(loss);
            }
        }
        let mut suspects: Vec<Suspect> = by_request
            .into_iter()
            .filter(|(request, _)| !register.contains(&Cause::Request(*request)))
            .map(|(request, losses)| Suspect {
                request,
                crashes: distinct(losses.into_iter()),
                was_answered: answers.contains_key(&Feature::Request(request)),
            })
            .collect();
        suspects.sort_by_key(|suspect| (usize::MAX - suspect.crashes.len(), suspect.request));
        let mut verdict = Verdict::default();
        for suspect in &suspects {
            let count = suspect.crashes.len();
            let Some(last) = suspect.crashes.last().filter(|_| count >= THRESHOLD) else {
                break;
            };
            let most_shared = suspect.most_shared(&suspects);
            // A rival with fewer shared crashes cannot turn out to have been at all of them.
            let is_settled = now.since(last.at) >= SETTLING || most_shared + 1 < count;
            let is_tied = most_shared >= count;
            let is_doubtful = is_tied || suspect.was_answered;
            if !is_settled || (is_doubtful && count < DOUBTFUL_THRESHOLD) {
                verdict.is_pending |= !is_settled;
                continue;
            }
            // Requests that are tied are blamed together, all others only for what the first does not
            // explain.
            let is_equal = |blame: &Blame| blame.crashes == count && is_tied;
            if verdict.blamed.iter().all(is_equal) {
                verdict.blamed.push(Blame {
                    cause: Cause::Request(suspect.request),
                    crashes: count,
                    last_crash: last.at,
                });
            }
        }
        verdict
    }

    /// Blames parts of prompts whose requests were lost at enough crashes.
    fn judge_parts(&self, answers: &Answers, register: &Register) -> Vec<Blame> {
        let mut by_part: BTreeMap<u64, Vec<BlamedLoss>> = BTreeMap::new();
        for loss in &self.0 {
            if loss.is_explained && !register_explains(register, loss) {
                continue;
            }
            let parts = Rc::new(blamed_parts(loss, answers));
            for part in parts.iter() {
                let losses = by_part.entry(*part).or_default();
                losses.push((loss, Rc::clone(&parts)));
            }
        }
        let mut blamed = by_part.into_values().filter_map(|losses| {
            let crashes = distinct(losses.iter().map(|(loss, _)| *loss));
            let last = crashes.last().filter(|_| crashes.len() >= THRESHOLD)?;
            // A single request that comes again is blamed as a whole.
            let request = losses[0].0.fingerprint.request;
            let mut others = losses.iter();
            if request.is_some() && others.all(|(loss, _)| loss.fingerprint.request == request) {
                return None;
            }
            let mut always = losses[0].1.to_vec();
            always.retain(|part| losses.iter().all(|(_, blamed)| blamed.contains(part)));
            always.sort_unstable();
            let cause = Cause::Parts(always);
            let blame = Blame {
                crashes: crashes.len(),
                last_crash: last.at,
                cause,
            };
            (!register.contains(&blame.cause)).then_some(blame)
        });
        // What it explains is no reason to blame another one.
        blamed.next().into_iter().collect()
    }

    /// Removes the oldest loss of a request that was lost only once, or else the oldest.
    fn remove_least(&mut self) {
        let mut counts: HashMap<Option<u64>, usize> = HashMap::new();
        for loss in &self.0 {
            *counts.entry(loss.fingerprint.request).or_default() += 1;
        }
        let mut losses = self.0.iter();
        let index = losses.position(|loss| counts[&loss.fingerprint.request] == 1);
        self.0.remove(index.unwrap_or(0));
    }
}

/// Whether the crash of a loss is explained by parts that the lost request has itself.
fn register_explains(register: &Register, loss: &Loss) -> bool {
    let mut parts = loss.fingerprint.parts.iter();
    parts.any(|part| register.blames(Feature::Part(*part)))
}

/// Whether there was no answer to a request or part since a loss.
fn is_unanswered(feature: Feature, loss: &Loss, answers: &Answers) -> bool {
    let answer = answers.get(&feature);
    answer.is_none_or(|answer| answer.at <= loss.at)
}

/// The parts to blame for a loss: of those that were not answered since, the ones that were last
/// answered the longest ago, or never.
fn blamed_parts(loss: &Loss, answers: &Answers) -> Vec<u64> {
    let answered = |part: &u64| answers.get(&Feature::Part(*part)).map(|answer| answer.at);
    let suspects = loss.fingerprint.parts.iter();
    let suspects = suspects.filter(|part| is_unanswered(Feature::Part(**part), loss, answers));
    let Some(oldest) = suspects.clone().map(answered).min() else {
        return Vec::new();
    };
    suspects
        .filter(|part| answered(part) == oldest)
        .copied()
        .collect()
}

/// One loss for each crash, in the same order.
fn distinct<'a>(losses: impl Iterator<Item = &'a Loss>) -> Vec<&'a Loss> {
    let mut crashes: Vec<&Loss> = Vec::new();
    for loss in losses {
        let mut known = crashes.iter();
        if !known.any(|known| known.is_same_crash(loss.server, loss.at)) {
            crashes.push(loss);
        }
    }
    crashes
}

/// Number of crashes that are in both lists.
fn count_shared(crashes: &[&Loss], others: &[&Loss]) -> usize {
    let is_shared = |crash: &&&Loss| {
        let mut others = others.iter();
        others.any(|other| other.is_same_crash(crash.server, crash.at))
    };
    crashes.iter().filter(is_shared).count()
}
