//! Parses and authenticates the head of a caller's request.

use {
    super::{InboundRequest, estimate::estimate_model_cost},
    crate::{
        configuration::catalogue::{Catalogue, Version},
        router::refusal::InvalidRequest,
    },
    bytes::Bytes,
    gotham::hyper::{HeaderMap, Method, Uri, header::AUTHORIZATION},
    rand::Rng as _,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        cost::Cost,
        document::{
            Kind, Organisation, Tier,
            tier::{DisconnectPolicy, LatePolicy},
        },
        id,
        tier::Rank,
    },
    tamarackdale_wire::frame::Header,
};

/// Header with the idempotency key, which identifies the request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the name of the requested tier.
pub const TIER: &str = "tamarackdale-tier";

/// Header with a deadline shorter than the tier's, in milliseconds.
pub const DEADLINE: &str = "tamarackdale-deadline-ms";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The head of a caller's request, before its body has been read.
pub struct RequestHead<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query as sent by the caller.
    pub uri: &'a Uri,
    /// HTTP headers.
    pub headers: &'a HeaderMap,
}

/// An authenticated request head, before the body has been read.
pub struct AuthenticatedHead {
    version: Arc<Version>,
    organisation: Organisation,
    rank: Rank,
    tier: Tier,
    deadline: Duration,
    key: Option<String>,
    path: String,
}

impl AuthenticatedHead {
    /// Determines service, organisation, tier, deadline and key. `is_served` tells whether this
    /// router serves a service, whose document may not have arrived yet.
    ///
    /// Fails with the first part of the request that is invalid.
    pub fn parse(
        head: &RequestHead<'_>,
        catalogue: &Catalogue,
        is_served: impl Fn(&str) -> bool,
    ) -> Result<Self, InvalidRequest> {
        let (service, path) = split_service(head.uri).ok_or(InvalidRequest::UnknownService)?;
        let version = catalogue
            .get(service)
            .ok_or_else(|| match is_served(service) {
                true => InvalidRequest::NotReady,
                false => InvalidRequest::UnknownService,
            })?;
        let api_key = bearer_token(head.headers).ok_or(InvalidRequest::Unauthorized)?;
        let organisation = version
            .document
            .authenticate(api_key)
            .ok_or(InvalidRequest::Unauthorized)?
            .clone();
        let (rank, tier) = parse_tier(head.headers, &version, &organisation)?;
        let deadline = parse_deadline(head.headers, tier.deadline)?;
        let key = parse_key(head.headers)?;
        Ok(Self {
            version,
            organisation,
            rank,
            tier,
            deadline,
            key,
            path,
        })
    }

    /// The idempotency key that the caller gave.
    pub fn key(&self) -> Option<&str> {
        self.key.as_deref()
    }

    /// Combines the head with the body.
    pub fn into_request(self, head: &RequestHead<'_>, body: Bytes) -> InboundRequest {
        let document = &self.version.document;
        let has_caller_key = self.key.is_some();
        let key = self.key.unwrap_or_else(random_key);
        let cost = match document.kind {
            Kind::Model => estimate_model_cost(&body),
            Kind::Plain => Cost::default(),
        };
        InboundRequest {
            idempotent: document.is_idempotent(head.method.as_str(), without_query(&self.path)),
            headers: forwarded_headers(head.headers, &key),
            id: id::Request {
                service: document.service.clone(),
                organisation: self.organisation.name.clone(),
                key,
            },
            has_caller_key,
            rank: self.rank,
            deadline: self.deadline,
            finish_late: self.tier.late == LatePolicy::Finish,
            finish_alone: self.tier.disconnect == DisconnectPolicy::Finish,
            tier: self.tier.name,
            weight: self.organisation.weight,
            cost,
            method: head.method.clone(),
            path: self.path,
            body,
            version: self.version,
        }
    }
}

/// Splits `/{service}/{rest}` into the service and `/{rest}`, including the query.
fn split_service(uri: &Uri) -> Option<(&str, String)> {
    let path = uri.path().strip_prefix('/')?;
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let query = uri
        .query()
        .map_or(String::new(), |query| format!("?{query}"));
    Some((service, format!("/{rest}{query}")))
}

fn without_query(path: &str) -> &str {
    path.split_once('?').map_or(path, |(path, _)| path)
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, InvalidRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| InvalidRequest::InvalidHeader(name))
}

fn parse_tier(
    headers: &HeaderMap,
    version: &Version,
    organisation: &Organisation,
) -> Result<(Rank, Tier), InvalidRequest> {
    let name = header_text(headers, TIER)?.unwrap_or(organisation.default_tier());
    let (rank, tier) = version
        .document
        .tier(name)
        .ok_or(InvalidRequest::InvalidHeader(TIER))?;
    if !organisation.may_use(name) {
        return Err(InvalidRequest::TierNotAllowed);
    }
    Ok((rank, tier.clone()))
}

fn parse_deadline(headers: &HeaderMap, longest: Duration) -> Result<Duration, InvalidRequest> {
    let Some(text) = header_text(headers, DEADLINE)? else {
        return Ok(longest);
    };
    match text.parse() {
        Ok(millis) if millis > 0 => Ok(longest.min(Duration::from_millis(millis))),
        _ => Err(InvalidRequest::InvalidHeader(DEADLINE)),
    }
}

fn parse_key(headers: &HeaderMap) -> Result<Option<String>, InvalidRequest> {
    let Some(key) = header_text(headers, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    // The draft standard requires a quoted string, but most clients omit the quotes.
    let key = key
        .strip_prefix('"')
        .and_then(|key| key.strip_suffix('"'))
        .unwrap_or(key);
    let usable = !key.is_empty()
        && key.len() <= MAX_KEY_BYTES
        && key.bytes().all(|byte| byte.is_ascii_graphic());
    if !usable {
        return Err(InvalidRequest::InvalidHeader(IDEMPOTENCY_KEY));
    }
    Ok(Some(key.to_owned()))
}

fn random_key() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

/// Returns the headers for the backend server: all except the caller's credentials and those for
/// the router, and always the idempotency key.
fn forwarded_headers(headers: &HeaderMap, key: &str) -> Vec<Header> {
    let mut forwarded: Vec<Header> = headers
        .iter()
        .filter(|(name, _)| {
            *name != AUTHORIZATION && !matches!(name.as_str(), TIER | DEADLINE | IDEMPOTENCY_KEY)
        })
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    forwarded.push(Header {
        name: IDEMPOTENCY_KEY.to_owned(),
        value: key.as_bytes().to_vec(),
    });
    forwarded
}
