//! Paths of the HTTP API between processes.

/// `POST` [`crate::message::Enqueue`]; responds with a stream of [`crate::Frame`]s.
pub const ENQUEUE: &str = "/v1/enqueue";

/// `POST` [`crate::message::Grant`]; responds with [`crate::message::GrantResponse`].
pub const GRANT: &str = "/v1/grant";

/// `POST` [`crate::message::Resume`]; responds with a stream of [`crate::Frame`]s.
pub const RESUME: &str = "/v1/resume";

/// `POST` [`crate::message::Cancel`]; responds with an empty body.
pub const CANCEL: &str = "/v1/cancel";

/// `POST` [`crate::message::Acknowledge`]; responds with an empty body.
pub const ACKNOWLEDGE: &str = "/v1/acknowledge";

/// `POST` [`crate::message::Floor`]; responds with an empty body.
pub const FLOOR: &str = "/v1/floor";

/// `POST` [`crate::message::Notices`]; responds with an empty body.
pub const NOTICES: &str = "/v1/notices";

/// `GET` with the query parameters `router` (boot identifier), `bytes_per_s` (share of the router's
/// bandwidth budget) and `poison` (version of [`crate::poison::Poison`] that the router reads, now 1;
/// without it the reports have none); responds with an endless stream of optional [`crate::Report`]s,
/// where `None` means that the last report still holds.
pub const REPORTS: &str = "/v1/reports";

/// `GET` with the service's name as the last segment; responds with the newest
/// [`crate::message::Document`] that the process has. `POST` of a newer one, already written to the
/// key-value store, offers it to the process.
pub const DOCUMENTS: &str = "/v1/documents";

/// `GET`; responds with the [`crate::Status`] of the process.
pub const STATUS: &str = "/v1/status";

/// `GET` with a request's identifier as the last segment, percent-encoded; responds with the
/// [`crate::status::Decision`]s that the router remembers, oldest first.
pub const DECISIONS: &str = "/v1/decisions";

/// `GET`; responds with an endless stream of [`crate::Digest`]s.
pub const DIGESTS: &str = "/v1/digests";

/// `POST` [`crate::summary::Introduction`]; responds with an endless stream of
/// [`crate::summary::Frame`]s, in the form of [`crate::compact`] for a subscriber that reads it: the first is
/// complete, the others hold what has changed.
pub const SUMMARIES: &str = "/v1/summaries";

/// `POST` [`crate::start::Ask`]; responds with [`crate::start::Answer`].
pub const STARTS: &str = "/v1/starts";

/// `POST` [`crate::store_read::Check`]; responds with [`crate::store_read::CheckAnswer`].
pub const STORE_CHECK: &str = "/v1/store/check";

/// `POST` [`crate::store_read::Watch`]; responds with [`crate::store_read::WatchAnswer`].
pub const STORE_WATCH: &str = "/v1/store/watch";
