//! Model servers crash while requests run there whose prompts share many parts.

use {
    std::{
        io,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
    tamarackdale_review_stand_ins::{
        caller::{self, Outcome},
        gateway::{self, Site},
        lock, ms,
        record::Record,
        server::Server,
        sleep_until,
        store::Store,
    },
};

/// Parts that the prompts share. The head is shorter than `max_header_bytes`.
const PARTS: usize = 2_400;

/// Requests with such prompts, which run for long, and the servers for them, of which a sixth crashes.
const PROMPTS: usize = 40;
const SERVERS: usize = 18;
const CRASHING: usize = 3;
const WORK: Duration = ms(8_000);

/// Time between two ordinary requests to another service, and the longest wait of their callers.
const INTERVAL: Duration = ms(200);
const PATIENCE: Duration = ms(2_500);

/// `timeout_ms` of their route, and the time after it within which a request has its final answer.
const ROUTE_TIMEOUT: Duration = ms(1_000);
const MARGIN: Duration = ms(500);

/// From the crash on: for how long ordinary requests are sent.
const ASK_FOR: Duration = Duration::from_secs(12);

fn main() {
    gateway::run_case(Duration::from_secs(90), run);
}

fn run(record: &Record) -> io::Result<(String, bool)> {
    let store = Store::start(record)?;
    store.put(
        "op/config",
        &gateway::configuration(7, 1_000, 10_000_000, 200),
    );
    let start =
        |id: String, service: &str, work: Duration| Server::start(&id, service, work, record);
    let engines: Vec<Server> = (1..=SERVERS)
        .map(|number| start(format!("i-engine-{number}"), "llm", WORK))
        .collect::<Result<_, _>>()?;
    let plains: Vec<Server> = (1..=2)
        .map(|number| start(format!("i-plain-{number}"), "app", ms(30)))
        .collect::<Result<_, _>>()?;
    for server in engines.iter().chain(&plains) {
        let (key, value) = server.entry("ready", 0);
        store.put(&key, &value);
    }
    let site = Site::new(store.address())?;
    let gateways = [site.start("first", record)?, site.start("second", record)?];
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    thread::sleep(ms(2_000));

    for number in 0..PROMPTS {
        let (frontend, record) = (gateways[0].frontend(), record.clone());
        thread::spawn(move || {
            let id = format!("p-{number}");
            let outcome = caller::call(frontend, &prompt(&id, number), Duration::from_secs(14));
            record.add_at(outcome.sent, format!("caller: {id} sent to first"));
            record.add_at(outcome.ended, format!("caller: {id} {}", outcome.summary()));
        });
        thread::sleep(ms(15));
    }
    thread::sleep(ms(600));
    let mut running: Vec<(usize, &Server)> = engines
        .iter()
        .map(|server| (server.runs().len(), server))
        .collect();
    running.sort_by_key(|(requests, _)| std::cmp::Reverse(*requests));
    let counts: Vec<usize> = running.iter().map(|(requests, _)| *requests).collect();
    record.add(format!("requests at the model servers: {counts:?}"));
    if gateway::has_trouble() {
        for (_, server) in running.iter().take(CRASHING) {
            server.end();
        }
    }
    let begin = Instant::now();
    let seen = gateways
        .each_ref()
        .map(|_| Arc::new(Mutex::new(Seen::default())));
    let mut calls = Vec::new();
    let mut number = 0;
    while begin.elapsed() < ASK_FOR {
        for (gateway, seen) in gateways.iter().zip(&seen) {
            let (frontend, record, seen) = (gateway.frontend(), record.clone(), Arc::clone(seen));
            let name = gateway.name().to_owned();
            calls.push(thread::spawn(move || {
                let id = format!("o-{name}-{number}");
                let request = caller::request("GET", "/status/2f", &id, ROUTE_TIMEOUT);
                let outcome = caller::call(frontend, &request, PATIENCE);
                record.add_at(outcome.sent, format!("caller: {id} sent"));
                record.add_at(outcome.ended, format!("caller: {id} {}", outcome.summary()));
                lock(&seen).add(&outcome);
            }));
        }
        number += 1;
        sleep_until(begin + INTERVAL * number);
    }
    for call in calls {
        let _ = call.join();
    }
    let mut verdict = String::new();
    let mut is_broken = false;
    for (gateway, seen) in gateways.iter().zip(&seen) {
        let (name, seen) = (gateway.name(), lock(seen));
        record.add(format!(
            "platform: {name} says that it is ready: {}",
            gateway.is_ready()
        ));
        verdict.push_str(&format!(
            "{name}: {} of {number} ordinary requests to another service served, {} unanswered at their route's timeout, {} of these still half a second later, the longest wait {} ms; ",
            seen.served, seen.late, seen.unanswered, seen.longest.as_millis()
        ));
        is_broken |= seen.unanswered >= 8 && seen.unanswered * 2 > seen.late;
    }
    if counts.iter().take(CRASHING).any(|requests| *requests == 0) {
        return Err(io::Error::other("a server that crashes had no request"));
    }
    Ok((verdict, is_broken))
}

/// What became of the ordinary requests to one gateway.
#[derive(Default)]
struct Seen {
    served: usize,
    /// Unanswered at the route's timeout.
    late: usize,
    /// Still unanswered half a second later.
    unanswered: usize,
    longest: Duration,
}

impl Seen {
    fn add(&mut self, outcome: &Outcome) {
        let took = outcome.ended - outcome.sent;
        self.served += usize::from(outcome.status() == 200);
        self.late += usize::from(took > ROUTE_TIMEOUT);
        self.unanswered += usize::from(took > ROUTE_TIMEOUT + MARGIN);
        self.longest = self.longest.max(took);
    }
}

fn prompt(id: &str, number: usize) -> Vec<u8> {
    let mut parts: Vec<String> = (0..PARTS).map(|part| format!("{part:x}:1")).collect();
    parts.push(format!("{:x}:60", 0x10_0000 + number));
    let parts = parts.join(",");
    let body = format!("prompt {number}");
    let head = format!(
        "POST /advice/2f HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Usage: 2460,360\r\n\
         Prefix-Hash: {parts}\r\nTime-Budget: 12000\r\nAuthorization: Bearer key\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    assert!(
        head.len() <= 16_384,
        "the head is longer than clients may send: {}",
        head.len()
    );
    [head.into_bytes(), body.into_bytes()].concat()
}
