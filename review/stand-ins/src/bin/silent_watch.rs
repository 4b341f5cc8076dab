//! A server leaves while the gateway's open connections to the store are silent.

use {
    std::{
        io,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
    tamarackdale_review_stand_ins::{
        caller,
        gateway::{self, Gateway, Site},
        lock, ms,
        record::Record,
        server::Server,
        sleep_until,
        store::Store,
    },
};

/// `stable_ms`: a machine is in touch again so long after its connections have gone silent.
const STABLE: Duration = ms(3_000);

/// `drain_ms`: a server that leaves gets no request later than this.
const DRAIN: Duration = ms(2_000);

/// Margin for the way of a request and for threads that are late.
const MARGIN: Duration = ms(100);

/// How long the servers run a request, and the time between two: more are under way than one server takes.
const WORK: Duration = ms(120);
const INTERVAL: Duration = ms(15);

/// From the silence until the server says that it leaves.
const LEAVES_AFTER: Duration = ms(1_000);

/// How long the server goes on after that: the drain time and a little longer.
const SERVES_FOR: Duration = ms(2_600);

fn main() {
    gateway::run_case(Duration::from_secs(60), run);
}

fn run(record: &Record) -> io::Result<(String, bool)> {
    let store = Store::start(record)?;
    store.put("op/config", &gateway::configuration(7, 1_000, 317_110, 200));
    let start = |id: &str, service: &str| Server::start(id, service, WORK, record);
    let (leaving, staying) = (start("i-leaving", "app")?, start("i-staying", "app")?);
    let other = start("i-other", "other")?;
    for server in [&leaving, &staying] {
        let (key, value) = server.entry("ready", 0);
        store.put(&key, &value);
    }
    let gateway = Site::new(store.address())?.start("gateway", record)?;
    gateway.wait_ready()?;
    let calls = Calls::start(&gateway, record);
    thread::sleep(ms(2_500));

    // An ordinary change: a server of another service registers, and the gateway's watch ends with that.
    let (key, value) = other.entry("ready", 0);
    store.put(&key, &value);
    thread::sleep(ms(400));
    let silent = match gateway::has_trouble() {
        true => store.silence_connections(),
        false => Instant::now(),
    };
    sleep_until(silent + LEAVES_AFTER);
    leaving.leave();
    let (key, value) = leaving.entry("draining", 0);
    let acknowledged = store.put(&key, &value);
    record.add("store: i-leaving is acknowledged to leave");
    sleep_until(acknowledged + SERVES_FOR);
    leaving.end();
    store.remove(&key);
    sleep_until(silent + ms(8_000));
    let sent = calls.end();

    let in_touch = silent + STABLE + MARGIN;
    let bound = in_touch.max(acknowledged + DRAIN + MARGIN);
    let runs = leaving.runs();
    let sent_at = |id: &str| sent.iter().find(|call| call.id == id).map(|call| call.sent);
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.arrived > bound && sent_at(&run.id).is_some_and(|sent| sent > in_touch))
        .collect();
    let lost: Vec<_> = late.iter().filter(|run| run.answered.is_none()).collect();
    for run in &late {
        record.add_at(
            run.arrived,
            format!(
                "late at i-leaving: {}, {} ms after the acknowledgement",
                run.id,
                (run.arrived - acknowledged).as_millis()
            ),
        );
    }
    let served = sent.iter().filter(|call| call.status == 200).count();
    let verdict = format!(
        "{} requests, {served} served; {} of them reached the leaving server over {} ms after the store's acknowledgement, from a machine in touch; {} of these were accepted, run and lost",
        sent.len(),
        late.len(),
        DRAIN.as_millis(),
        lost.len()
    );
    if served < sent.len() / 2 {
        return Err(io::Error::other(verdict));
    }
    Ok((verdict, !late.is_empty()))
}

struct Call {
    id: String,
    sent: Instant,
    status: u16,
}

/// Bookings that are sent one after another, each on a connection of its own.
struct Calls {
    stop: Arc<Mutex<bool>>,
    thread: thread::JoinHandle<Vec<Call>>,
}

impl Calls {
    fn start(gateway: &Gateway, record: &Record) -> Self {
        let stop = Arc::new(Mutex::new(false));
        let (frontend, record, stopped) = (gateway.frontend(), record.clone(), Arc::clone(&stop));
        let thread = thread::spawn(move || {
            let mut calls = Vec::new();
            for number in 0.. {
                if *lock(&stopped) {
                    break;
                }
                let (id, record) = (format!("b-{number}"), record.clone());
                calls.push(thread::spawn(move || {
                    let request = caller::request("POST", "/booking/2f", &id, ms(1_000));
                    let outcome = caller::call(frontend, &request, ms(2_500));
                    record.add_at(outcome.sent, format!("caller: {id} sent"));
                    record.add_at(outcome.ended, format!("caller: {id} {}", outcome.summary()));
                    Call {
                        id,
                        sent: outcome.sent,
                        status: outcome.status(),
                    }
                }));
                thread::sleep(INTERVAL);
            }
            calls
                .into_iter()
                .filter_map(|call| call.join().ok())
                .collect()
        });
        Self { stop, thread }
    }

    fn end(self) -> Vec<Call> {
        *lock(&self.stop) = true;
        self.thread.join().unwrap_or_default()
    }
}
