//! Claims: how routers agree on who may run a non-idempotent request.
//!
//! A router that is about to grant an attempt first writes a [`Record`] under the request's key in
//! the key-value service, if there is none. Whoever finds another's record asks the sidecar that
//! it names what became of the attempt, and never runs the request a second time:
//!
//! ```text
//!             created                                    ┌─> running, finished: attach
//! create ─┬─────────────> grant        ┌─> other record ─┼─> void: replace ─> grant
//!         ├─ answer lost ─> read back ─┤                 └─> no proof: may have run
//!         │                            └─> own record ─> grant
//!         └─ conflict ─> other record
//! ```
//!
//! The order of a takeover carries the argument: the old attempt is voided first and the record
//! replaced afterwards, conditioned on its revision. A router that was paused while it held the
//! claim therefore finds its attempt void when it sends its grant at last.
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
/// A router picks the lease after the attempt was queued, and only one that it was given less than
/// [`LEASE_ROTATION`] ago. So a claim lives on for `LEASE - LEASE_ROTATION` at least after its
/// attempt was queued, whenever it is written; and a sidecar refuses a grant once an attempt has
/// been queued for [`crate::attempt::LIFETIME`], which is far shorter. What is left is the time in
/// which a retry with the same key finds the claim.
pub const LEASE: Duration = Duration::from_secs(4 * 60 * 60);

/// Age at which a router replaces the lease that it writes claims under.
pub const LEASE_ROTATION: Duration = Duration::from_secs(60 * 60);
