//! Model servers whose answers end with their connections, as processes, and callers of their streams.

use {
    crate::{caller, gateway, lock, record::Record},
    std::{
        io::{self, BufRead as _, BufReader},
        net::SocketAddr,
        process::Child,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Events of a stream, and the milliseconds between two: it lasts 6 s.
pub const EVENTS: u64 = 60;
const EVENT_INTERVAL_MS: u64 = 100;

/// What servers ran: the number of the server, and the identifier of the request.
pub type Runs = Arc<Mutex<Vec<(usize, String)>>>;

/// A model server.
pub struct Server {
    child: Child,
    process: i32,
    pub id: String,
    born_ms: u64,
    port: u16,
}

impl Server {
    /// Starts a server, on a free port if `port` is 0.
    pub fn start(number: usize, port: u16, runs: &Runs, record: &Record) -> io::Result<Self> {
        let id = format!("i-{number}");
        let born_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_err(io::Error::other)?;
        let born_ms = born_ms.as_millis() as u64;
        let arguments = [
            id.clone(),
            born_ms.to_string(),
            EVENTS.to_string(),
            EVENT_INTERVAL_MS.to_string(),
            port.to_string(),
        ];
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let (mut child, process) = gateway::start_stand_in("unframed_server", &arguments)?;
        let output = child.stdout.take().ok_or(io::Error::other("no output"))?;
        let mut output = BufReader::new(output);
        let mut line = String::new();
        output.read_line(&mut line)?;
        let port = line.trim().parse().map_err(io::Error::other)?;
        let (runs, record) = (Arc::clone(runs), record.clone());
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.add(&line);
                if let Some(id) = line.split(" runs ").nth(1) {
                    let id = id.split(' ').next().unwrap_or_default();
                    lock(&runs).push((number, id.to_owned()));
                }
            }
        });
        Ok(Self {
            child,
            process,
            id,
            born_ms,
            port,
        })
    }

    /// Port on which it listens.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Kills the process: its system closes its connections.
    pub fn kill(&mut self, record: &Record) -> io::Result<()> {
        gateway::kill_stand_in(&mut self.child, self.process)?;
        record.add(format!("{} gets SIGKILL", self.id));
        Ok(())
    }

    /// Key and value of its entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> (String, String) {
        let (port, born_ms) = (self.port, self.born_ms);
        let value = format!(
            r#"{{"service":"llm","address":"127.0.0.1:{port}","zone":"vejle-a","version":"v1","slots":10,"state":"{state}","cold_remaining_ms":0,"stage":"mixed","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born_ms}}}"#
        );
        (format!("servers/{}", self.id), value)
    }
}

/// The number of the server that has run more requests.
pub fn busier(runs: &Runs) -> usize {
    let runs = lock(runs);
    let count = |server: usize| runs.iter().filter(|(number, _)| *number == server).count();
    usize::from(count(1) > count(0))
}

/// What a caller has of its stream.
pub struct Stream {
    pub id: String,
    /// Whether the answer is a success with its end.
    pub is_complete: bool,
    pub events: u64,
}

/// Asks for a stream and reads it to its end.
pub fn read_stream(frontend: SocketAddr, id: &str, record: &Record) -> Stream {
    let body = "a prompt";
    let request = format!(
        "POST /advice/2f HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Usage: 628,360\r\n\
         Prefix-Hash: 5c1e07a2:60,91bd3f06:568\r\nTime-Budget: 12000\r\nAuthorization: Bearer key\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let outcome = caller::call(frontend, request.as_bytes(), Duration::from_secs(14));
    record.add_at(outcome.sent, format!("caller: {id} sent"));
    let body = outcome.answer.as_ref().map_or(&[][..], |(_, body)| body);
    let text = String::from_utf8_lossy(body);
    let events = text.lines().filter(|line| line.starts_with("id: ")).count() as u64;
    let end = match &outcome.answer {
        Ok((head, _)) => format!("whole answer {} of {events} events", head.status()),
        Err(error) => format!("no whole answer: {error}"),
    };
    record.add_at(outcome.ended, format!("caller: {id} {end}"));
    Stream {
        id: id.to_owned(),
        is_complete: outcome.status() == 200,
        events,
    }
}

/// Judges the streams: whether one ended as complete before its last event.
pub fn judge(streams: &[Stream], record: &Record) -> io::Result<(String, bool)> {
    let whole = streams
        .iter()
        .filter(|stream| stream.is_complete && stream.events == EVENTS)
        .count();
    let early: Vec<_> = streams
        .iter()
        .filter(|stream| stream.is_complete && stream.events < EVENTS)
        .collect();
    for stream in &early {
        let (id, events) = (&stream.id, stream.events);
        record.add(format!(
            "looks complete: {id}, with {events} of {EVENTS} events"
        ));
    }
    let verdict = format!(
        "{} streams of {EVENTS} events, {whole} answered whole; {} ended as complete before their last event",
        streams.len(),
        early.len()
    );
    if whole == 0 {
        return Err(io::Error::other(verdict));
    }
    Ok((verdict, !early.is_empty()))
}
