//! Clients of the platform's services: the key-value service and the instance list.

pub mod http;
pub mod key;
pub mod kv;
pub mod list;
