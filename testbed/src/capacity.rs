//! What a process of the system costs, measured against the size of the system around it.
//!
//! A scenario ([`scenario`]) starts a [`fleet::Fleet`] of real processes and changes one size in
//! at least four steps. Each step is a [`reading::Reading`] of one process under observation; the
//! readings make [`series::Series`], each with its least-squares [`fit::Fit`], and a
//! [`report::Report`] compares what the fit gives at the target with the budget.

pub mod fit;
pub mod fleet;
pub mod processor;
pub mod reading;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod series;
pub mod target;
