//! What an outage of the key-value service does to each kind of request.
//!
//! A [`Timeline`] says in which [`Phase`] a request was offered, a [`Kind`] what it needs of the
//! store; a [`Report`] counts what became of each.

mod kind;
mod phase;
mod report;

pub use {
    kind::Kind,
    phase::{Phase, Timeline},
    report::{Calls, Report, Row},
};
