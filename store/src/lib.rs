//! Clients of the platform's key-value store and instance list.

pub mod http;
pub mod key;
pub mod kv;
pub mod list;
