//! Requests of all kinds to all gateways, on connections of their own and on kept ones.

use {
    super::{millis, strict},
    crate::{
        http::Connection,
        platform::{Caller, Try},
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

/// Pause between two requests whose bodies come in pieces.
const STRICT_INTERVAL: Duration = Duration::from_millis(60);

/// Offset of the seed of these, so that the draws of the others stay the same for a seed.
const STRICT_SEED_OFFSET: u64 = 7 << 32;

/// Kept connections to each gateway.
const KEPT: usize = 2;

/// Kinds of requests, by the prefix of their route.
const KINDS: [&str; 4] = ["booking", "status", "stream", "resumable"];

/// The kind of request whose broken streams callers take up.
pub(super) const RESUMABLE: &str = "resumable";

/// Times that a caller takes its stream up before it gives up.
const TAKE_UPS: usize = 3;

/// Range of the pause of a caller before it takes its stream up, in milliseconds.
const TAKE_UP_PAUSE_MS: std::ops::Range<u64> = 50..700;

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
    /// Kind.
    pub kind: &'static str,
    /// Whether it crashes servers.
    pub is_deadly: bool,
    /// Whether its caller takes a write that fails for the end of its request.
    pub is_strict: bool,
    /// The caller's tries; all but the first take the stream up.
    pub tries: Vec<Try>,
}

/// Sends requests for `length`.
pub async fn run(callers: Vec<SocketAddr>, seed: u64, length: Duration) -> Vec<Call> {
    let end = Instant::now() + length;
    let mut kept = JoinSet::new();
    for number in 0..callers.len() * KEPT {
        let name = format!("k-{}-{}", number / KEPT, number % KEPT);
        let seed = seed.wrapping_add(number as u64);
        kept.spawn(keep_calling(
            callers.clone(),
            number / KEPT,
            name,
            seed,
            end,
        ));
    }
    let strict = tokio::spawn(call_strictly(callers.clone(), seed, end));
    let mut calls = call_anew(&callers, seed.wrapping_add(1), end).await;
    calls.extend(strict.await.unwrap_or_default());
    calls.extend(kept.join_all().await.into_iter().flatten());
    calls
}

/// Sends bodies in pieces, a part of them with a path or a key that is refused.
async fn call_strictly(callers: Vec<SocketAddr>, seed: u64, end: Instant) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed + STRICT_SEED_OFFSET);
    let mut running = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let gateway = callers[random.random_range(0..callers.len())];
        let targets = [
            ("/booking/1", "key"),
            ("/booking/1", "no-key"),
            ("/none/1", "key"),
        ];
        let (path, key) = *targets.choose(&mut random).unwrap_or(&targets[0]);
        running.spawn(async move {
            let id = format!("p-{number}");
            let attempt = strict::call(gateway, path, key, &id).await?;
            Some(Call {
                kind: "booking",
                is_deadly: false,
                is_strict: true,
                tries: vec![attempt],
            })
        });
        sleep(STRICT_INTERVAL).await;
    }
    running.join_all().await.into_iter().flatten().collect()
}

async fn call_anew(callers: &[SocketAddr], seed: u64, end: Instant) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut running = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let is_deadly = number % REQUESTS_TO_DEADLY == 0;
        let kind = match is_deadly {
            true => DEADLY_KINDS[number / REQUESTS_TO_DEADLY % DEADLY_KINDS.len()],
            false => kind(&mut random),
        };
        let address = callers[random.random_range(0..callers.len())];
        let caller = Caller::new(&format!("/{kind}/1"), &format!("s-{number}"));
        let mut caller = match is_deadly {
            true => caller.with_body(deadly_body(kind).into()),
            false => caller,
        };
        let mut draws = StdRng::seed_from_u64(seed.wrapping_add(number as u64));
        let callers = callers.to_vec();
        running.spawn(async move {
            caller.call(address).await;
            take_up(&mut caller, kind, &callers, &mut draws).await;
            Call {
                kind,
                is_deadly,
                is_strict: false,
                tries: caller.into_tries(),
            }
        });
        sleep(REQUEST_INTERVAL).await;
    }
    running.join_all().await
}

/// Uses one connection until it ends, and then another one.
async fn keep_calling(
    callers: Vec<SocketAddr>,
    gateway: usize,
    name: String,
    seed: u64,
    end: Instant,
) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut draws = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut connection = None;
    while Instant::now() < end {
        sleep(KEPT_INTERVAL).await;
        let mut open = match connection.take() {
            Some(open) => open,
            None => match Connection::open(callers[gateway]).await {
                Ok(open) => open,
                Err(_) => continue,
            },
        };
        let kind = kind(&mut random);
        let id = format!("{name}-{}", calls.len());
        let mut caller = Caller::new(&format!("/{kind}/1"), &id);
        let is_kept = caller.call_on(&mut open).await;
        connection = is_kept.then_some(open);
        take_up(&mut caller, kind, &callers, &mut draws).await;
        calls.push(Call {
            kind,
            is_deadly: false,
            is_strict: false,
            tries: caller.into_tries(),
        });
    }
    calls
}

/// Takes a stream that broke up again, at any gateway.
async fn take_up(
    caller: &mut Caller,
    kind: &'static str,
    callers: &[SocketAddr],
    random: &mut StdRng,
) {
    for _ in 0..TAKE_UPS {
        let last = caller.tries().last();
        let is_over = last.is_some_and(|last| last.is_whole && last.status() == Some(200));
        if kind != RESUMABLE || is_over || caller.origin().is_none() {
            return;
        }
        sleep(millis(random, TAKE_UP_PAUSE_MS)).await;
        let gateway = callers[random.random_range(0..callers.len())];
        caller.call(gateway).await;
    }
}

fn kind(random: &mut StdRng) -> &'static str {
    KINDS.choose(random).copied().unwrap_or(KINDS[0])
}
