//! Revision of a document that a starting process may use when only its peers can be reached.

use crate::document::Revision;

/// A peer's response about the document of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The peer has this revision in force.
    InForce(Revision),
    /// The peer has no document of the service.
    NoDocument,
    /// The peer did not respond.
    NoAnswer,
}

/// The newest revision that any peer has in force. `None` unless the peers with a revision are a
/// majority of those that may have one, that is, they outnumber the peers that did not respond.
///
/// An accepted change is in force everywhere within seconds, so that a majority has it. A single
/// peer may have been paused and have an older revision.
pub fn newest(answers: &[Answer]) -> Option<Revision> {
    let held = answers.iter().filter_map(|answer| match answer {
        Answer::InForce(revision) => Some(*revision),
        Answer::NoDocument | Answer::NoAnswer => None,
    });
    let holders = held.clone().count();
    let unanswered = answers
        .iter()
        .filter(|answer| **answer == Answer::NoAnswer)
        .count();
    held.max().filter(|_| holders > unanswered)
}
