//! The listener for callers.

use {
    super::{
        context::Context,
        follower::Snapshot,
        refusal::{Cause, Refusal},
        relay::{self, Request},
    },
    crate::{
        http::{
            self,
            body::{self, Unreadable},
        },
        uptime,
    },
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::{
            HeaderMap, Method, Response, Uri,
            header::{CONNECTION, HOST, HeaderValue},
        },
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        router::{
            Router,
            builder::{DefineSingleRoute as _, DrawRoutes as _, build_router},
        },
        state::{FromState as _, State},
    },
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        directory::{Denial, Organisation, Route},
        patience, quota,
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
    let middleware = StateMiddleware::new(context);
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.request(http::methods(), "/").to_async(serve);
        route.request(http::methods(), "/*").to_async(serve);
    })
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
    let refuse = |refusal: Refusal| {
        let retry_after = refusal.retry_after.unwrap_or_default();
        log::warn!(
            request = id.as_str(),
            cause:% = refusal.cause,
            retry_after_ms = retry_after.as_millis() as u64;
            "refused"
        );
        refusal.response(&id)
    };
    if context.leaving.is_cancelled() {
        return refuse(Refusal::new(Cause::Leaving).with_retry_after(LEAVING_RETURN));
    }
    let permit = match permit(context, &headers, &uri, &head) {
        Ok(permit) => permit,
        Err(refusal) => return refuse(refusal),
    };
    let limit = permit.snapshot.directory.limits().body_bytes;
    let bytes = match timeout(BODY_READ_TIMEOUT, body::read(caller_body, limit)).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(Unreadable::TooLarge)) => return refuse(Refusal::new(Cause::BodyTooLarge)),
        Ok(Err(Unreadable::Broken)) | Err(_) => {
            return refuse(Refusal::new(Cause::BodyBroken));
        }
    };
    let cost = match charge(context, &permit, &head) {
        Ok(cost) => cost,
        Err(refusal) => return refuse(refusal),
    };
    let request = Request {
        head,
        method,
        uri,
        headers,
        body: bytes,
        accepted,
        route: permit.route,
        organisation: permit.organisation,
        cost,
    };
    relay::run(context, request).await
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
    let unproved = Refusal::new(Cause::NotProved).with_retry_after(UNPROVED_RETURN);
    let snapshot = context.snapshot().ok_or(unproved)?;
    let is_proved = snapshot.freshness.is_proved(uptime::boot_time());
    let deny = |denial: Denial| match (is_proved, denial) {
        (false, _) => unproved,
        (true, Denial::NoRoute) => Refusal::new(Cause::NoRoute),
        (true, Denial::UnknownKey) => Refusal::new(Cause::UnknownKey),
    };
    let host = headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| uri.host())
        .unwrap_or_default();
    let directory = &snapshot.directory;
    let route = directory.route(host, uri.path()).map_err(deny)?;
    let organisation = directory
        .organisation(route, head.key.as_deref())
        .map_err(deny)?;
    if organisation.is_some() && !is_proved {
        return Err(unproved);
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
        Err(delay) => {
            let time_left = head.time_left.unwrap_or(permit.route.timeout);
            let spread = patience::retry_after(time_left, context.scheduler.random());
            Err(Refusal::new(Cause::Quota).with_retry_after(delay.max(spread)))
        }
    }
}
