//! Starts at backend servers that have named a limit.
//!
//! For each limited server one gateway, the keeper, hands out the starts, which all gateways choose
//! alike among those that are connected. A gateway asks it before it sends a request to the server.

use {
    super::context::Context,
    crate::http::body,
    derive_more::{Display, From},
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::StatusCode,
        state::{FromState as _, State},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tamarackdale_core::fleet::{Member, RequestLoad, limit::ASK_TIMEOUT, statement::Report},
    tamarackdale_store::http,
    tamarackdale_wire::{
        codec, path,
        start::{Answer, Ask},
        statement::Statement,
    },
};

/// Longest question that is read, in bytes: an identifier and a few numbers.
const MAX_ASK_BYTES: usize = 4 * 1024;

/// Time after which a start is asked for again when the keeper has not answered. Another gateway becomes
/// the keeper once this one counts as unreachable.
const NO_ANSWER_DELAY: Duration = Duration::from_millis(250);

/// Clients of the peers that keep the limits of backend servers.
#[derive(Default)]
pub struct Keepers {
    clients: Mutex<HashMap<SocketAddr, http::Client>>,
}

impl Keepers {
    /// The client of a keeper. Those of former peers are dropped: only peers that `is_known` accepts
    /// are kept.
    fn client(&self, keeper: SocketAddr, is_known: impl Fn(SocketAddr) -> bool) -> http::Client {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&keeper) {
            return client.clone();
        }
        clients.retain(|address, _| is_known(*address));
        let client = http::Client::new(&format!("http://{keeper}"), ASK_TIMEOUT);
        clients.insert(keeper, client.clone());
        client
    }
}

/// Why a question for a start was not answered.
#[derive(Debug, Display, From)]
enum CallError {
    Codec(codec::Error),
    Http(http::Error),
}

/// Obtains a start for the request with identifier `request` at a backend server, if the server is
/// limited. Returns `false` if there is none now: the request must be placed again. `load` is what was
/// reserved for the request there.
pub async fn obtain(context: &Context, member: &Member, load: RequestLoad, request: &str) -> bool {
    let scheduler = &context.scheduler;
    let Some(report) = scheduler.limit_report(&member.id) else {
        return true;
    };
    let own = context.settings.borrow().peers;
    let keeper = context.known_peers().keeper(&member.id, own);
    let taken = match keeper == own {
        true => scheduler.take_start(&report),
        false => ask(context, keeper, &report).await,
    };
    let Err(next) = taken else {
        scheduler.record_start_granted(&member.id);
        return true;
    };
    let delay = scheduler.record_start_refused(&member.id, load, next);
    log::info!(
        request,
        backend_server = member.id.as_str(),
        keeper:% = keeper,
        next_ms = next.as_millis() as u64,
        ask_again_ms = delay.as_millis() as u64;
        "no start within the limit of the backend server"
    );
    false
}

/// Asks a peer for a start. Fails with the time until the next one.
async fn ask(context: &Context, keeper: SocketAddr, report: &Report) -> Result<(), Duration> {
    match call(context, keeper, report).await {
        Ok(answer) if answer.is_granted => Ok(()),
        Ok(answer) => Err(Duration::from_millis(answer.next_ms.into())),
        Err(error) => {
            log::info!(
                backend_server = report.id.as_str(),
                peer:% = keeper;
                "no answer to a question for a start: {error}"
            );
            Err(NO_ANSWER_DELAY)
        }
    }
}

/// Sends the question for a start to a peer and reads its answer.
async fn call(context: &Context, keeper: SocketAddr, report: &Report) -> Result<Answer, CallError> {
    let question = codec::encode(&Ask {
        server: Statement::new(report, context.clock.now()),
    })?;
    let client = context
        .keepers
        .client(keeper, |address| context.known_peers().contains(address));
    Ok(codec::decode(&client.post(path::STARTS, question).await?)?)
}

/// Handles a peer's question for a start at a backend server whose limit this gateway keeps.
pub async fn answer(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let question = body::read(Body::take_from(&mut state), MAX_ASK_BYTES).await;
    let question = question
        .ok()
        .and_then(|bytes| codec::decode::<Ask>(&bytes).ok());
    let Some(question) = question else {
        log::warn!("a peer's question for a start cannot be decoded");
        return Ok((state, body::status(StatusCode::BAD_REQUEST)));
    };
    let report = question.server.into_report(context.clock.now());
    let taken = context.scheduler.take_start(&report);
    let next = taken.err().unwrap_or_default();
    let answer = Answer {
        is_granted: taken.is_ok(),
        next_ms: u32::try_from(next.as_millis()).unwrap_or(u32::MAX),
    };
    Ok((state, body::msgpack(&answer)))
}
