//! Many callers at once that nobody controls, whose bodies stop just short of their ends, and ordinary ones beside
//! them.

use {
    std::{
        io::{self, BufRead as _, BufReader},
        thread,
        time::{Duration, Instant},
    },
    tamarackdale_review_stand_ins::{
        caller,
        gateway::{self, Site},
        ms,
        record::Record,
        server::Server,
        sleep_until,
        store::Store,
    },
};

/// Callers that stop short, in processes of as many each: fewer than `max_fds`.
const PROCESSES: usize = 4;
const CALLERS: usize = 520;

/// Entries of a prompt in a head.
const PROMPT: usize = 3;

/// `stable_ms`: a machine that says that it is ready takes connections again within this time.
const STABLE: Duration = ms(3_000);

/// Clients that have to try meanwhile.
const LEAST_TRIES: usize = 7;

/// Ordinary callers: time between two, and how long each waits for its answer.
const INTERVAL: Duration = ms(250);
const PATIENCE: Duration = ms(2_000);

/// For how long ordinary callers come.
const ASK_FOR: Duration = Duration::from_secs(16);

fn main() {
    gateway::run_case(Duration::from_secs(60), run);
}

fn run(record: &Record) -> io::Result<(String, bool)> {
    let store = Store::start(record)?;
    store.put(
        "op/config",
        &gateway::configuration(7, 1_000, 10_000_000, 200),
    );
    let servers: Vec<Server> = (1..=3)
        .map(|number| Server::start(&format!("i-{number}"), "app", ms(30), record))
        .collect::<Result<_, _>>()?;
    for server in &servers {
        let (key, value) = server.entry("ready", 0);
        store.put(&key, &value);
    }
    let gateway = Site::new(store.address())?.start("gateway", record)?;
    gateway.wait_ready()?;
    for process in 0..PROCESSES {
        let unsent = if gateway::has_trouble() { "1" } else { "0" };
        let arguments = [
            gateway.frontend().to_string(),
            CALLERS.to_string(),
            (process * CALLERS).to_string(),
            PROMPT.to_string(),
            unsent.to_owned(),
        ];
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let (mut child, _) = gateway::start_stand_in("crowd", &arguments)?;
        let record = record.clone();
        let output = child.stdout.take().ok_or(io::Error::other("no output"))?;
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.add(format!("crowd {process}: {line}"));
            }
        });
    }
    let begin = Instant::now();
    let tries = (ASK_FOR.as_millis() / INTERVAL.as_millis()) as u32;
    let mut calls = Vec::new();
    let mut ready = Vec::new();
    for number in 0..tries {
        sleep_until(begin + INTERVAL * number);
        let (frontend, log) = (gateway.frontend(), record.clone());
        calls.push(thread::spawn(move || {
            let id = format!("o-{number}");
            let request = caller::request("POST", "/booking/2f", &id, ms(1_000));
            let outcome = caller::call(frontend, &request, PATIENCE);
            log.add_at(
                outcome.sent,
                format!("caller: {id} sent on a new connection"),
            );
            log.add_at(outcome.ended, format!("caller: {id} {}", outcome.summary()));
            (outcome.sent, outcome.status())
        }));
        // The platform asks each second.
        if number % 4 == 0 {
            let is_ready = gateway.is_ready();
            record.add(format!(
                "platform: the gateway says that it is {}",
                if is_ready { "ready" } else { "not ready" }
            ));
            ready.push((Instant::now(), is_ready));
        }
    }
    let mut calls: Vec<_> = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    calls.sort();
    // The longest series of tries without an answer, while the gateway said that it was ready.
    let mut longest = (Duration::ZERO, 0);
    let mut series: Option<(Instant, usize)> = None;
    for (sent, status) in &calls {
        if *status != 0 {
            series = None;
            continue;
        }
        let (first, count) = series.get_or_insert((*sent, 0));
        *count += 1;
        let mut said = ready.iter().filter(|(at, _)| at >= first && at <= sent);
        if said.all(|(_, is_ready)| *is_ready) {
            longest = longest.max((*sent - *first + PATIENCE, *count));
        }
    }
    let (time, count) = longest;
    let answered = calls.iter().filter(|(_, status)| *status != 0).count();
    let verdict = format!(
        "{answered} of {} ordinary callers answered beside {} that stop short of their bodies' ends; none of {count} in a row within {} ms, in which the gateway said that it was ready",
        calls.len(),
        PROCESSES * CALLERS,
        time.as_millis()
    );
    if answered == 0 {
        return Err(io::Error::other(verdict));
    }
    Ok((verdict, time > STABLE && count >= LEAST_TRIES))
}
