//! Claims, by which routers agree on the one attempt that may run a non-idempotent request.
//!
//! Before a router grants an attempt, it writes a [`Record`] under the request's key in the
//! key-value store, unless there is one. A router that finds the record of another attempt asks
//! the sidecar named there for the outcome of that attempt, and never runs the request a second
//! time:
//!
//! ```text
//!             created                                    ┌─> running, finished: attach
//! create ─┬─────────────> grant        ┌─> other record ─┼─> void: replace ─> grant
//!         ├─ no response ─> read back ─┤                 └─> no proof: may have run
//!         │                            └─> own record ─> grant
//!         └─ conflict ─> other record
//! ```
//!
//! The order of steps makes a takeover safe: the old attempt is voided first, and the record is
//! replaced afterwards, by a compare-and-swap on its revision. If the previous holder of the claim
//! was paused, its attempt is therefore void by the time it sends the grant.
//!
//! A claim outlives every grant that it allows: see [`LEASE`].

mod event;
mod machine;
mod record;

use std::time::Duration;

pub use {
    event::{Action, Event, Step},
    machine::Machine,
    record::{Nonce, Record, Revision, Version},
};

/// Time to live of the leases that claims are written under.
///
/// A router picks the lease after the attempt was queued, and only uses a lease that it was granted
/// less than [`LEASE_ROTATION`] ago. A claim therefore exists for at least `LEASE - LEASE_ROTATION`
/// after its attempt was queued, whenever it is written, while a sidecar refuses a grant once the
/// attempt has been queued for [`crate::attempt::LIFETIME`], which is far shorter. For the
/// remaining time, a retry with the same key finds the claim.
pub const LEASE: Duration = Duration::from_secs(4 * 60 * 60);

/// Age at which a router replaces the lease that it writes claims under.
pub const LEASE_ROTATION: Duration = Duration::from_secs(60 * 60);
