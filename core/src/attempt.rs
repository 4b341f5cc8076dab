//! A sidecar's table of the attempts offered to it.
//!
//! The state of an attempt only moves forward:
//!
//! ```text
//! unknown ──> waiting ──> offered ──> dispatched ──> finished ──> forgotten
//!    │           │           │            │                          ↑
//!    └───────────┴───────────┴────────────┴──────> voided ───────────┘
//! ```
//!
//! Three rules give callers their guarantees:
//!
//! - Only a grant dispatches a queued attempt, and no attempt is dispatched twice.
//! - Once the table has returned [`NotRun`](crate::verdict::Verdict::NotRun) for an attempt, the
//!   attempt stays voided. This includes unknown attempts: their enqueue may still be in flight, so
//!   the reply inserts a voided entry, by which a late enqueue is refused.
//! - For forgotten attempts the table keeps a bound per router, so that it never mistakes a
//!   forgotten attempt for an unknown one.

mod forgotten;
mod state;
mod table;

pub use {
    state::{Resumption, State},
    table::{Counts, LIFETIME, Table},
};
