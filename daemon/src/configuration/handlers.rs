//! Gives documents to peers.

use {
    super::catalogue::Shared,
    crate::http::body,
    gotham::{
        helpers::http::Body,
        hyper::{Response, StatusCode},
        prelude::{StateData, StaticResponseExtender},
        state::{FromState, State},
    },
    serde::Deserialize,
    tamarackdale_wire::message::Document,
};

/// Path parameters of a document.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub struct Path {
    service: String,
}

/// Answers with the newest document of a service.
pub fn get_document<C>(mut state: State) -> (State, Response<Body>)
where
    C: FromState + AsRef<Shared> + gotham::state::StateData,
{
    let path = Path::take_from(&mut state);
    let version = C::borrow_from(&state).as_ref().borrow().get(&path.service);
    let response = match version {
        Some(version) => body::message(&Document {
            revision: version.revision.0,
            text: version.text.clone(),
        }),
        None => body::status(StatusCode::NOT_FOUND),
    };
    (state, response)
}
