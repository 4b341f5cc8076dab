//! Error responses that a gateway generates itself.

use {
    super::scheduler::PlacementError,
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
    tamarackdale_core::quota::QuotaExceeded,
    tamarackdale_platform::response,
};

/// `Retry-After` of a gateway that is shutting down. The load balancer sends the next connection to
/// another one.
pub const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Why a gateway generates the response itself. Sent to the caller as `error`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Cause {
    /// The request's headers are invalid.
    Malformed,
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body was not received completely, or not in time.
    BodyBroken,
    /// There was no memory for the body.
    Memory,
    /// No configuration is known, or it is not confirmed to be current.
    NotProved,
    /// The gateway is shutting down, and the request would not end in time.
    Leaving,
    /// The request exceeds its organisation's quota.
    Quota,
    /// No healthy backend server of the service is known.
    NoBackendServer,
    /// All backend servers are full, and the request cannot wait any longer.
    Overload,
    /// The shed floor is raised: a more urgent rank was shed recently.
    Floor,
    /// A part of the prompt is quarantined, because requests with it crash backend servers.
    Quarantined,
    /// The caller takes a stream up of which nobody knows which version of the software began it.
    OriginUnknown,
    /// No attempt was executed, and no further attempt is allowed.
    NotExecuted,
    /// The deadline passed before the request was sent.
    TimeoutUnsent,
    /// The deadline passed after the request was sent.
    Timeout,
    /// The backend server failed or the connection to it broke, and the request may have run.
    BackendServer,
    /// The gateway itself failed, and the request may have run.
    Internal,
}

impl Cause {
    /// Status of the response. 429 and 503 guarantee that the request has not run and never will.
    fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Quota => StatusCode::TOO_MANY_REQUESTS,
            Self::Memory
            | Self::NotProved
            | Self::Leaving
            | Self::NoBackendServer
            | Self::Overload
            | Self::Floor
            | Self::Quarantined
            | Self::OriginUnknown
            | Self::NotExecuted
            | Self::TimeoutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::BackendServer => StatusCode::BAD_GATEWAY,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

impl From<PlacementError> for Cause {
    fn from(error: PlacementError) -> Self {
        match error {
            PlacementError::NoBackendServer => Self::NoBackendServer,
            PlacementError::Overload => Self::Overload,
            PlacementError::Floor => Self::Floor,
        }
    }
}

/// An error response that the gateway generates.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Reason for the refusal.
    pub cause: Cause,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
    /// Details of the exceeded quota, if that is the cause.
    pub quota_exceeded: Option<QuotaExceeded>,
    /// Whether the request's body had been read to its end.
    pub is_body_read: bool,
}

impl Refusal {
    /// Creates a refusal, without `Retry-After`, of a request whose body has been read.
    pub fn new(cause: Cause) -> Self {
        Self {
            cause,
            retry_after: None,
            quota_exceeded: None,
            is_body_read: true,
        }
    }

    /// Sets the time after which the caller should retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Marks a refusal whose request's body has not been read to its end.
    pub fn without_body(mut self) -> Self {
        self.is_body_read = false;
        self
    }

    /// Adds the details of the exceeded quota.
    pub fn with_quota_exceeded(mut self, exceeded: QuotaExceeded) -> Self {
        self.quota_exceeded = Some(exceeded);
        self
    }

    /// Builds the response to the request `id`.
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
        if matches!(
            self.cause,
            Cause::BodyTooLarge | Cause::BodyBroken | Cause::Memory
        ) {
            // The unread rest of the body must not be parsed as the next request.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
