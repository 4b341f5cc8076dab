//! Tells operators why a request went where it went.

use {
    super::context::Context,
    crate::http::body,
    gotham::{
        handler::HandlerResult,
        hyper::StatusCode,
        prelude::{StateData, StaticResponseExtender},
        state::{FromState as _, State},
    },
    serde::Deserialize,
};

/// Path parameters of an explanation.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub struct Path {
    request: String,
}

/// Answers with the decisions on a request that the router remembers.
pub async fn get_decisions(mut state: State) -> HandlerResult {
    let path = Path::take_from(&mut state);
    let context = Context::borrow_from(&state);
    let response = match context.placement.recall(&path.request).await {
        Ok(mut decisions) => {
            for decision in &mut decisions {
                decision.router = context.configuration.instance().to_owned();
            }
            body::msgpack(&decisions)
        }
        Err(_) => body::status(StatusCode::SERVICE_UNAVAILABLE),
    };
    Ok((state, response))
}
