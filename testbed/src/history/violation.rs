//! Broken promises.

use {super::Name, derive_more::Display, std::time::Duration, tamarackdale_core::tier::Rank};

/// One broken promise.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A non-idempotent request ran more than once.
    #[display("{request} may not run twice and ran {runs} times")]
    RanAgain {
        /// The request.
        request: Name,
        /// How often it ran.
        runs: usize,
    },
    /// A request was dispatched more often than it was submitted.
    #[display("{request} was submitted {submissions} times and dispatched {runs} times")]
    DispatchedAgain {
        /// The request.
        request: Name,
        /// How often it was submitted.
        submissions: usize,
        /// How often it was dispatched.
        runs: usize,
    },
    /// A submission that was reported as not run did run.
    #[display("{request} ran {runs} times, but {not_run} of {submissions} calls ended as not run")]
    NotRunRan {
        /// The request.
        request: Name,
        /// How often it was submitted.
        submissions: usize,
        /// How many submissions were reported as not run.
        not_run: usize,
        /// How often it ran.
        runs: usize,
    },
    /// Something ran that nobody submitted.
    #[display("{request} ran, but nobody submitted it")]
    Unsubmitted {
        /// The request.
        request: Name,
    },
    /// A clean answer is not the whole answer to its own request.
    #[display("the answer to {request} is not that of any of its runs")]
    WrongAnswer {
        /// The request.
        request: Name,
    },
    /// A request was shed while no floor kept lower tiers out.
    #[display("{service} shed tier {rank} at {at:?} without a floor")]
    ShedWithoutFloor {
        /// The service.
        service: String,
        /// The tier.
        rank: Rank,
        /// When.
        at: Duration,
    },
    /// A request of a lower tier was served while a floor excluded it.
    #[display("{service} served tier {rank} at {at:?} below the floor of tier {floor}")]
    ServedBelowFloor {
        /// The service.
        service: String,
        /// The tier.
        rank: Rank,
        /// The floor.
        floor: Rank,
        /// When.
        at: Duration,
    },
}
