//! Who asks for what, from the head of a request.

use {
    super::{Buffered, Inbound, estimate::model_cost},
    crate::{
        configuration::catalogue::{Catalogue, Version},
        router::refusal::Invalid,
    },
    gotham::hyper::{HeaderMap, Method, Uri, header::AUTHORIZATION},
    rand::Rng as _,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        cost::Cost,
        document::{
            Kind, Organisation, Tier,
            tier::{Disconnect, Late},
        },
        id,
        tier::Rank,
    },
    tamarackdale_wire::frame::Header,
};

/// Header that names a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header that names a tier.
pub const TIER: &str = "tamarackdale-tier";

/// Header with a deadline shorter than the tier's, in milliseconds.
pub const DEADLINE: &str = "tamarackdale-deadline-ms";

/// Longest key accepted, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The head of a caller's request, before its body has been read.
pub struct Head<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query as the caller sent them.
    pub uri: &'a Uri,
    /// HTTP headers.
    pub headers: &'a HeaderMap,
}

/// What the head alone tells: who asks for what.
pub struct Caller {
    version: Arc<Version>,
    organisation: Organisation,
    rank: Rank,
    tier: Tier,
    deadline: Duration,
    key: Option<String>,
    path: String,
}

impl Caller {
    /// Finds service, organisation, tier, deadline and key. `is_served` tells whether the router
    /// is to serve a service, whose document may not have come yet.
    ///
    /// Fails with the part of the request that is at fault.
    pub fn check(
        head: &Head<'_>,
        catalogue: &Catalogue,
        is_served: impl Fn(&str) -> bool,
    ) -> Result<Self, Invalid> {
        let (service, path) = split(head.uri).ok_or(Invalid::Service)?;
        let version = catalogue
            .get(service)
            .ok_or_else(|| match is_served(service) {
                true => Invalid::NotReady,
                false => Invalid::Service,
            })?;
        let api_key = bearer(head.headers).ok_or(Invalid::Authorization)?;
        let organisation = version
            .document
            .authenticate(api_key)
            .ok_or(Invalid::Authorization)?
            .clone();
        let (rank, tier) = find_tier(head.headers, &version, &organisation)?;
        let deadline = find_deadline(head.headers, tier.deadline)?;
        let key = find_key(head.headers)?;
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

    /// Adds the body.
    pub fn with_body(self, head: &Head<'_>, body: Buffered) -> Inbound {
        let document = &self.version.document;
        let keyed = self.key.is_some();
        let key = self.key.unwrap_or_else(draw_key);
        let cost = match document.kind {
            Kind::Model => model_cost(&body.bytes),
            Kind::Plain => Cost::default(),
        };
        Inbound {
            idempotent: document.is_idempotent(head.method.as_str(), without_query(&self.path)),
            headers: forwarded_headers(head.headers, &key),
            id: id::Request {
                service: document.service.clone(),
                organisation: self.organisation.name.clone(),
                key,
            },
            keyed,
            rank: self.rank,
            deadline: self.deadline,
            finish_late: self.tier.late == Late::Finish,
            finish_alone: self.tier.disconnect == Disconnect::Finish,
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

/// Splits `/{service}/{rest}` into the service and `/{rest}` with its query.
fn split(uri: &Uri) -> Option<(&str, String)> {
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

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Invalid> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| Invalid::Header(name))
}

fn find_tier(
    headers: &HeaderMap,
    version: &Version,
    organisation: &Organisation,
) -> Result<(Rank, Tier), Invalid> {
    let name = text(headers, TIER)?.unwrap_or(organisation.default_tier());
    let (rank, tier) = version.document.tier(name).ok_or(Invalid::Header(TIER))?;
    if !organisation.may_use(name) {
        return Err(Invalid::TierNotAllowed);
    }
    Ok((rank, tier.clone()))
}

fn find_deadline(headers: &HeaderMap, longest: Duration) -> Result<Duration, Invalid> {
    let Some(text) = text(headers, DEADLINE)? else {
        return Ok(longest);
    };
    match text.parse() {
        Ok(millis) if millis > 0 => Ok(longest.min(Duration::from_millis(millis))),
        _ => Err(Invalid::Header(DEADLINE)),
    }
}

fn find_key(headers: &HeaderMap) -> Result<Option<String>, Invalid> {
    let Some(key) = text(headers, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    // The draft standard makes the key a quoted string; most clients leave the quotes out.
    let key = key
        .strip_prefix('"')
        .and_then(|key| key.strip_suffix('"'))
        .unwrap_or(key);
    let usable = !key.is_empty()
        && key.len() <= MAX_KEY_BYTES
        && key.bytes().all(|byte| byte.is_ascii_graphic());
    if !usable {
        return Err(Invalid::Header(IDEMPOTENCY_KEY));
    }
    Ok(Some(key.to_owned()))
}

fn draw_key() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

/// The headers that the backend server gets: all but the caller's credentials and those meant
/// for the router, and always the key.
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
