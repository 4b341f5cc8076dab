//! The part of the peer listener that concerns documents, the same in both roles.

use {
    super::{
        Access,
        catalogue::Shared,
        keeper::{Offer, Origin},
    },
    crate::http::body,
    bytes::Bytes,
    futures_util::{Stream, stream},
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::{Response, StatusCode, body::Frame as HttpFrame},
        pipeline::PipelineHandleChain,
        prelude::{StateData, StaticResponseExtender},
        router::builder::{DefineSingleRoute as _, DrawRoutes, RouterBuilder},
        state::{FromState, State},
    },
    serde::Deserialize,
    std::{collections::HashMap, io, panic::RefUnwindSafe, time::Duration},
    tamarackdale_core::document::MAX_TEXT_BYTES,
    tamarackdale_wire::{Digest, codec, digest::Held, message::Document, path},
    tokio::time::timeout,
    tokio_util::sync::CancellationToken,
};

/// Time between two digests when nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Room for the parts of a message besides the document's text, in bytes.
const ENVELOPE_BYTES: usize = 4096;

/// Path parameters of a document.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub struct Path {
    service: String,
}

/// Adds the routes for documents, digests and status to a listener whose state `X` has access.
pub fn draw<X, C, P>(route: &mut RouterBuilder<'_, C, P>)
where
    X: FromState + AsRef<Access> + gotham::state::StateData,
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    let documents = format!("{}/:service", path::DOCUMENTS);
    route
        .get(&documents)
        .with_path_extractor::<Path>()
        .to(get_document::<X>);
    route
        .post(&documents)
        .with_path_extractor::<Path>()
        .to_async(post_document::<X>);
    route.get(path::STATUS).to(get_status::<X>);
    route.get(path::DIGESTS).to(get_digests::<X>);
}

fn get_document<X>(mut state: State) -> (State, Response<Body>)
where
    X: FromState + AsRef<Access> + gotham::state::StateData,
{
    let path = Path::take_from(&mut state);
    let catalogue = &X::borrow_from(&state).as_ref().catalogue;
    let version = catalogue.borrow().get(&path.service);
    let response = match version {
        Some(version) => body::msgpack(&Document {
            revision: version.revision.0,
            text: version.text.clone(),
        }),
        None => body::status(StatusCode::NOT_FOUND),
    };
    (state, response)
}

async fn post_document<X>(mut state: State) -> HandlerResult
where
    X: FromState + AsRef<Access> + gotham::state::StateData,
{
    let path = Path::take_from(&mut state);
    let access = X::borrow_from(&state).as_ref().clone();
    let limit = MAX_TEXT_BYTES + ENVELOPE_BYTES;
    let response = match body::read(Body::take_from(&mut state), limit).await {
        Ok(bytes) => take_document(&access, &path.service, &bytes),
        Err(_) => body::status(StatusCode::BAD_REQUEST),
    };
    Ok((state, response))
}

fn take_document(access: &Access, service: &str, bytes: &[u8]) -> Response<Body> {
    let Ok(document) = codec::decode::<Document>(bytes) else {
        return body::status(StatusCode::BAD_REQUEST);
    };
    let offer = Offer::new(service, document, Origin::Offered);
    match access.offers.try_send(offer) {
        Ok(()) => body::status(StatusCode::ACCEPTED),
        Err(_) => body::status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn get_status<X>(state: State) -> (State, Response<Body>)
where
    X: FromState + AsRef<Access> + gotham::state::StateData,
{
    let status = X::borrow_from(&state).as_ref().status();
    (state, body::msgpack(&status))
}

fn get_digests<X>(state: State) -> (State, Response<Body>)
where
    X: FromState + AsRef<Access> + gotham::state::StateData,
{
    let access = X::borrow_from(&state).as_ref();
    let digests = Digests {
        catalogue: access.catalogue.clone(),
        closing: access.closing.clone(),
        told: None,
    };
    (state, Response::new(body::stream(digests.into_stream())))
}

/// One stream of digests; it ends when the process begins to close.
struct Digests {
    catalogue: Shared,
    closing: CancellationToken,
    /// Revisions told so far; `None` before the first digest.
    told: Option<HashMap<String, i64>>,
}

impl Digests {
    fn into_stream(self) -> impl Stream<Item = io::Result<HttpFrame<Bytes>>> + Send {
        stream::unfold(self, |mut digests| async move {
            let digest = digests.next().await?;
            let item = codec::encode_item(&digest)
                .map(HttpFrame::data)
                .map_err(io::Error::other);
            Some((item, digests))
        })
    }

    async fn next(&mut self) -> Option<Digest> {
        if self.told.is_some() {
            let closing = self.closing.clone();
            tokio::select! {
                // Without a change an empty digest is sent, as a heartbeat.
                _ = timeout(HEARTBEAT_INTERVAL, self.catalogue.changed()) => {}
                () = closing.cancelled() => return None,
            }
        }
        let catalogue = self.catalogue.borrow_and_update().clone();
        let told = self.told.get_or_insert_default();
        let mut documents = Vec::new();
        for (service, revision, _) in catalogue.held() {
            if told.insert(service.to_owned(), revision.0) != Some(revision.0) {
                documents.push(Held {
                    service: service.to_owned(),
                    revision: revision.0,
                });
            }
        }
        Some(Digest { documents })
    }
}
