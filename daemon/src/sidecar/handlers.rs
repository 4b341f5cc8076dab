//! HTTP handlers of the sidecar's peer listener, for routers and other daemons.

use {
    super::{
        context::Context,
        dispatch::{Command, Offer},
        reader::Reader,
        report_stream,
        response_buffer::Position,
        task::{self, Handle},
    },
    crate::{
        configuration,
        http::{
            self, body,
            memory::{Connection, ReadError},
        },
    },
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::{
            Response, StatusCode,
            header::{CONNECTION, HeaderValue, RETRY_AFTER},
        },
        router::{
            Router,
            builder::{DefineSingleRoute as _, DrawRoutes as _},
        },
        state::{FromState as _, State},
    },
    serde::de::DeserializeOwned,
    std::time::Duration,
    tamarackdale_core::{failure::Failure, id},
    tamarackdale_wire::{
        Frame, codec,
        message::{Acknowledge, Cancel, Enqueue, Floor, Grant, GrantResponse, Notices, Resume},
        path,
    },
    tokio::time::timeout,
};

/// Allowance for the parts of a message other than the request's body, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 256 * 1024;

/// Time for a message to arrive. A router waits for less.
const MESSAGE_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Routes of the peer listener.
pub fn routes(context: Context) -> Router {
    http::router(context, |route| {
        route.post(path::ENQUEUE).to_async(enqueue);
        route.post(path::GRANT).to_async(grant);
        route.post(path::RESUME).to_async(resume);
        route.post(path::CANCEL).to_async(cancel);
        route.post(path::ACKNOWLEDGE).to_async(acknowledge);
        route.post(path::FLOOR).to_async(floor);
        route.post(path::NOTICES).to_async(notices);
        route
            .get(path::REPORTS)
            .with_query_string_extractor::<report_stream::Query>()
            .to_async(reports);
        configuration::handlers::add_routes::<Context, _, _>(route);
    })
}

async fn enqueue(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let response = match read::<Enqueue>(&context, &mut state).await {
        Ok(mut message) => {
            let memory = Connection::of(&state).account().clone();
            message.body = memory.hold_copy(message.body);
            enqueue_attempt(&context, message).await
        }
        Err(response) => response,
    };
    Ok((state, response))
}

async fn enqueue_attempt(context: &Context, message: Enqueue) -> Response<Body> {
    let offer = Box::new(Offer::from(&message));
    let handle = task::spawn(&context.tasks, message);
    let reader_handle = handle.clone();
    let accepted = context
        .dispatch
        .ask(|reply| Command::Enqueue {
            offer,
            task: handle,
            reply,
        })
        .await;
    match accepted.and_then(|result| result) {
        Ok(()) => frames_response(context, reader_handle, Position::default()),
        Err(failure) => failure_response(failure),
    }
}

async fn grant(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let response = match read::<Grant>(&context, &mut state).await {
        Ok(grant) => body::msgpack(&grant_attempt(&context, grant).await),
        Err(response) => response,
    };
    Ok((state, response))
}

async fn grant_attempt(context: &Context, grant: Grant) -> GrantResponse {
    let granted = context
        .dispatch
        .ask(|reply| Command::Grant {
            attempt: grant.attempt.into(),
            boot: id::Boot(grant.boot),
            reply,
        })
        .await;
    match granted {
        Ok(Ok(())) => GrantResponse::Dispatched,
        // An outer failure: the dispatch worker did not reply, but the router may send the grant again.
        Ok(Err(failure)) | Err(failure) => GrantResponse::Refused {
            attempt: grant.attempt,
            failure: failure.into(),
        },
    }
}

async fn resume(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let response = match read::<Resume>(&context, &mut state).await {
        Ok(resume) => resume_attempt(&context, resume).await,
        Err(response) => response,
    };
    Ok((state, response))
}

