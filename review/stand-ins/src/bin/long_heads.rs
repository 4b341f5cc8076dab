//! Many callers at once that nobody controls, with legal heads, whose bodies stop just short of their ends.

use {
    std::{
        io::{self, BufRead as _, BufReader},
        process::Child,
        thread,
        time::{Duration, Instant},
    },
    tamarackdale_review_stand_ins::{
        caller,
        gateway::{self, Gateway, Signal, Site},
        ms,
        record::Record,
        server::Server,
        store::Store,
    },
};

/// Callers of one gateway, in processes of as many each. Its descriptors allow more.
const PROCESSES: usize = 4;
const CALLERS: usize = 475;

/// Entries of a prompt in a long head, of two thirds of `max_header_bytes`, and in an ordinary one.
const LONG_PROMPT: usize = 2_600;
const ORDINARY_PROMPT: usize = 3;

/// `memory_mb` of the machine. A process with more is killed.
const MEMORY_MB: u64 = 182;

/// How often the callers come to each gateway, and for how long the memory is looked at each time.
const ROUNDS: usize = 3;
const OBSERVED_FOR: Duration = Duration::from_secs(5);

/// Time until the platform starts a process again.
const RESTART_DELAY: Duration = ms(500);

fn main() {
    gateway::run_case(Duration::from_secs(110), run);
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
    let site = Site::new(store.address())?.with("memory_mb", &MEMORY_MB.to_string());
    let mut gateways = [site.start("first", record)?, site.start("second", record)?];
    let mut ends = [0; 2];
    let (mut peak, mut served, mut asked) = (0, 0, 0);
    for round in 0..ROUNDS {
        for (number, gateway) in gateways.iter_mut().enumerate() {
            gateway.wait_ready()?;
            let id = format!("o-{round}-{number}");
            if ask(gateway, &id, record) != 200 {
                return Err(io::Error::other("an ordinary request is not served before"));
            }
            let observed = observe(gateway, &format!("{round}-{number}"), record)?;
            peak = peak.max(observed.peak_kb);
            (served, asked) = (served + observed.served, asked + observed.asked);
            if observed.has_ended {
                ends[number] += 1;
                thread::sleep(RESTART_DELAY);
                gateway.restart()?;
            }
        }
    }
    let verdict = format!(
        "{} callers at a time; the peak of a gateway is {} MB of {MEMORY_MB} MB; the gateways were killed {} and {} times for that; {served} of {asked} ordinary requests served meanwhile",
        PROCESSES * CALLERS,
        peak / 1_024,
        ends[0],
        ends[1]
    );
    Ok((verdict, ends.iter().all(|ends| *ends >= ROUNDS)))
}

struct Observed {
    peak_kb: u64,
    has_ended: bool,
    asked: u64,
    served: u64,
}

/// Sends an ordinary request. Returns the status of the answer.
fn ask(gateway: &Gateway, id: &str, record: &Record) -> u16 {
    let request = caller::request("POST", "/booking/2f", id, ms(1_000));
    let outcome = caller::call(gateway.frontend(), &request, ms(2_500));
    record.add_at(outcome.sent, format!("caller: {id} sent"));
    record.add_at(outcome.ended, format!("caller: {id} {}", outcome.summary()));
    outcome.status()
}

/// Lets the crowd come, looks at the gateway's memory, and kills the gateway once it has too much, as the
/// platform does.
fn observe(gateway: &Gateway, name: &str, record: &Record) -> io::Result<Observed> {
    let mut crowd = start_crowd(gateway, name, record)?;
    let begin = Instant::now();
    let mut observed = Observed {
        peak_kb: 0,
        has_ended: false,
        asked: 0,
        served: 0,
    };
    while begin.elapsed() < OBSERVED_FOR && !observed.has_ended {
        observed.peak_kb = observed.peak_kb.max(gateway.peak_memory_kb()?);
        if observed.peak_kb > MEMORY_MB * 1_024 {
            let (peak, after) = (observed.peak_kb, begin.elapsed().as_millis());
            record.add(format!(
                "{} has {peak} kB, more than {MEMORY_MB} MB, {after} ms after the first of the crowd",
                gateway.name()
            ));
            gateway.signal(Signal::Kill);
            observed.has_ended = true;
        }
        if observed.asked < begin.elapsed().as_secs() {
            observed.asked += 1;
            let id = format!("o-{name}-{}", observed.asked);
            observed.served += u64::from(ask(gateway, &id, record) == 200);
        }
        thread::sleep(ms(10));
    }
    let peak = observed.peak_kb;
    record.add(format!("peak memory of {}: {peak} kB", gateway.name()));
    for (child, process) in &mut crowd {
        gateway::kill_stand_in(child, *process)?;
    }
    Ok(observed)
}

fn start_crowd(gateway: &Gateway, name: &str, record: &Record) -> io::Result<Vec<(Child, i32)>> {
    let (entries, unsent) = match gateway::has_trouble() {
        true => (LONG_PROMPT, 1),
        false => (ORDINARY_PROMPT, 0),
    };
    let mut crowd = Vec::new();
    for process in 0..PROCESSES {
        let arguments = [
            gateway.frontend().to_string(),
            CALLERS.to_string(),
            (process * CALLERS).to_string(),
            entries.to_string(),
            unsent.to_string(),
        ];
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let (mut child, id) = gateway::start_stand_in("crowd", &arguments)?;
        let (record, name) = (record.clone(), name.to_owned());
        let output = child.stdout.take().ok_or(io::Error::other("no output"))?;
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.add(format!("crowd {name}-{process}: {line}"));
            }
        });
        crowd.push((child, id));
    }
    Ok(crowd)
}
