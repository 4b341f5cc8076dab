//! The settings file states a shorter grace period, and later the gateway is stopped.

use {
    std::{
        io, thread,
        time::{Duration, Instant},
    },
    tamarackdale_review_stand_ins::{
        caller::{self, Connection},
        gateway::{self, Signal, Site},
        ms,
        record::Record,
        server::Server,
        sleep_until,
        store::Store,
    },
};

/// `grace_s` at the start of the gateway and after the change, in seconds.
const GRACE_BEFORE: u64 = 8;
const GRACE_AFTER: u64 = 4;

/// How long a server runs a request.
const WORK: Duration = ms(200);

/// Callers with a connection that they keep, and the time between two of their requests.
const CALLERS: u64 = 45;
const INTERVAL: Duration = ms(100);

/// Requests that were sent earlier after SIGTERM may be cut while their server is at work.
const EXCUSED: Duration = ms(3_000);

/// `loss_slack_ms`, after which a request must not end without an answer.
const LOSS_SLACK: Duration = ms(200);

fn main() {
    gateway::run_case(Duration::from_secs(60), run);
}

fn run(record: &Record) -> io::Result<(String, bool)> {
    let store = Store::start(record)?;
    store.put("op/config", &gateway::configuration(7, 1_000, 317_110, 200));
    let servers = [
        Server::start("i-1", "app", WORK, record)?,
        Server::start("i-2", "app", WORK, record)?,
        Server::start("i-3", "app", WORK, record)?,
    ];
    for server in &servers {
        let (key, value) = server.entry("ready", 0);
        store.put(&key, &value);
    }
    let site = Site::new(store.address())?.with("grace_s", &GRACE_BEFORE.to_string());
    let mut gateway = site.start("gateway", record)?;
    gateway.wait_ready()?;

    // Each caller sends a first request on the connection that it keeps.
    let mut connections = Vec::new();
    for number in 0..CALLERS {
        let mut connection = Connection::open(gateway.frontend())?;
        let id = format!("w-{number}");
        let request = caller::request("POST", "/booking/2f", &id, ms(1_000));
        connections.push(thread::spawn(move || {
            let outcome = connection.call(&request, ms(2_000));
            (connection, outcome.status())
        }));
        thread::sleep(ms(25));
    }
    let connections: Vec<_> = connections
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    let warm = connections
        .iter()
        .filter(|(_, status)| *status == 200)
        .count();
    record.add(format!("{warm} of {CALLERS} first requests served"));

    let mut grace = Duration::from_secs(GRACE_BEFORE);
    if gateway::has_trouble() {
        grace = Duration::from_secs(GRACE_AFTER);
        let changed = site.with("grace_s", &GRACE_AFTER.to_string());
        gateway.write_settings(&changed.settings("gateway", gateway.address()))?;
        record.add(format!("the settings file states grace_s = {GRACE_AFTER}"));
        gateway.signal(Signal::Hangup);
    }
    // `converge_ms` and more.
    thread::sleep(ms(3_000));
    let terminated = gateway.signal(Signal::Terminate);
    let mut calls = Vec::new();
    for (number, (mut connection, _)) in (0u32..).zip(connections) {
        let record = record.clone();
        calls.push(thread::spawn(move || {
            sleep_until(terminated + INTERVAL * number);
            let id = format!("b-{number}");
            let request = caller::request("POST", "/booking/2f", &id, ms(1_000));
            let outcome = connection.call(&request, ms(4_000));
            record.add_at(
                outcome.sent,
                format!("caller: {id} sent on its kept connection"),
            );
            record.add_at(outcome.ended, format!("caller: {id} {}", outcome.summary()));
            (id, outcome)
        }));
    }
    let mut ended_by_itself = None;
    while terminated.elapsed() < grace {
        if ended_by_itself.is_none() && gateway.exit_status().is_some() {
            ended_by_itself = Some(terminated.elapsed());
            record.add("the gateway has ended by itself");
        }
        thread::sleep(ms(5));
    }
    if ended_by_itself.is_none() {
        gateway.signal(Signal::Kill);
    }
    let calls: Vec<_> = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    let runs: Vec<_> = servers.iter().flat_map(Server::runs).collect();
    let is_lost = |id: &str, sent: Instant, ended: Instant, status: u16| {
        let has_run = runs.iter().any(|run| run.id == id);
        let is_late = sent > terminated + EXCUSED;
        // Passed on to a server, or read for longer than the slack.
        status == 0 && is_late && (has_run || ended > sent + LOSS_SLACK)
    };
    let lost: Vec<_> = calls
        .iter()
        .filter(|(id, outcome)| is_lost(id, outcome.sent, outcome.ended, outcome.status()))
        .collect();
    for (id, outcome) in &lost {
        record.add_at(
            outcome.ended,
            format!(
                "lost: {id}, sent {} ms after SIGTERM",
                (outcome.sent - terminated).as_millis()
            ),
        );
    }
    let served = calls
        .iter()
        .filter(|(_, outcome)| outcome.status() == 200)
        .count();
    let end = match ended_by_itself {
        Some(after) => format!("ended by itself {} ms after SIGTERM", after.as_millis()),
        None => format!(
            "did not end within grace_s and got SIGKILL {} ms after SIGTERM",
            grace.as_millis()
        ),
    };
    let verdict = format!(
        "the gateway {end}; of {} requests that were sent after SIGTERM, {served} were served and {} were sent over 3 s after SIGTERM, passed on to a server and cut without an answer",
        calls.len(),
        lost.len()
    );
    if warm < CALLERS as usize {
        return Err(io::Error::other(verdict));
    }
    Ok((verdict, !lost.is_empty()))
}
