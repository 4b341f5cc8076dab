//! The listener for callers.

use {
    super::{
        context::Context,
        follower::Snapshot,
        refusal::{Cause, Refusal},
        relay::{self, Request},
    },
    crate::{
        clock,
        http::{
            self,
            body::{self, ReadError},
        },
    },
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::{
            HeaderMap, Method, Response, Uri,
            header::{CONNECTION, HOST, HeaderValue},
        },
        router::Router,
        state::{FromState as _, State},
    },
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        directory::{Denial, Organisation, Route},
        patience, quota,
        time::Timestamp,
    },
    tamarackdale_platform::request::Head,
    tokio::time::timeout,
};

/// Time that a caller may take to send its body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// When to come back to a gateway without a proved configuration: another one will take the caller.
const UNPROVED_RETURN: Duration = Duration::from_millis(500);

/// When to come back to an instance that is about to end: another one takes the next connection.
const LEAVING_RETURN: Duration = Duration::from_millis(50);

/// The router of the callers' listener: every method and path.
pub fn routes(context: Context) -> Router {
    http::catch_all_router(context, serve)
}

async fn serve(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let mut response = answer(&context, &mut state).await;
    if context.closing.is_cancelled() {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok((state, response))
}

async fn answer(context: &Context, state: &mut State) -> Response<Body> {
    let accepted = context.clock.now();
    let caller_body = Body::take_from(state);
    let method = Method::take_from(state);
    let uri = Uri::take_from(state);
    let headers = HeaderMap::take_from(state);
    let head = match Head::decode(&headers) {
        Ok(head) => head,
        Err(error) => {
            log::info!(path = uri.path(); "malformed request: {error}");
            return Refusal::new(Cause::Malformed).response("");
        }
    };
    let id = head.id.clone();
    let arrival = Arrival {
        head,
        method,
        uri,
        headers,
        accepted,
    };
    match accept(context, arrival, caller_body).await {
        Ok(request) => relay::run(context, request).await,
        Err(refusal) => refuse(&id, refusal),
    }
}

fn refuse(id: &str, refusal: Refusal) -> Response<Body> {
    let retry_after = refusal.retry_after.unwrap_or_default();
    let excess = refusal.excess.as_ref();
    log::warn!(
        request = id,
        cause:% = refusal.cause,
        retry_after_ms = retry_after.as_millis() as u64,
        organisation = excess.map(|excess| excess.organisation.as_str()),
        quota_used = excess.map(|excess| excess.used),
        quota_assumed = excess.map(|excess| excess.assumed),
        quota_limit = excess.map(|excess| excess.limit);
        "refused"
    );
    refusal.response(id)
}

/// A request whose head has come.
struct Arrival {
    head: Head,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    accepted: Timestamp,
}

/// Checks a request against the configuration, reads its body and takes it into its quota.
async fn accept(context: &Context, arrival: Arrival, body: Body) -> Result<Request, Refusal> {
    if context.leaving.is_cancelled() {
        return Err(Refusal::new(Cause::Leaving).with_retry_after(LEAVING_RETURN));
    }
    let permit = permit(context, &arrival.headers, &arrival.uri, &arrival.head)?;
    let limit = permit.snapshot.value.limits().body_bytes;
    let bytes = match timeout(BODY_READ_TIMEOUT, body::read(body, limit)).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(ReadError::TooLarge)) => return Err(Refusal::new(Cause::BodyTooLarge)),
        Ok(Err(ReadError::Broken)) | Err(_) => return Err(Refusal::new(Cause::BodyBroken)),
    };
    let cost = charge(context, &permit, &arrival.head)?;
    Ok(Request {
        head: arrival.head,
        method: arrival.method,
        uri: arrival.uri,
        headers: arrival.headers,
        body: bytes,
        accepted: arrival.accepted,
        route: permit.route,
        organisation: permit.organisation,
        cost,
        admitted: context.clock.now(),
    })
}

/// What a request may do under the configuration in force.
struct Permit {
    snapshot: Arc<Snapshot>,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
}

/// Looks a request up in the configuration. Nothing is denied, and no key accepted, unless the
/// configuration is proved to be the newest.
fn permit(
    context: &Context,
    headers: &HeaderMap,
    uri: &Uri,
    head: &Head,
) -> Result<Permit, Refusal> {
    let unproved = || Refusal::new(Cause::NotProved).with_retry_after(UNPROVED_RETURN);
    let snapshot = context.snapshot().ok_or_else(unproved)?;
    let is_proved = snapshot.freshness.is_proved(clock::boottime_now());
    let deny = |denial: Denial| match (is_proved, denial) {
        (false, _) => unproved(),
        (true, Denial::NoRoute) => Refusal::new(Cause::NoRoute),
        (true, Denial::UnknownKey) => Refusal::new(Cause::UnknownKey),
    };
    let host = headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| uri.host())
        .unwrap_or_default();
    let directory = &snapshot.value;
    let route = directory.route(host, uri.path()).map_err(deny)?;
    let organisation = directory
        .organisation(route, head.key.as_deref())
        .map_err(deny)?;
    if organisation.is_some() && !is_proved {
        return Err(unproved());
    }
    Ok(Permit {
        route: Arc::clone(route),
        organisation: organisation.cloned(),
        snapshot,
    })
}

/// Takes the request into its organisation's quota; returns what it costs.
fn charge(context: &Context, permit: &Permit, head: &Head) -> Result<f64, Refusal> {
    let Some(organisation) = &permit.organisation else {
        return Ok(0.0);
    };
    let Some(quota) = organisation.quota else {
        return Ok(0.0);
    };
    let tokens = head
        .tokens
        .map(|tokens| tokens.prompt.saturating_add(tokens.output));
    let cost = quota::cost(quota.unit, tokens);
    match context.scheduler.admit(organisation, cost) {
        Ok(()) => Ok(cost),
        Err(excess) => {
            let time_left = head.time_left.unwrap_or(permit.route.timeout);
            let spread = patience::retry_after(time_left, context.scheduler.random());
            let refusal = Refusal::new(Cause::Quota).with_retry_after(excess.delay.max(spread));
            Err(refusal.with_excess(excess))
        }
    }
}
