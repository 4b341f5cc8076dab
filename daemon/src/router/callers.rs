//! The caller listener: accepts requests and starts a relay for each.

use {
    super::{
        context::Context,
        inbound::{AuthenticatedHead, BufferedBody, InboundRequest, RequestHead},
        refusal::InvalidRequest,
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

/// Timeout for reading a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the routes of the caller listener, which serves every method and path.
pub fn routes(context: Context) -> Router {
    http::catch_all_router(context, serve)
}

async fn serve(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let response = match accept(&context, &mut state).await {
        Ok(request) => run_relay(&context, request).await,
        Err(invalid) => {
            log::info!(reason:% = invalid, body_read = false; "invalid request");
            invalid.response()
        }
    };
    Ok((state, response))
}

async fn accept(context: &Context, state: &mut State) -> Result<InboundRequest, InvalidRequest> {
    let body = Body::take_from(state);
    let head = RequestHead {
        method: Method::borrow_from(state),
        uri: Uri::borrow_from(state),
        headers: HeaderMap::borrow_from(state),
    };
    let catalogue = context.catalogue.borrow().clone();
    let is_served = |service: &str| context.configuration.needs(service);
    let authenticated = AuthenticatedHead::parse(&head, &catalogue, is_served)?;
    let body = tokio::select! {
        body = buffer_body(context, body) => body?,
        () = context.shutdown.ending.cancelled() => {
            log::warn!(
                key = authenticated.key();
                "body not received before the end of the shutdown"
            );
            return Err(InvalidRequest::Closing);
        }
    };
    Ok(authenticated.into_request(&head, body))
}

/// Reads a body within the router's memory budget for bodies: reserves the largest possible length
/// first and returns the unused part afterwards.
async fn buffer_body(context: &Context, body: Body) -> Result<BufferedBody, InvalidRequest> {
    let reservation = max_body_len(context, &body)?;
    let mut reserved = Arc::clone(&context.body_budget)
        .try_acquire_many_owned(reservation)
        .map_err(|_| InvalidRequest::Full)?;
    let reading = body::read(body, context.max_body_bytes);
    let bytes = match timeout(BODY_READ_TIMEOUT, reading).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(ReadError::TooLarge)) => return Err(InvalidRequest::BodyTooLarge),
        Ok(Err(ReadError::Broken)) | Err(_) => return Err(InvalidRequest::BodyBroken),
    };
    drop(reserved.split((reservation as usize).saturating_sub(bytes.len())));
    Ok(BufferedBody {
        bytes,
        reserved: Arc::new(reserved),
    })
}

/// Returns the largest possible length of the body: its declared length, or else the limit.
fn max_body_len(context: &Context, body: &Body) -> Result<u32, InvalidRequest> {
    let limit = context.max_body_bytes as u64;
    let length = body.size_hint().upper().unwrap_or(limit);
    if length > limit {
        return Err(InvalidRequest::BodyTooLarge);
    }
    u32::try_from(length).map_err(|_| InvalidRequest::BodyTooLarge)
}

/// Relays the request in a separate task, because the handler's task is dropped when the caller
/// disconnects.
async fn run_relay(context: &Context, request: InboundRequest) -> Response<Body> {
    let (head, response) = oneshot::channel();
    let responder = Responder::new(head, request.finish_alone);
    let relay = Relay::new(context.clone(), request, responder);
    context.tracker.spawn(relay.run());
    response
        .await
        .unwrap_or_else(|_| body::status(StatusCode::INTERNAL_SERVER_ERROR))
}
