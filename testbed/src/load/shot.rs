//! A request to offer, and the answer that it should get.

use {
    crate::engine::answer,
    bytes::Bytes,
    hyper::{Method, Request, http},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tamarackdale_core::digest,
};

/// A request to a router.
#[derive(Clone, Debug)]
pub struct Shot {
    /// HTTP method.
    pub method: Method,
    /// Service asked.
    pub service: String,
    /// Path and query below the service's name, with the leading slash.
    pub path: String,
    /// API key of the organisation that asks.
    pub api_key: String,
    /// Tier; the organisation's first if `None`.
    pub tier: Option<String>,
    /// Deadline shorter than the tier's.
    pub deadline: Option<Duration>,
    /// Time within which the whole answer is worth having; always if `None`.
    pub due: Option<Duration>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Body.
    pub body: Bytes,
    /// The whole answer.
    pub expected: Expected,
}

/// The whole answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Events whose text is this.
    Text(String),
    /// A plain service's answer with these members.
    Object {
        /// Path and query.
        path: String,
        /// Checksum of the body.
        fingerprint: u64,
    },
}

impl Expected {
    /// Whether `body` is this answer and all of it.
    pub fn is_whole(&self, body: &[u8]) -> bool {
        match self {
            Self::Text(text) => std::str::from_utf8(body)
                .ok()
                .and_then(|body| answer::collect(body).ok())
                .is_some_and(|found| found == *text),
            Self::Object { path, fingerprint } => {
                let found: Value = serde_json::from_slice(body).unwrap_or_default();
                found["path"] == *path && found["fingerprint"] == format!("{fingerprint:016x}")
            }
        }
    }
}

impl Shot {
    /// A streaming request to a model engine.
    pub fn model(
        service: &str,
        api_key: &str,
        model: &str,
        input: &str,
        output_tokens: u32,
    ) -> Self {
        let body = json!({
            "model": model,
            "input": input,
            "max_output_tokens": output_tokens,
            "stream": true,
        });
        Self {
            method: Method::POST,
            service: service.to_owned(),
            path: "/v1/responses".to_owned(),
            api_key: api_key.to_owned(),
            tier: None,
            deadline: None,
            due: None,
            key: None,
            body: body.to_string().into(),
            expected: Expected::Text(answer::text(model, input, output_tokens)),
        }
    }

    /// A request to a plain service.
    pub fn plain(service: &str, api_key: &str, method: Method, path: &str, body: &str) -> Self {
        Self {
            method,
            service: service.to_owned(),
            path: path.to_owned(),
            api_key: api_key.to_owned(),
            tier: None,
            deadline: None,
            due: None,
            key: None,
            body: body.to_owned().into(),
            expected: Expected::Object {
                path: path.to_owned(),
                fingerprint: digest::fingerprint(body.as_bytes()),
            },
        }
    }

    /// Names the tier.
    pub fn with_tier(mut self, tier: &str) -> Self {
        self.tier = Some(tier.to_owned());
        self
    }

    /// Sets a deadline shorter than the tier's.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets the time within which the whole answer is worth having.
    pub fn with_due(mut self, due: Duration) -> Self {
        self.due = Some(due);
        self
    }

    /// Sets the idempotency key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// The HTTP request to a router.
    ///
    /// # Errors
    ///
    /// Fails when a part is not valid in HTTP.
    pub fn request(&self, router: SocketAddr) -> Result<Request<Bytes>, http::Error> {
        self.build(&format!("http://{router}/{}{}", self.service, self.path))
    }

    /// The HTTP request straight to a backend server.
    ///
    /// # Errors
    ///
    /// Fails when a part is not valid in HTTP.
    pub fn direct_request(&self, server: SocketAddr) -> Result<Request<Bytes>, http::Error> {
        self.build(&format!("http://{server}{}", self.path))
    }

    fn build(&self, url: &str) -> Result<Request<Bytes>, http::Error> {
        let mut builder = Request::builder()
            .method(&self.method)
            .uri(url)
            .header("authorization", format!("Bearer {}", self.api_key))
            .header("content-type", "application/json");
        if let Some(tier) = &self.tier {
            builder = builder.header("tamarackdale-tier", tier);
        }
        if let Some(deadline) = self.deadline {
            builder = builder.header("tamarackdale-deadline-ms", deadline.as_millis() as u64);
        }
        if let Some(key) = &self.key {
            builder = builder.header("idempotency-key", key);
        }
        builder.body(self.body.clone())
    }
}
