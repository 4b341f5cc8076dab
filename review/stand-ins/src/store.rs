//! The platform's store: items with revisions, watches, transactions and leases.

use {
    crate::{
        http::{self, Head},
        json::{self, Value},
        lock,
        record::Record,
    },
    std::{
        collections::{BTreeMap, HashMap},
        io::{self, BufReader, Write as _},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time of an answer, as the deployments' sheets state it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    end: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key, revision and value of each change; no value for a removal.
    history: Vec<(String, u64, Option<Vec<u8>>)>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    /// Writes of keys with this prefix whose answers are lost, and after how long they take effect.
    lost_write: Option<(String, Duration)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    /// Number of connections so far.
    opened: AtomicU64,
    /// Connections with a lower number are silent.
    silent_below: AtomicU64,
    /// Number of watches that have arrived.
    watches: AtomicU64,
}

/// The store. Clones are the same store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl State {
    fn put(&mut self, revision: u64, key: &str, value: Vec<u8>, lease: u64) {
        self.revision = revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.clone(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.history.push((key.to_owned(), revision, Some(value)));
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision = revision;
            self.history.push((key.to_owned(), revision, None));
        }
    }

    fn expire(&mut self) -> Vec<String> {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .extract_if(|_, lease| lease.end <= now)
            .map(|(id, _)| id)
            .collect();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| ended.contains(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.remove(self.revision + 1, key);
        }
        keys
    }
}

