//! A model server crashes in the middle of streams whose end only that of their connection tells, and starts again
//! under its identifier and address, while the gateway stands still.

use {
    std::{
        io, thread,
        time::{Duration, Instant},
    },
    tamarackdale_review_stand_ins::{
        engine::{self, Runs, Server, Stream},
        gateway::{self, Signal, Site},
        ms,
        record::Record,
        sleep_until,
        store::Store,
    },
};

/// Streams that are begun.
const STREAMS: u32 = 12;

/// From the first stream until the gateway stands still, and for how long it does. Callers give up after two
/// seconds without an event.
const FREEZE_AFTER: Duration = ms(2_000);
const FREEZE: Duration = ms(1_500);

/// From the beginning of the freeze until the server crashes, and until it is there again.
const CRASH_AFTER: Duration = ms(200);
const RESTART_AFTER: Duration = ms(700);

fn main() {
    gateway::run_case(Duration::from_secs(60), run);
}

fn run(record: &Record) -> io::Result<(String, bool)> {
    let store = Store::start(record)?;
    store.put("op/config", &gateway::configuration(7, 1_000, 317_110, 200));
    let runs = Runs::default();
    let mut servers = [
        Server::start(0, 0, &runs, record)?,
        Server::start(1, 0, &runs, record)?,
    ];
    for server in &servers {
        let (key, value) = server.entry("ready", 1);
        store.put(&key, &value);
    }
    let gateway = Site::new(store.address())?.start("gateway", record)?;
    gateway.wait_ready()?;
    // The versions of the servers are saved before streams begin.
    thread::sleep(ms(1_500));

    let begin = Instant::now();
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let (frontend, record) = (gateway.frontend(), record.clone());
        streams.push(thread::spawn(move || {
            sleep_until(begin + ms(60) * number);
            engine::read_stream(frontend, &format!("s-{number}"), &record)
        }));
    }
    sleep_until(begin + FREEZE_AFTER);
    if gateway::has_trouble() {
        let frozen = gateway.signal(Signal::Stop);
        sleep_until(frozen + CRASH_AFTER);
        let number = engine::busier(&runs);
        servers[number].kill(record)?;
        sleep_until(frozen + RESTART_AFTER);
        let port = servers[number].port();
        servers[number] = Server::start(number, port, &runs, record)?;
        record.add(format!("{} has started again", servers[number].id));
        let (key, value) = servers[number].entry("ready", 1);
        store.put(&key, &value);
        sleep_until(frozen + FREEZE);
        gateway.signal(Signal::Continue);
    }
    let streams: Vec<Stream> = streams
        .into_iter()
        .filter_map(|stream| stream.join().ok())
        .collect();
    engine::judge(&streams, record)
}
