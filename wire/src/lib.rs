//! Messages between the processes of tamarackdale.
//!
//! They are sent over HTTP with MessagePack bodies ([`codec`]). The types mirror those of the core
//! crate and convert by `From` and `TryFrom`, so that the wire format and the decision logic can
//! change independently.

pub mod claim;
pub mod codec;
pub mod compact;
pub mod digest;
pub mod failure;
pub mod frame;
pub mod health_report;
pub mod id;
pub mod message;
pub mod origin;
pub mod path;
pub mod poison;
pub mod report;
pub mod rollout;
pub mod start;
pub mod statement;
pub mod status;
pub mod store_read;
pub mod summary;

pub use {digest::Digest, frame::Frame, report::Report, status::Status};
