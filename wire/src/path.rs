//! Paths of the HTTP interface between processes.

/// `POST` [`crate::message::Enqueue`]; answers with a stream of [`crate::Frame`]s.
pub const ENQUEUE: &str = "/v1/enqueue";

/// `POST` [`crate::message::Grant`]; answers with [`crate::message::Granted`].
pub const GRANT: &str = "/v1/grant";

/// `POST` [`crate::message::Resume`]; answers with a stream of [`crate::Frame`]s.
pub const RESUME: &str = "/v1/resume";

/// `POST` [`crate::message::Cancel`]; answers with an empty body.
pub const CANCEL: &str = "/v1/cancel";

/// `POST` [`crate::message::Acknowledge`]; answers with an empty body.
pub const ACKNOWLEDGE: &str = "/v1/acknowledge";

/// `POST` [`crate::message::Floor`]; answers with an empty body.
pub const FLOOR: &str = "/v1/floor";

/// `GET` with the query `router` (boot) and `bytes_per_s` (share of the router's budget); answers
/// with an endless stream of optional [`crate::Report`]s, where nothing means that the last one
/// still holds.
pub const REPORTS: &str = "/v1/reports";

/// `GET` with the service's name as last segment; answers with the newest
/// [`crate::message::Document`] that the process has. `POST` of a newer one, which the key-value
/// service has accepted, offers it to the process.
pub const DOCUMENTS: &str = "/v1/documents";

/// `GET`; answers with the [`crate::Status`] of the process.
pub const STATUS: &str = "/v1/status";

/// `GET` with a request's identifier as last segment, percent-encoded; answers with the
/// [`crate::status::Decision`]s that the router remembers, oldest first.
pub const DECISIONS: &str = "/v1/decisions";

/// `GET`; answers with an endless stream of [`crate::Digest`]s.
pub const DIGESTS: &str = "/v1/digests";

/// `POST` [`crate::summary::Introduction`]; answers with an endless stream of
/// [`crate::summary::Frame`]s: the first in full, the others with what has changed.
pub const SUMMARIES: &str = "/v1/summaries";
