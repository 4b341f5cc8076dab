//! The listener for callers.

use {
    super::{
        context::Context,
        inbound::{Buffered, Caller, Head, Inbound},
        refusal::Invalid,
        relay::{Relay, responder::Responder},
    },
    crate::http::{
        self,
        body::{self, ReadError},
    },
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::{HeaderMap, Method, Response, StatusCode, Uri},
        router::Router,
        state::{FromState as _, State},
    },
    hyper::body::Body as _,
    std::{sync::Arc, time::Duration},
    tokio::{sync::oneshot, time::timeout},
};

/// Time that a caller may take to send its body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The router of the callers' listener: every method and path.
pub fn routes(context: Context) -> Router {
    http::catch_all_router(context, serve)
}

async fn serve(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let response = match accept(&context, &mut state).await {
        Ok(request) => relay(&context, request).await,
        Err(invalid) => {
            log::info!(reason:% = invalid; "invalid request");
            invalid.response()
        }
    };
    Ok((state, response))
}

async fn accept(context: &Context, state: &mut State) -> Result<Inbound, Invalid> {
    let body = Body::take_from(state);
    let head = Head {
        method: Method::borrow_from(state),
        uri: Uri::borrow_from(state),
        headers: HeaderMap::borrow_from(state),
    };
    let catalogue = context.catalogue.borrow().clone();
    let is_served = |service: &str| context.configuration.needs(service);
    let caller = Caller::check(&head, &catalogue, is_served)?;
    let buffered = buffer(context, body).await?;
    Ok(caller.with_body(&head, buffered))
}

/// Reads a body within the router's budget: room for the largest body is reserved first, and what
/// was not needed is given back.
async fn buffer(context: &Context, body: Body) -> Result<Buffered, Invalid> {
    let limit = largest(context, &body)?;
    let mut reserved = Arc::clone(&context.buffers)
        .try_acquire_many_owned(limit)
        .map_err(|_| Invalid::Full)?;
    let reading = body::read(body, context.max_body_bytes);
    let bytes = match timeout(BODY_READ_TIMEOUT, reading).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(ReadError::TooLarge)) => return Err(Invalid::BodyTooLarge),
        Ok(Err(ReadError::Broken)) | Err(_) => return Err(Invalid::BodyBroken),
    };
    drop(reserved.split((limit as usize).saturating_sub(bytes.len())));
    Ok(Buffered {
        bytes,
        reserved: Arc::new(reserved),
    })
}

/// Most bytes that the body can have: its stated length, or else the limit.
fn largest(context: &Context, body: &Body) -> Result<u32, Invalid> {
    let limit = context.max_body_bytes as u64;
    let length = body.size_hint().upper().unwrap_or(limit);
    if length > limit {
        return Err(Invalid::BodyTooLarge);
    }
    u32::try_from(length).map_err(|_| Invalid::BodyTooLarge)
}

/// Relays the request in a task of its own, since this one ends when the caller goes away.
async fn relay(context: &Context, request: Inbound) -> Response<Body> {
    let (head, response) = oneshot::channel();
    let responder = Responder::new(head, request.finish_alone);
    let relay = Relay::new(context.clone(), request, responder);
    context.tracker.spawn(relay.run());
    response
        .await
        .unwrap_or_else(|_| body::status(StatusCode::INTERNAL_SERVER_ERROR))
}
