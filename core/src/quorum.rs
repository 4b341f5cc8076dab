//! Which revision a starting process may trust when only peers can be asked.

use crate::document::Revision;

/// What a peer answers about one service's document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It has this revision in force.
    InForce(Revision),
    /// It has no document of the service.
    NoDocument,
    /// It did not answer.
    NoAnswer,
}

/// The newest revision that the peers hold, if a majority of those that may hold one answered.
///
/// An accepted change is in force everywhere within seconds, so a majority knows it; a single peer
/// may have been paused.
pub fn newest(answers: &[Answer]) -> Option<Revision> {
    let held = answers.iter().filter_map(|answer| match answer {
        Answer::InForce(revision) => Some(*revision),
        Answer::NoDocument | Answer::NoAnswer => None,
    });
    let holders = held.clone().count();
    let silent = answers
        .iter()
        .filter(|answer| **answer == Answer::NoAnswer)
        .count();
    held.max().filter(|_| holders > silent)
}
