//! Handlers of the peer listener for documents, digests and status, shared by routers and
//! sidecars.

use {
    super::{
        ConfigurationHandle,
        catalogue::CatalogueReceiver,
        catalogue_writer::{DocumentUpdate, UpdateSource},
    },
    crate::http::{body, memory::Connection},
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
    tamarackdale_wire::{Digest, codec, digest::DocumentRevision, message::Document, path},
    tokio::time::timeout,
    tokio_util::sync::CancellationToken,
};

/// Interval between digests while no document changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Allowance for the parts of a document message other than the text, in bytes.
const ENVELOPE_BYTES: usize = 4096;

/// Path parameters of the document routes.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub struct Path {
    service: String,
}

/// Adds the routes for documents, digests and status to a listener whose state `X` holds a
/// [`ConfigurationHandle`].
pub fn add_routes<X, C, P>(route: &mut RouterBuilder<'_, C, P>)
where
    X: FromState + AsRef<ConfigurationHandle> + gotham::state::StateData,
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
    X: FromState + AsRef<ConfigurationHandle> + gotham::state::StateData,
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
    X: FromState + AsRef<ConfigurationHandle> + gotham::state::StateData,
{
    let path = Path::take_from(&mut state);
    let handle = X::borrow_from(&state).as_ref().clone();
    let limit = MAX_TEXT_BYTES + ENVELOPE_BYTES;
    let connection = Connection::of(&state);
    let response = match connection.read(Body::take_from(&mut state), limit).await {
        Ok(bytes) => queue_document(&handle, &path.service, &bytes),
        Err(_) => body::status(StatusCode::BAD_REQUEST),
    };
    Ok((state, response))
}

fn queue_document(handle: &ConfigurationHandle, service: &str, bytes: &[u8]) -> Response<Body> {
    let Ok(document) = codec::decode::<Document>(bytes) else {
        return body::status(StatusCode::BAD_REQUEST);
    };
    let update = DocumentUpdate::new(service, document, UpdateSource::Pushed);
    match handle.updates.try_send(update) {
        Ok(()) => body::status(StatusCode::ACCEPTED),
        Err(_) => body::status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn get_status<X>(state: State) -> (State, Response<Body>)
where
    X: FromState + AsRef<ConfigurationHandle> + gotham::state::StateData,
{
    let status = X::borrow_from(&state).as_ref().status();
    (state, body::msgpack(&status))
}

fn get_digests<X>(state: State) -> (State, Response<Body>)
where
    X: FromState + AsRef<ConfigurationHandle> + gotham::state::StateData,
{
    let handle = X::borrow_from(&state).as_ref();
    let digests = DigestStream {
        catalogue: handle.catalogue.clone(),
        closing: handle.closing.clone(),
        sent: None,
    };
    (state, Response::new(body::stream(digests.into_stream())))
}

/// State of one outgoing digest stream, which ends when the process starts to shut down.
struct DigestStream {
    catalogue: CatalogueReceiver,
    closing: CancellationToken,
    /// Revisions sent so far; `None` before the first digest.
    sent: Option<HashMap<String, i64>>,
}

impl DigestStream {
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
        if self.sent.is_some() {
            let closing = self.closing.clone();
            tokio::select! {
                // If nothing changes, an empty digest is sent as a heartbeat.
                _ = timeout(HEARTBEAT_INTERVAL, self.catalogue.changed()) => {}
                () = closing.cancelled() => return None,
            }
        }
        let catalogue = self.catalogue.borrow_and_update().clone();
        let sent = self.sent.get_or_insert_default();
        let mut documents = Vec::new();
        for (service, revision, _) in catalogue.entries() {
            if sent.insert(service.to_owned(), revision.0) != Some(revision.0) {
                documents.push(DocumentRevision {
                    service: service.to_owned(),
                    revision: revision.0,
                });
            }
        }
        Some(Digest { documents })
    }
}
