//! Requests of all kinds to all gateways, on connections of their own and on kept ones.

use {
    crate::{
        http::{self, Connection},
        platform::request,
    },
    rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Pause between two requests on connections of their own.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Pause between two requests on a kept connection.
const KEPT_INTERVAL: Duration = Duration::from_millis(30);

/// Kept connections to each gateway.
const KEPT: usize = 2;

/// Longest time for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(6);

/// Kinds of requests, by the prefix of their route.
const KINDS: [&str; 4] = ["booking", "status", "stream", "resumable"];

/// Number of requests on connections of their own for each deadly one.
const REQUESTS_TO_DEADLY: usize = 50;

/// Text in the bodies of requests that crash the servers that run them.
pub(super) const DEADLY: &str = "deadly";

/// Kinds of the deadly requests.
pub(super) const DEADLY_KINDS: [&str; 2] = ["status", "stream"];

/// Body of the deadly request of a kind, which is the same each time.
pub(super) fn deadly_body(kind: &str) -> String {
    format!("{DEADLY} {kind}")
}

/// One request and what became of it.
pub struct Call {
    /// Identifier.
    pub id: String,
    /// Kind.
    pub kind: &'static str,
    /// Whether it crashes servers.
    pub is_deadly: bool,
    /// What came back.
    pub answer: Result<http::Answer, http::Fault>,
}

/// Sends requests for `length`.
pub async fn run(callers: Vec<SocketAddr>, seed: u64, length: Duration) -> Vec<Call> {
    let end = Instant::now() + length;
    let mut kept = JoinSet::new();
    for (number, address) in callers.iter().copied().enumerate() {
        for connection in 0..KEPT {
            let name = format!("k-{number}-{connection}");
            let seed = seed.wrapping_add((number * KEPT + connection) as u64);
            kept.spawn(keep_calling(address, name, seed, end));
        }
    }
    let mut calls = call_anew(&callers, seed.wrapping_add(1), end).await;
    calls.extend(kept.join_all().await.into_iter().flatten());
    calls
}

async fn call_anew(callers: &[SocketAddr], seed: u64, end: Instant) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut running = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("s-{number}");
        let is_deadly = number % REQUESTS_TO_DEADLY == 0;
        let kind = match is_deadly {
            true => DEADLY_KINDS[number / REQUESTS_TO_DEADLY % DEADLY_KINDS.len()],
            false => kind(&mut random),
        };
        let address = callers[random.random_range(0..callers.len())];
        running.spawn(async move {
            let message = request(&format!("/{kind}/1"), &id);
            let message = message.map(|body| match is_deadly {
                true => deadly_body(kind).into(),
                false => body,
            });
            let answer = http::call(address, message, CALL_LIMIT).await;
            Call {
                id,
                kind,
                is_deadly,
                answer,
            }
        });
        sleep(REQUEST_INTERVAL).await;
    }
    running.join_all().await
}

/// Uses one connection until it ends, and then another one.
async fn keep_calling(address: SocketAddr, name: String, seed: u64, end: Instant) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut connection = None;
    while Instant::now() < end {
        sleep(KEPT_INTERVAL).await;
        let mut open = match connection.take() {
            Some(open) => open,
            None => match Connection::open(address).await {
                Ok(open) => open,
                Err(_) => continue,
            },
        };
        let id = format!("{name}-{}", calls.len());
        let kind = kind(&mut random);
        let answer = open
            .call(request(&format!("/{kind}/1"), &id), CALL_LIMIT)
            .await;
        let is_kept = answer
            .as_ref()
            .is_ok_and(|answer| answer.header("connection") != "close");
        connection = is_kept.then_some(open);
        calls.push(Call {
            id,
            kind,
            is_deadly: false,
            answer,
        });
    }
    calls
}

fn kind(random: &mut StdRng) -> &'static str {
    KINDS.choose(random).copied().unwrap_or(KINDS[0])
}
