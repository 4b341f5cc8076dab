//! What the grant costs and what it saves.
//!
//! [`Waits`] are the times between asking for a grant and the dispatch, from the sidecars' logs; a
//! [`Death`] tells which requests waited at a sidecar that was killed, from the routers' logs, and
//! a [`Toll`] what became of them.

mod death;
mod wait;

pub use {
    death::{Death, Toll},
    wait::{Quantiles, Waits},
};
