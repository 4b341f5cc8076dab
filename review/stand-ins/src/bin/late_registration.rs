//! The store does not answer a gateway's first registration and carries it out seconds later. Then another
//! gateway is added.

use {
    std::{
        io,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
    tamarackdale_review_stand_ins::{
        caller,
        gateway::{self, Site},
        ms,
        record::Record,
        server::Server,
        store::Store,
    },
};

/// The tenant's quota, in tokens a second, which is its burst too, and the tokens that a request costs.
const RATE: u64 = 20_000;
const COST: u64 = 2_000;

/// `quota_window_s`, `quota_overrun` and `quota_slack`.
const WINDOW: Duration = Duration::from_secs(8);
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 140_000.0;

/// After how long the write that was not answered takes effect.
const WRITE_DELAY: Duration = Duration::from_secs(4);

/// From then on until the other gateway is added.
const ADDED_AFTER: Duration = Duration::from_secs(20);

/// For how long callers ask both gateways, and the time between two requests to one of them.
const ASK_FOR: Duration = Duration::from_secs(14);
const INTERVAL: Duration = ms(25);

fn main() {
    gateway::run_case(Duration::from_secs(100), run);
}

fn run(record: &Record) -> io::Result<(String, bool)> {
    let store = Store::start(record)?;
    store.put("op/config", &gateway::configuration(7, 1_000, RATE, COST));
    let servers: Vec<Server> = (1..=6)
        .map(|number| Server::start(&format!("i-{number}"), "app", ms(30), record))
        .collect::<Result<_, _>>()?;
    for server in &servers {
        let (key, value) = server.entry("ready", 0);
        store.put(&key, &value);
    }
    if gateway::has_trouble() {
        store.lose_write("gateways/", WRITE_DELAY);
    }
    let site = Site::new(store.address())?;
    let first = site.start("first", record)?;
    first.wait_ready()?;
    thread::sleep(ADDED_AFTER);
    record.add(format!(
        "store: gateways registered: {:?}",
        store.keys("gateways/")
    ));
    let second = site.start("second", record)?;
    second.wait_ready()?;
    thread::sleep(ms(4_000));
    record.add(format!(
        "store: gateways registered: {:?}",
        store.keys("gateways/")
    ));

    let asked = [&first, &second].map(|gateway| ask(gateway.frontend(), gateway.name(), record));
    let sent: Vec<(String, Instant, u16)> = asked
        .into_iter()
        .filter_map(|asked| asked.join().ok())
        .flatten()
        .collect();
    // Both sent and run within a window.
    let mut runs: Vec<(Instant, Instant)> = servers
        .iter()
        .flat_map(Server::runs)
        .filter_map(|run| {
            let (_, sent, _) = sent.iter().find(|(id, ..)| *id == run.id)?;
            Some((*sent, run.arrived))
        })
        .collect();
    runs.sort();
    let most = runs
        .iter()
        .map(|(begin, _)| {
            let end = *begin + WINDOW;
            runs.iter()
                .filter(|(sent, ran)| sent >= begin && *ran <= end)
                .count()
        })
        .max()
        .unwrap_or_default();
    let used = most as f64 * COST as f64;
    let stated = RATE as f64 * (WINDOW.as_secs_f64() + 1.0);
    let bound = stated * (1.0 + OVERRUN) + SLACK;
    let served = sent.iter().filter(|(.., status)| *status == 200).count();
    let refused = sent.iter().filter(|(.., status)| *status == 429).count();
    let verdict = format!(
        "{} requests, {served} served, {refused} refused with 429; the most that ran within {} s: {most} requests, {used} tokens, where the rule allows {bound}",
        sent.len(),
        WINDOW.as_secs()
    );
    if served == 0 {
        return Err(io::Error::other(verdict));
    }
    Ok((verdict, used > bound))
}

/// Sends requests at intervals. Returns their identifiers, when they were sent and their statuses.
fn ask(
    frontend: SocketAddr,
    name: &str,
    record: &Record,
) -> thread::JoinHandle<Vec<(String, Instant, u16)>> {
    let (name, record) = (name.to_owned(), record.clone());
    thread::spawn(move || {
        let start = Instant::now();
        let mut calls = Vec::new();
        for number in 0.. {
            if start.elapsed() >= ASK_FOR {
                break;
            }
            let (id, record) = (format!("{name}-{number}"), record.clone());
            calls.push(thread::spawn(move || {
                let request = caller::request("POST", "/booking/2f", &id, ms(1_000));
                let outcome = caller::call(frontend, &request, ms(2_500));
                record.add_at(outcome.sent, format!("caller: {id} sent"));
                record.add_at(outcome.ended, format!("caller: {id} {}", outcome.summary()));
                (id, outcome.sent, outcome.status())
            }));
            thread::sleep(INTERVAL);
        }
        calls
            .into_iter()
            .filter_map(|call| call.join().ok())
            .collect()
    })
}
