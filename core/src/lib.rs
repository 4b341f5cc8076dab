//! Decision logic of tamarackdale.
//!
//! Nothing in this crate performs I/O, reads a clock or draws its own random numbers: the time is
//! an argument ([`time::Timestamp`]) and so is the seeded generator, which makes every decision
//! repeatable in a test.

pub mod digest;
pub mod document;
pub mod failure;
pub mod id;
pub mod tier;
pub mod time;
pub mod verdict;
