//! `tamarackdale`, the operators' client.
//!
//! Operators drive the system only by editing the document of a service: [`command`] holds what
//! they can do, [`edit`] the compare-and-swap behind `apply`.

pub mod cli;
pub mod command;
pub mod diff;
pub mod edit;
pub mod fleet;
pub mod header;
pub mod outcome;
pub mod problem;
pub mod retry;
pub mod settings;