impl Store {
    /// Starts an empty store on a free loopback port.
    pub fn start(record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 100,
            next_lease: 70_000,
            ..State::default()
        };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                changed: Condvar::new(),
                record: record.clone(),
                opened: AtomicU64::new(0),
                silent_below: AtomicU64::new(0),
                watches: AtomicU64::new(0),
            }),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = accepting.shared.opened.fetch_add(1, Ordering::SeqCst);
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream, number));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                for key in expiring.lock().expire() {
                    expiring
                        .shared
                        .record
                        .add(format!("store: lease of {key} ended, item removed"));
                    expiring.shared.changed.notify_all();
                }
            }
        });
        Ok(store)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        lock(&self.shared.state)
    }

    /// Writes an item as the operator or a server does. Returns when that is acknowledged.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.lock();
        let revision = state.revision + 1;
        state.put(revision, key, value.as_bytes().to_vec(), 0);
        drop(state);
        self.shared.changed.notify_all();
        self.shared
            .record
            .add(format!("store: {key} written, {value}"));
        Instant::now()
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) -> Instant {
        let mut state = self.lock();
        let revision = state.revision + 1;
        state.remove(revision, key);
        drop(state);
        self.shared.changed.notify_all();
        self.shared.record.add(format!("store: {key} removed"));
        Instant::now()
    }

    /// Keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Lets all open connections go silent for good. New ones work.
    pub fn silence_connections(&self) -> Instant {
        let opened = self.shared.opened.load(Ordering::SeqCst);
        self.shared.silent_below.store(opened, Ordering::SeqCst);
        self.shared
            .record
            .add(format!("store: its {opened} connections so far go silent"));
        Instant::now()
    }

    /// Loses the answer to the next write of a key with this prefix, which takes effect after `delay`.
    pub fn lose_write(&self, prefix: &str, delay: Duration) {
        self.lock().lost_write = Some((prefix.to_owned(), delay));
    }

    /// Number of watches that have arrived.
    pub fn watches(&self) -> u64 {
        self.shared.watches.load(Ordering::SeqCst)
    }

    fn is_silent(&self, connection: u64) -> bool {
        connection < self.shared.silent_below.load(Ordering::SeqCst)
    }

    /// Keeps a connection open without reading or writing.
    fn hold(&self) -> ! {
        loop {
            thread::sleep(Duration::from_secs(600));
        }
    }

    fn serve(&self, stream: TcpStream, connection: u64) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = http::read_head(&mut reader).ok()??;
            if self.is_silent(connection) {
                self.shared
                    .record
                    .add(format!("store: {} lost on a silent connection", head.line));
                self.hold();
            }
            let body = http::read_body(&mut reader, &head).ok()?;
            thread::sleep(ANSWER_TIME);
            let Some((status, text)) = self.answer(&head, &body, connection) else {
                // A connection on which an answer is lost returns nothing further.
                self.hold();
            };
            if self.is_silent(connection) {
                self.shared.record.add(format!(
                    "store: answer to {} lost on a silent connection",
                    head.line
                ));
                self.hold();
            }
            let reason = if status == 200 { "OK" } else { "Other" };
            let answer = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn answer(&self, head: &Head, body: &[u8], connection: u64) -> Option<(u16, String)> {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query = parse_query(query);
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or_default();
        let body = json::parse(body).unwrap_or(Value::Null);
        let none = "{}".to_owned();
        match path {
            "/kv-key" => {
                let state = self.lock();
                let key = text("key");
                Some(match state.items.get(&key) {
                    Some(item) => (200, show_item(&key, item, Some(state.revision))),
                    None => (404, none),
                })
            }
            "/kv-range" => {
                let state = self.lock();
                let (prefix, after) = (text("prefix"), text("since_rev"));
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| show_item(key, item, None))
                    .collect();
                let (items, at) = (items.join(","), state.revision);
                Some((
                    200,
                    format!(r#"{{"items":[{items}],"has_more":false,"at":{at}}}"#),
                ))
            }
            "/kv-watch" => {
                self.shared.watches.fetch_add(1, Ordering::SeqCst);
                let wait = Duration::from_millis(number("wait_ms"));
                Some((
                    200,
                    self.watch(&text("prefix"), number("since_rev"), wait, connection),
                ))
            }
            "/kv-txn" => self.transact(&body),
            "/kv-lease" => {
                let mut state = self.lock();
                let ttl = body.get("ttl_ms").integer().max(1_000);
                state.next_lease += 1;
                let (id, length) = (state.next_lease, Duration::from_millis(ttl));
                let lease = Lease {
                    ttl: length,
                    end: Instant::now() + length,
                };
                state.leases.insert(id, lease);
                Some((200, format!(r#"{{"lease":{id},"ttl_ms":{ttl}}}"#)))
            }
            path => {
                let id: u64 = path.rsplit('/').next()?.parse().unwrap_or_default();
                let mut state = self.lock();
                let Some(lease) = state.leases.get_mut(&id) else {
                    return Some((404, none));
                };
                lease.end = match head.word(0) {
                    "DELETE" => Instant::now(),
                    _ => Instant::now() + lease.ttl,
                };
                let ttl = lease.ttl.as_millis();
                Some((200, format!(r#"{{"ttl_ms":{ttl}}}"#)))
            }
        }
    }

    fn watch(&self, prefix: &str, since: u64, wait: Duration, connection: u64) -> String {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if self.is_silent(connection) {
                drop(state);
                self.shared
                    .record
                    .add("store: a watch that waits is silent from now on");
                self.hold();
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(key, revision, _)| *revision > since && key.starts_with(prefix))
                .map(|(key, revision, value)| show_event(key, *revision, value.as_deref()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"at":{at}}}"#);
            }
            // Short, to notice silence soon.
            let step = left.min(Duration::from_millis(20));
            let waited = self.shared.changed.wait_timeout(state, step);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &Value) -> Option<(u16, String)> {
        let puts = body.get("puts").items();
        let lost = {
            let mut state = self.lock();
            let is_lost = state.lost_write.as_ref().is_some_and(|(prefix, _)| {
                let mut keys = puts.iter().map(|put| put.get("key").text());
                keys.any(|key| key.starts_with(prefix.as_str()))
            });
            match is_lost {
                true => state.lost_write.take(),
                false => None,
            }
        };
        let Some((prefix, delay)) = lost else {
            return Some(self.apply(body));
        };
        let record = &self.shared.record;
        record.add(format!(
            "store: a write under {prefix} is not answered and will be done later"
        ));
        let (store, body) = (self.clone(), body.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            let (status, _) = store.apply(&body);
            let record = &store.shared.record;
            record.add(format!(
                "store: the write under {prefix} that was not answered is done now, {status}"
            ));
        });
        None
    }

    fn apply(&self, body: &Value) -> (u16, String) {
        let mut state = self.lock();
        let expected = body.get("expect_rev").items();
        let holds = expected.iter().all(|row| {
            let item = state.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("revision").integer()
        });
        if !holds {
            let items = expected.iter().map(|row| {
                let key = row.get("key").text();
                match state.items.get(key) {
                    Some(item) => show_item(key, item, None),
                    None => format!(r#"{{"key":{},"revision":0}}"#, json::quote(key)),
                }
            });
            let items: Vec<String> = items.collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let (puts, deletes) = (body.get("puts").items(), body.get("deletes").items());
        let has_lease = |put: &Value| {
            let lease = put.get("lease").integer();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        let revision = state.revision + 1;
        for put in puts {
            let value = json::decode_base64(put.get("value").text());
            state.put(
                revision,
                put.get("key").text(),
                value,
                put.get("lease").integer(),
            );
        }
        for key in deletes {
            state.remove(revision, key.text());
        }
        let at = state.revision;
        drop(state);
        self.shared.changed.notify_all();
        (200, format!(r#"{{"revision":{at}}}"#))
    }
}

fn show_item(key: &str, item: &Item, at: Option<u64>) -> String {
    let at = at.map_or(String::new(), |at| format!(r#","at":{at}"#));
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}{at}}}"#,
        json::quote(key),
        json::encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn show_event(key: &str, revision: u64, value: Option<&[u8]>) -> String {
    let key = json::quote(key);
    match value {
        Some(value) => format!(
            r#"{{"key":{key},"value":"{}","revision":{revision},"created":{revision},"lease":0}}"#,
            json::encode_base64(value)
        ),
        None => format!(r#"{{"key":{key},"revision":{revision},"removed":true}}"#),
    }
}

fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect()
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