async fn resume_attempt(context: &Context, resume: Resume) -> Response<Body> {
    let position = Position {
        ready: true,
        head: resume.head_received,
        offset: resume.offset,
    };
    let found = context
        .dispatch
        .ask(|reply| Command::Resume {
            attempt: resume.attempt.into(),
            boot: id::Boot(resume.boot),
            reply,
        })
        .await;
    match found {
        Ok(Ok(handle)) => frames_response(context, handle, position),
        Ok(Err(failure)) => failure_response(failure),
        // Without a reply from the dispatch worker, the state of the attempt is unknown.
        Err(_) => body::status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn cancel(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let response = match read::<Cancel>(&context, &mut state).await {
        Ok(cancel) if context.is_current_boot(cancel.boot) => {
            let attempt = cancel.attempt.into();
            // Best effort: the task of a disconnected router ends by itself.
            let _ = context.dispatch.send(Command::Cancel { attempt });
            body::status(StatusCode::NO_CONTENT)
        }
        Ok(_) => body::status(StatusCode::GONE),
        Err(response) => response,
    };
    Ok((state, response))
}

async fn acknowledge(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let response = match read::<Acknowledge>(&context, &mut state).await {
        Ok(acknowledge) if context.is_current_boot(acknowledge.boot) => {
            let command = Command::Acknowledge {
                attempt: acknowledge.attempt.into(),
                offset: acknowledge.offset,
                complete: acknowledge.complete,
            };
            // Best effort: a response that is not acknowledged is dropped after its retention time.
            let _ = context.dispatch.send(command);
            body::status(StatusCode::NO_CONTENT)
        }
        Ok(_) => body::status(StatusCode::GONE),
        Err(response) => response,
    };
    Ok((state, response))
}

async fn floor(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let response = match read::<Floor>(&context, &mut state).await {
        Ok(floor) => match context.dispatch.send(Command::Floor(floor.into())) {
            Ok(()) => body::status(StatusCode::NO_CONTENT),
            Err(_) => body::status(StatusCode::SERVICE_UNAVAILABLE),
        },
        Err(response) => response,
    };
    Ok((state, response))
}

async fn notices(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let response = match read::<Notices>(&context, &mut state).await {
        Ok(told) => {
            let notices = told.into_notices(context.tasks.clock.now());
            match context.dispatch.send(Command::Notices(notices)) {
                Ok(()) => body::status(StatusCode::NO_CONTENT),
                Err(_) => body::status(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
        Err(response) => response,
    };
    Ok((state, response))
}

async fn reports(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let query = report_stream::Query::take_from(&mut state);
    let reports = report_stream::open(
        context.report,
        query,
        context.tasks.clock,
        context.report_interval,
        context.drained,
    );
    let response = Response::new(body::stream(reports));
    Ok((state, response))
}

fn frames_response(context: &Context, handle: Handle, position: Position) -> Response<Body> {
    let report = context.report.clone();
    let floor = move || report.borrow().floor.rank;
    let reader = Reader::new(handle, position, floor);
    Response::new(body::stream(reader.into_stream()))
}

fn failure_response(failure: Failure) -> Response<Body> {
    let frame = Frame::Failed(failure.into());
    match codec::encode_item(&frame) {
        Ok(bytes) => Response::new(body::full(bytes)),
        Err(error) => {
            log::error!("cannot encode the response: {error}");
            body::status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// The response to a message for which there is no memory, and which has no effect.
fn without_memory() -> Response<Body> {
    let mut response = body::status(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

async fn read<T: DeserializeOwned>(
    context: &Context,
    state: &mut State,
) -> Result<T, Response<Body>> {
    let limit = context.max_body_bytes + MESSAGE_OVERHEAD_BYTES;
    let connection = Connection::of(state);
    let reading = connection.read(Body::take_from(state), limit);
    let Ok(read) = timeout(MESSAGE_READ_TIMEOUT, reading).await else {
        log::info!("a message was not received in time");
        return Err(body::status(StatusCode::REQUEST_TIMEOUT));
    };
    let bytes = match read {
        Ok(bytes) => bytes,
        Err(ReadError::NoMemory) => {
            log::warn!("there is no memory for a message");
            return Err(without_memory());
        }
        Err(ReadError::TooLarge) => {
            log::warn!(limit; "a message is larger than the limit");
            return Err(body::status(StatusCode::PAYLOAD_TOO_LARGE));
        }
        Err(ReadError::Broken) => {
            log::info!("a message was not received to its end");
            return Err(body::status(StatusCode::BAD_REQUEST));
        }
    };
    codec::decode(&bytes).map_err(|error| {
        log::warn!("cannot decode a message: {error}");
        body::status(StatusCode::BAD_REQUEST)
    })
}
