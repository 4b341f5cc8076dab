//! Request handler of the callers' listener.

use {
    super::{
        context::Context,
        follower::Snapshot,
        refusal::{Cause, LEAVING_RETRY_AFTER, Refusal},
        relay::{self, Request},
    },
    crate::{
        clock,
        http::{
            self,
            memory::{Connection, ReadError},
        },
    },
    futures_util::FutureExt as _,
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
    std::{panic::AssertUnwindSafe, sync::Arc, time::Duration},
    tamarackdale_core::{
        quota,
        routing_config::{Denial, Organisation, Route},
        time::Timestamp,
        wait_policy,
        wait_queue::SchedulingKey,
    },
    tamarackdale_platform::request::RequestHead,
    tokio::time::timeout,
};

/// Timeout for receiving the body of a request.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// `Retry-After` of a gateway whose configuration is not confirmed to be current. Another gateway
/// can serve the retry.
const NOT_PROVED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` of a gateway whose memory for callers is full. Another gateway can serve the retry.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Routes every method and path of the callers' listener to one handler.
pub fn routes(context: Context) -> Router {
    http::catch_all_router(context, handle)
}

async fn handle(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let mut response = respond(&context, &mut state).await;
    if context.shutdown.closing.is_cancelled() {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok((state, response))
}

async fn respond(context: &Context, state: &mut State) -> Response<Body> {
    let accepted = context.clock.now();
    let connection = Connection::of(state);
    let caller_body = Body::take_from(state);
    let method = Method::take_from(state);
    let uri = Uri::take_from(state);
    let headers = HeaderMap::take_from(state);
    let head = match RequestHead::decode(&headers) {
        Ok(head) => head,
        Err(error) => {
            log::info!(path = uri.path(), body_read = false; "invalid request headers: {error}");
            return Refusal::new(Cause::Malformed).response("");
        }
    };
    let id = head.id.clone();
    let incoming = IncomingRequest {
        head,
        method,
        uri,
        headers,
        accepted,
        connection,
    };
    let response = async {
        match accept_before_end(context, incoming, caller_body).await {
            Ok(request) => relay::run(context, request).await,
            Err(refusal) => refuse(context, &id, refusal),
        }
    };
    or_refusal(&id, response).await
}

/// Accepts the request, unless the shutdown ends what is in progress before that.
async fn accept_before_end(
    context: &Context,
    incoming: IncomingRequest,
    body: Body,
) -> Result<Request, Refusal> {
    tokio::select! {
        biased;
        accepted = accept(context, incoming, body) => accepted,
        () = context.shutdown.ending.cancelled() => {
            let refusal = Refusal::new(Cause::Leaving).with_retry_after(LEAVING_RETRY_AFTER);
            Err(refusal.without_body())
        }
    }
}

/// Returns the response to the request `id`, or a refusal if there is none because of a panic.
pub async fn or_refusal(
    id: &str,
    response: impl Future<Output = Response<Body>>,
) -> Response<Body> {
    // A panic leaves the state of the scheduler as whole as a caller that leaves at that moment.
    let response = AssertUnwindSafe(response).catch_unwind().await;
    response.unwrap_or_else(|_| {
        log::error!(request = id; "panic at a request");
        Refusal::new(Cause::Internal).response(id)
    })
}

fn refuse(context: &Context, id: &str, refusal: Refusal) -> Response<Body> {
    let retry_after = refusal.retry_after.unwrap_or_default();
    let exceeded = refusal.quota_exceeded.as_ref();
    log::warn!(
        request = id,
        cause:% = refusal.cause,
        body_read = refusal.is_body_read,
        retry_after_ms = retry_after.as_millis() as u64,
        closing_for_ms = context.closing_for_ms(),
        organisation = exceeded.map(|exceeded| exceeded.organisation.as_str()),
        quota_used = exceeded.map(|exceeded| exceeded.used),
        quota_assumed = exceeded.map(|exceeded| exceeded.assumed),
        quota_limit = exceeded.map(|exceeded| exceeded.limit);
        "refused"
    );
    refusal.response(id)
}

/// A request whose headers have been received.
struct IncomingRequest {
    head: RequestHead,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    accepted: Timestamp,
    connection: Connection,
}

/// Authorises a request, reads its body and charges it to the organisation's quota.
async fn accept(
    context: &Context,
    incoming: IncomingRequest,
    body: Body,
) -> Result<Request, Refusal> {
    let authorised = authorise(context, &incoming.headers, &incoming.uri, &incoming.head)
        .map_err(Refusal::without_body)?;
    let limit = authorised.snapshot.value.limits().body_bytes;
    let bytes = match timeout(BODY_READ_TIMEOUT, incoming.connection.read(body, limit)).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(ReadError::TooLarge)) => {
            return Err(Refusal::new(Cause::BodyTooLarge).without_body());
        }
        Ok(Err(ReadError::NoMemory)) => {
            let refusal = Refusal::new(Cause::Memory).with_retry_after(MEMORY_RETRY_AFTER);
            return Err(refusal.without_body());
        }
        Ok(Err(ReadError::Broken)) | Err(_) => {
            return Err(Refusal::new(Cause::BodyBroken).without_body());
        }
    };
    let cost = charge(context, &authorised, &incoming.head, incoming.accepted).await?;
    Ok(Request {
        head: incoming.head,
        method: incoming.method,
        uri: incoming.uri,
        headers: incoming.headers,
        body: bytes,
        accepted: incoming.accepted,
        configuration_version: authorised.snapshot.version,
        route: authorised.route,
        organisation: authorised.organisation,
        cost,
        admitted: context.clock.now(),
    })
}

/// A request's route and organisation under the current configuration.
struct Authorised {
    snapshot: Arc<Snapshot>,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
}

/// Finds the request's route and checks its API key. Unless the configuration is confirmed to be
/// current, no API key is accepted, and a request that it denies is refused as `NotProved`. One that
/// has been superseded for too long serves nobody.
fn authorise(
    context: &Context,
    headers: &HeaderMap,
    uri: &Uri,
    head: &RequestHead,
) -> Result<Authorised, Refusal> {
    let not_proved = || Refusal::new(Cause::NotProved).with_retry_after(NOT_PROVED_RETRY_AFTER);
    let snapshot = context.snapshot().ok_or_else(not_proved)?;
    let now = clock::boottime_now();
    if !snapshot.is_usable(now) {
        return Err(not_proved());
    }
    let is_fresh = snapshot.freshness.is_fresh(now);
    let deny = |denial: Denial| match (is_fresh, denial) {
        (false, _) => not_proved(),
        (true, Denial::NoRoute) => Refusal::new(Cause::NoRoute),
        (true, Denial::UnknownKey) => Refusal::new(Cause::UnknownKey),
    };
    let host = headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| uri.host())
        .unwrap_or_default();
    let routing_config = &snapshot.value;
    let route = routing_config.route(host, uri.path()).map_err(deny)?;
    let organisation = routing_config
        .organisation(route, head.api_key.as_deref())
        .map_err(deny)?;
    if organisation.is_some() && !is_fresh {
        return Err(not_proved());
    }
    Ok(Authorised {
        route: Arc::clone(route),
        organisation: organisation.cloned(),
        snapshot,
    })
}

/// Charges the request to its organisation's quota, for which it may have to wait. Returns the cost.
async fn charge(
    context: &Context,
    authorised: &Authorised,
    head: &RequestHead,
    accepted: Timestamp,
) -> Result<f64, Refusal> {
    let Some(organisation) = &authorised.organisation else {
        return Ok(0.0);
    };
    let Some(quota) = organisation.quota else {
        return Ok(0.0);
    };
    let tokens = head
        .tokens
        .map(|tokens| tokens.prompt.saturating_add(tokens.max_output));
    let cost = quota::cost(quota.unit, tokens);
    let route = &authorised.route;
    let time_left = head.time_budget.unwrap_or(route.timeout);
    let outer = organisation.rank.unwrap_or(route.rank);
    let key = SchedulingKey {
        rank: route.rank.nested_in(outer),
        is_resumed: head.last_event.is_some(),
        is_retry: wait_policy::is_retry(time_left, route.timeout),
        on_time_until: accepted.plus(route.objective),
    };
    let deadline = accepted.plus(time_left.min(route.timeout));
    let wait_until = wait_policy::wait_deadline(accepted, deadline);
    let admitted = context.scheduler.admit(organisation, cost, key, wait_until);
    match admitted.await {
        Ok(()) => Ok(cost),
        Err(exceeded) => {
            let random_delay = wait_policy::retry_after(time_left, context.scheduler.random());
            let refusal =
                Refusal::new(Cause::Quota).with_retry_after(exceeded.delay.max(random_delay));
            Err(refusal.with_quota_exceeded(exceeded))
        }
    }
}
