//! Decision logic of tamarackdale.
//!
//! Nothing in this crate performs I/O, reads a clock or draws its own random numbers: the time is
//! an argument ([`time::Timestamp`]) and so is the seeded generator, which makes every decision
//! repeatable in a test.

pub mod attempt;
pub mod breaker;
pub mod claim;
pub mod digest;
pub mod document;
pub mod failure;
pub mod grant;
pub mod id;
pub mod retry;
pub mod tier;
pub mod time;
pub mod verdict;
