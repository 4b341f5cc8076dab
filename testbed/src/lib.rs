//! Stand-ins, fault proxy, load tool and history checkers for tests of tamarackdale.

pub mod host;
pub mod list;
pub mod operator;
pub mod peer;
pub mod store;
