//! Answers that the router gives by itself.

use {
    super::inbound::Inbound,
    crate::http::body,
    derive_more::Display,
    gotham::{
        helpers::http::Body,
        hyper::{
            Response, StatusCode,
            header::{HeaderMap, HeaderValue, RETRY_AFTER},
        },
    },
    serde_json::json,
    std::time::Duration,
    tamarackdale_core::{
        failure::{Failure, Reason},
        verdict::Verdict,
    },
};

/// Header with the request's key.
pub const REQUEST_ID: &str = "tamarackdale-request-id";

/// Header with the verdict.
pub const VERDICT: &str = "tamarackdale-verdict";

/// Header with the reason of a refusal.
pub const REASON: &str = "tamarackdale-reason";

/// Header with the delay before a retry, in milliseconds.
pub const RETRY_AFTER_MS: &str = "tamarackdale-retry-after-ms";

/// Delay before a retry where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What is wrong with a caller's request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Invalid {
    /// The path names no service that is served here.
    #[display("unknown service")]
    Service,
    /// The API key is missing or unknown.
    #[display("missing or unknown API key")]
    Authorization,
    /// The organisation may not use the tier.
    #[display("the organisation may not use this tier")]
    TierNotAllowed,
    /// A header has no usable value.
    #[display("unusable value")]
    Header(&'static str),
    /// The body is too large.
    #[display("the body is too large")]
    BodyTooLarge,
    /// The body did not arrive whole.
    #[display("the body did not arrive whole")]
    BodyBroken,
    /// The service's document has not come yet.
    #[display("the router does not have the service's document yet")]
    NotReady,
    /// The router holds as many bytes of bodies as it may.
    #[display("too many requests are being taken in")]
    Full,
}

impl Invalid {
    fn status(self) -> StatusCode {
        match self {
            Self::Service => StatusCode::NOT_FOUND,
            Self::Authorization => StatusCode::UNAUTHORIZED,
            Self::TierNotAllowed => StatusCode::FORBIDDEN,
            Self::Header(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Full | Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn field(self) -> &'static str {
        match self {
            Self::Service | Self::NotReady => "path",
            Self::Authorization => "authorization",
            Self::TierNotAllowed => super::inbound::head::TIER,
            Self::Header(name) => name,
            Self::BodyTooLarge | Self::BodyBroken | Self::Full => "body",
        }
    }

    fn failure(self) -> Failure {
        match self {
            Self::Full => Failure::not_run(Reason::Full),
            Self::NotReady => Failure::not_run(Reason::NotReady),
            _ => Failure::not_run(Reason::BadRequest),
        }
    }

    /// The answer to the invalid request.
    pub fn response(self) -> Response<Body> {
        let failure = self.failure();
        let value = json!({
            "error": self.to_string(),
            "field": self.field(),
            "verdict": failure.verdict.to_string(),
            "reason": failure.reason.to_string(),
        });
        let mut response = body::json(self.status(), &value);
        put_failure(response.headers_mut(), &failure);
        response
    }
}

/// The answer to a request that failed before its head was sent.
pub fn response(request: &Inbound, failure: &Failure) -> Response<Body> {
    let mut response = body::json(status(failure), &describe(failure));
    put_request_id(response.headers_mut(), request);
    put_failure(response.headers_mut(), failure);
    response
}

/// A failure in JSON, for bodies and for the last event of a stream.
pub fn describe(failure: &Failure) -> serde_json::Value {
    json!({
        "error": failure.to_string(),
        "verdict": failure.verdict.to_string(),
        "reason": failure.reason.to_string(),
        "retry_after_ms": retry_after(failure).map(millis),
    })
}

/// Sets the header with the request's key.
pub fn put_request_id(headers: &mut HeaderMap, request: &Inbound) {
    if let Ok(value) = HeaderValue::from_str(&request.id.key) {
        headers.insert(REQUEST_ID, value);
    }
}

/// Sets the header with the verdict.
pub fn put_verdict(headers: &mut HeaderMap, verdict: Verdict) {
    if let Ok(value) = HeaderValue::from_str(&verdict.to_string()) {
        headers.insert(VERDICT, value);
    }
}

fn put_failure(headers: &mut HeaderMap, failure: &Failure) {
    put_verdict(headers, failure.verdict);
    if let Ok(value) = HeaderValue::from_str(&failure.reason.to_string()) {
        headers.insert(REASON, value);
    }
    if let Some(delay) = retry_after(failure) {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(delay.as_secs_f64().ceil() as u64),
        );
        headers.insert(RETRY_AFTER_MS, HeaderValue::from(millis(delay)));
    }
}

fn status(failure: &Failure) -> StatusCode {
    match failure.reason {
        Reason::OrganisationLimit => StatusCode::TOO_MANY_REQUESTS,
        Reason::Duplicate => StatusCode::CONFLICT,
        Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ if failure.verdict == Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// When a retry is worth making. A request that was refused for no fault of its own can always be
/// sent again.
fn retry_after(failure: &Failure) -> Option<Duration> {
    let is_own_fault = matches!(failure.reason, Reason::BadRequest | Reason::KeyReused);
    if failure.verdict == Verdict::NotRun && !is_own_fault {
        return failure.retry_after.or(Some(DEFAULT_RETRY_AFTER));
    }
    failure.retry_after
}

fn millis(delay: Duration) -> u64 {
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}
