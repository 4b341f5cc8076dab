//! Decision logic of tamarackdale.
//!
//! The crate performs no I/O, reads no clock and draws no random numbers of its own. The current
//! time ([`time::Timestamp`]) and the seeded random generator are arguments, so that every decision
//! is reproducible in tests.

pub mod address;
pub mod admission;
pub mod attempt;
pub mod batch_limit;
pub mod breaker;
pub mod cached_config;
pub mod cell;
pub mod claim;
pub mod coalescing;
pub mod cost;
pub mod digest;
pub mod dispatch;
pub mod dissemination;
pub mod document;
pub mod document_registry;
pub mod failure;
pub mod fleet;
pub mod floor;
pub mod freshness;
pub mod grant;
pub mod id;
pub mod limit;
pub mod load_throttle;
pub mod origin;
pub mod outage;
pub mod peer_table;
pub mod poison;
pub mod prefix_history;
pub mod queue;
pub mod quorum;
pub mod quota;
pub mod recent;
pub mod rendezvous;
pub mod report;
pub mod retry;
pub mod revision;
pub mod rollout;
pub mod route;
pub mod routing_config;
pub mod server_table;
pub mod service_times;
pub mod sse;
pub mod subscription;
pub mod summary;
pub mod tier;
pub mod time;
pub mod verdict;
pub mod wait_policy;
pub mod wait_queue;
