//! A model server that leaves ends in the middle of streams whose end only that of their connection tells.

use {
    std::{
        io, thread,
        time::{Duration, Instant},
    },
    tamarackdale_review_stand_ins::{
        engine::{self, Runs, Server, Stream},
        gateway::{self, Site},
        ms,
        record::Record,
        sleep_until,
        store::Store,
    },
};

/// Streams that are begun.
const STREAMS: u32 = 12;

/// From the first stream until the server says that it leaves.
const LEAVES_AFTER: Duration = ms(1_200);

/// `drain_ms` and a little longer: so long it goes on after the store has accepted that.
const SERVES_FOR: Duration = ms(2_300);

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
    sleep_until(begin + LEAVES_AFTER);
    let leaving = &mut servers[engine::busier(&runs)];
    let (key, value) = leaving.entry("draining", 2);
    let acknowledged = store.put(&key, &value);
    record.add(format!("store: {} is acknowledged to leave", leaving.id));
    sleep_until(acknowledged + SERVES_FOR);
    if gateway::has_trouble() {
        leaving.kill(record)?;
        store.remove(&key);
    }
    let streams: Vec<Stream> = streams
        .into_iter()
        .filter_map(|stream| stream.join().ok())
        .collect();
    engine::judge(&streams, record)
}
