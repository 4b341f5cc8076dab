//! Compares policies under load, on real processes with emulated engines.
//!
//! A [`Trial`] is one policy under one load: arrivals are open loop and drawn from a seed, so that
//! all policies see the same requests at the same times. Its [`Outcome`] counts what the callers
//! got and what the engines computed, and checks the processes' decisions for their order.

mod arrival;
mod delay;
mod history;
mod outcome;
mod plot;
mod policy;
mod profile;
mod trial;

pub use {
    arrival::{Arrival, Arrivals},
    delay::Delays,
    history::{Decision, Event, History},
    outcome::{Outcome, Tier},
    plot::{Curve, Figure},
    policy::Policy,
    profile::{Class, Profile},
    trial::{Fault, Trial},
};
