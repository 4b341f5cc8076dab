//! Identifiers.

use derive_more::Display;

/// Random number drawn by a process when it starts; tells apart the boots of one instance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct Boot(pub u64);

/// Name of an instance, as the instance list gives it.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instance(pub String);

/// One boot of one instance.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{instance}/{boot}")]
pub struct Incarnation {
    /// The instance.
    pub instance: Instance,
    /// Which of its boots.
    pub boot: Boot,
}

/// One offer of a request to one sidecar; never used twice.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{router}-{sequence}")]
pub struct Attempt {
    /// The boot of the router that made the offer.
    pub router: Boot,
    /// Counter of that boot.
    pub sequence: u64,
}

/// A request as its caller names it; the key is the caller's or one drawn by the router.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{service}/{organisation}/{key}")]
pub struct Request {
    /// The service asked.
    pub service: String,
    /// The organisation that asks.
    pub organisation: String,
    /// The idempotency key.
    pub key: String,
}
