//! Open-loop load generator.
//!
//! A [`Schedule`] says when requests are offered, whatever becomes of those before; a closure
//! makes the [`Shot`] that is offered; a [`Generator`] sends them and keeps a [`Record`] of each;
//! a [`Summary`] counts the records of one tier.

mod generator;
mod record;
mod schedule;
mod shot;
mod summary;

pub use {
    generator::Generator,
    record::Record,
    schedule::Schedule,
    shot::{Expected, Shot},
    summary::{Summary, Table},
};
