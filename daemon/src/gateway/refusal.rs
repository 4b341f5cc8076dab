//! Answers that a gateway gives by itself.

use {
    super::scheduler,
    crate::http::body,
    derive_more::Display,
    gotham::{
        helpers::http::Body,
        hyper::{
            Response, StatusCode,
            header::{CONNECTION, HeaderValue, RETRY_AFTER},
        },
    },
    serde_json::json,
    std::time::Duration,
    tamarackdale_core::quota::Excess,
    tamarackdale_platform::response,
};

/// Why a gateway answers by itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Cause {
    /// The request's headers cannot be read.
    Malformed,
    /// No route takes the request.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive whole.
    BodyBroken,
    /// No configuration is known, or it is not proved to be the newest.
    NotProved,
    /// The process is about to end.
    Leaving,
    /// The organisation is over its quota.
    Quota,
    /// No backend server of the service is known and in health.
    NoBackendServer,
    /// All backend servers are full.
    Overload,
    /// A more urgent rank was shed of late.
    Floor,
    /// Every backend server that was tried said that it did not run the request.
    NotExecuted,
    /// The time ran out before the request was sent.
    TimeoutUnsent,
    /// The time ran out after the request was sent.
    Timeout,
    /// The backend server failed, or its connection broke.
    BackendServer,
}

impl Cause {
    /// The status: 429 and 503 promise that the request has not run and never will.
    fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Quota => StatusCode::TOO_MANY_REQUESTS,
            Self::NotProved
            | Self::Leaving
            | Self::NoBackendServer
            | Self::Overload
            | Self::Floor
            | Self::NotExecuted
            | Self::TimeoutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::BackendServer => StatusCode::BAD_GATEWAY,
        }
    }
}

impl From<scheduler::Refusal> for Cause {
    fn from(refusal: scheduler::Refusal) -> Self {
        match refusal {
            scheduler::Refusal::Nobody => Self::NoBackendServer,
            scheduler::Refusal::Overload => Self::Overload,
            scheduler::Refusal::Floor => Self::Floor,
        }
    }
}

/// A final answer of the gateway's own.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When the caller should come back.
    pub retry_after: Option<Duration>,
    /// What did not fit in the organisation's quota, where that is the cause.
    pub excess: Option<Excess>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(cause: Cause) -> Self {
        Self {
            cause,
            retry_after: None,
            excess: None,
        }
    }

    /// Sets when the caller should come back.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets what did not fit in the organisation's quota.
    pub fn with_excess(mut self, excess: Excess) -> Self {
        self.excess = Some(excess);
        self
    }

    /// The answer to the request `id`.
    pub fn response(self, id: &str) -> Response<Body> {
        let value = json!({ "error": self.cause.to_string() });
        let mut response = body::json(self.cause.status(), &value);
        let headers = response.headers_mut();
        response::set_request_id(headers, id);
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if matches!(self.cause, Cause::BodyTooLarge | Cause::BodyBroken) {
            // What is left of the body must not be read as a request.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
