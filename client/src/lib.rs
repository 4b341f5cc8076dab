//! `tamarackdale`, the operators' client.
//!
//! Operators control the system only by editing the documents of its services. [`command`] holds
//! the client's commands, and [`edit`] the compare-and-swap by which `apply` writes a document.

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
