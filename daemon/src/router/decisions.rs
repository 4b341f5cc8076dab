//! Handler that shows operators the placement decisions on a request.

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

/// Path parameters of the decisions route.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub struct Path {
    request: String,
}

/// Responds with the logged placement decisions on a request.
pub async fn get_decisions(mut state: State) -> HandlerResult {
    let path = Path::take_from(&mut state);
    let context = Context::borrow_from(&state);
    let response = match context.placement.decisions(&path.request).await {
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
