//! A sidecar's record of the attempts offered to it.
//!
//! An attempt moves along one path and never back:
//!
//! ```text
//! unknown ──> waiting ──> offered ──> dispatched ──> finished ──> forgotten
//!    │           │           │            │                          ↑
//!    └───────────┴───────────┴────────────┴──────> voided ───────────┘
//! ```
//!
//! Three rules carry the promises made to callers:
//!
//! - Only a grant turns a waiting attempt into a dispatched one, and no attempt does so twice.
//! - Whoever is told [`NotRun`](crate::verdict::Verdict::NotRun) for an attempt finds it voided from
//!   then on. This includes attempts that the table has never heard of: their enqueue may still
//!   be on its way, so the answer leaves a voided entry behind for it to meet.
//! - A forgotten attempt leaves a bound per router behind, so that the table never
//!   mistakes an attempt that it has forgotten for one that never came.

mod bound;
mod state;
mod table;

pub use {
    state::{Resumption, State},
    table::{Counts, LIFETIME, Table},
};
