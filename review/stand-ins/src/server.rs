//! Servers of a plain service.

use {
    crate::{
        http::{self, Head},
        json, lock,
        record::Record,
    },
    std::{
        io::{self, BufReader, Write as _},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub arrived: Instant,
    /// When its answer was written. `None` while it runs, or if the server ended before.
    pub answered: Option<Instant>,
}

struct Shared {
    id: String,
    address: SocketAddr,
    service: String,
    work_ms: AtomicU64,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    runs: Mutex<Vec<Run>>,
    streams: Mutex<Vec<TcpStream>>,
    record: Record,
    born_ms: u64,
    sequence: AtomicU64,
}

/// A server that runs each request for some time and then answers it. Clones are the same server.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

impl Server {
    /// Starts a server on a free loopback port.
    pub fn start(id: &str, service: &str, work: Duration, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let server = Self {
            shared: Arc::new(Shared {
                id: id.to_owned(),
                address: listener.local_addr()?,
                service: service.to_owned(),
                work_ms: AtomicU64::new(work.as_millis() as u64),
                is_leaving: AtomicBool::new(false),
                has_ended: AtomicBool::new(false),
                runs: Mutex::default(),
                streams: Mutex::default(),
                record: record.clone(),
                born_ms: now.unwrap_or_default().as_millis() as u64,
                sequence: AtomicU64::new(1),
            }),
        };
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(listener));
        Ok(server)
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming() {
            if self.shared.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else {
                continue;
            };
            if let Ok(copy) = stream.try_clone() {
                lock(&self.shared.streams).push(copy);
            }
            let server = self.clone();
            thread::spawn(move || server.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = http::read_head(&mut reader).ok()??;
            http::read_body(&mut reader, &head).ok()?;
            let answer = self.answer(&head)?;
            writer.write_all(answer.as_bytes()).ok()?;
            self.record_answered(&head);
            if self.shared.is_leaving.load(Ordering::SeqCst) {
                return None;
            }
        }
    }

    fn answer(&self, head: &Head) -> Option<String> {
        let id = head.get("attempt-id").unwrap_or_default();
        if head.word(1) == "/health" {
            let status = match self.shared.is_leaving.load(Ordering::SeqCst) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            let own = &self.shared.id;
            return Some(format!(
                "HTTP/1.1 {status}\r\nInstance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
            ));
        }
        if head.word(1) == "/report" {
            let born_ms = self.shared.born_ms;
            let body = format!(
                r#"{{"stage":"mixed","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":2,"queued":0,"running":1,"kv_used":41000,"kv_total":629551,"handles":0,"born":{born_ms}}}"#
            );
            return Some(format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            ));
        }
        let expected = head.get("expect-instance");
        if expected.is_some_and(|expected| expected != self.shared.id) {
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            ));
        }
        let arrived = Instant::now();
        lock(&self.shared.runs).push(Run {
            id: id.to_owned(),
            arrived,
            answered: None,
        });
        self.shared
            .record
            .add(format!("{} runs {id}", self.shared.id));
        thread::sleep(Duration::from_millis(
            self.shared.work_ms.load(Ordering::SeqCst),
        ));
        if self.shared.has_ended.load(Ordering::SeqCst) {
            return None;
        }
        let close = match self.shared.is_leaving.load(Ordering::SeqCst) {
            true => "Connection: close\r\n",
            false => "Keep-Alive: timeout=5\r\n",
        };
        let body = format!("answer to {id}");
        Some(format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{id}\r\n{close}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }

    fn record_answered(&self, head: &Head) {
        let id = head.get("attempt-id").unwrap_or_default();
        let mut runs = lock(&self.shared.runs);
        if let Some(run) = runs.iter_mut().rfind(|run| run.id == id) {
            run.answered = Some(Instant::now());
        }
    }

    /// Sets for how long requests that come from now on run.
    pub fn set_work(&self, work: Duration) {
        let millis = work.as_millis() as u64;
        self.shared.work_ms.store(millis, Ordering::SeqCst);
    }

    /// Says from now on that it is leaving, and closes each connection after its answer.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends: nobody listens, and all connections are closed.
    pub fn end(&self) {
        self.shared.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener's thread, which drops it.
        let _ = TcpStream::connect(self.shared.address);
        for stream in lock(&self.shared.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.shared.record.add(format!("{} ends", self.shared.id));
    }

    /// What it ran.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Key and value of its entry in the store.
    pub fn entry(&self, state: &str, cold_ms: u64) -> (String, String) {
        let shared = &self.shared;
        let sequence = shared.sequence.fetch_add(1, Ordering::SeqCst);
        let value = format!(
            r#"{{"service":{},"address":"{}","zone":"vejle-a","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":{cold_ms},"sequence":{sequence},"born":{}}}"#,
            json::quote(&shared.service),
            shared.address,
            shared.born_ms
        );
        (format!("servers/{}", shared.id), value)
    }
}
