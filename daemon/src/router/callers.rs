//! The caller listener: accepts requests and starts a relay for each.

use {
    super::{
        context::Context,
        inbound::{AuthenticatedHead, InboundRequest, RequestHead},
        refusal::InvalidRequest,
        relay::{Relay, responder::Responder},
    },
    crate::http::{
        self, body,
        memory::{Connection, ReadError},
    },
    bytes::Bytes,
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::{HeaderMap, Method, Response, StatusCode, Uri},
        router::Router,
        state::{FromState as _, State},
    },
    std::time::Duration,
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
    let connection = Connection::of(state);
    let head = RequestHead {
        method: Method::borrow_from(state),
        uri: Uri::borrow_from(state),
        headers: HeaderMap::borrow_from(state),
    };
    let catalogue = context.catalogue.borrow().clone();
    let is_served = |service: &str| context.configuration.needs(service);
    let authenticated = AuthenticatedHead::parse(&head, &catalogue, is_served)?;
    let body = tokio::select! {
        body = buffer_body(context, &connection, body) => body?,
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

/// Reads a body within the router's memory for callers.
async fn buffer_body(
    context: &Context,
    connection: &Connection,
    body: Body,
) -> Result<Bytes, InvalidRequest> {
    let reading = connection.read(body, context.max_body_bytes);
    match timeout(BODY_READ_TIMEOUT, reading).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(ReadError::TooLarge)) => Err(InvalidRequest::BodyTooLarge),
        Ok(Err(ReadError::NoMemory)) => Err(InvalidRequest::Full),
        Ok(Err(ReadError::Broken)) | Err(_) => Err(InvalidRequest::BodyBroken),
    }
}

/// Relays the request in a separate task, because the handler's task is dropped when the caller
/// disconnects.
async fn run_relay(context: &Context, request: InboundRequest) -> Response<Body> {
    let (head, response) = oneshot::channel();
    let responder = Responder::new(head, request.finish_alone, context.memory.clone());
    let relay = Relay::new(context.clone(), request, responder);
    context.tracker.spawn(relay.run());
    response
        .await
        .unwrap_or_else(|_| body::status(StatusCode::INTERNAL_SERVER_ERROR))
}
