//! Reads of the store for the other gateways of the cell.
//!
//! In a fleet of several cells one gateway of each cell is the reader. The others ask it for checks of the
//! configuration and for changes of the backend servers. The follower makes the calls; the handlers of the
//! peers' listener pass the questions to it through [`StoreReader`].

use {
    super::context::Context,
    crate::{clock::Clock, http::body},
    derive_more::Display,
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::StatusCode,
        state::{FromState as _, State as GothamState},
    },
    serde::de::DeserializeOwned,
    serde_bytes::ByteBuf,
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tamarackdale_core::{
        cell::Layout,
        coalescing::{
            changes::{Answer, Change as BufferedChange, ChangeBuffer},
            checks::Checks,
        },
        fleet::Member,
        revision::Revision,
    },
    tamarackdale_platform::{
        configuration, registration,
        store::{Change, Changes, Entry, Range},
    },
    tamarackdale_wire::{
        codec,
        store_read::{self, Check, CheckAnswer, Watch, WatchAnswer},
    },
    tokio::{
        sync::{Notify, oneshot, watch},
        time::{Instant, timeout, timeout_at},
    },
};

/// Longest question that is read, in bytes: a key and a few numbers.
const MAX_QUESTION_BYTES: usize = 4 * 1024;

/// Longest wait of a watch that is answered.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Which gateway calls the store for this one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Route {
    /// Each gateway calls for itself.
    #[display("direct")]
    Direct,
    /// This gateway calls for itself and for the others of its cell.
    #[display("reader")]
    Own,
    /// A peer.
    #[display("{_0}")]
    Peer(SocketAddr),
}

/// Updates the route after a change of the connected peers.
pub fn update_route(context: &Context, layout: Layout) {
    let route = {
        let settings = context.settings.borrow();
        let is_coalesced = match settings.coalesced_reads_from {
            Some(least) => layout.same_data_centre + layout.other_data_centres + 1 >= least,
            None => !layout.is_single_cell(),
        };
        let own = settings.peers;
        let reader = context.known_peers().reader(&settings.data_centre, own);
        match reader.filter(|_| is_coalesced) {
            None => Route::Direct,
            Some(reader) if reader == own => Route::Own,
            Some(reader) => Route::Peer(reader),
        }
    };
    let has_changed = context.store.route.send_if_modified(|current| {
        let has_changed = *current != route;
        *current = route;
        has_changed
    });
    if has_changed {
        log::info!(route:% = route; "route of the reads of the store changed");
    }
}

type Buffer = ChangeBuffer<Change, Member>;

/// A check that waits for the next call.
struct Question {
    revision: Revision,
    answer: oneshot::Sender<CheckAnswer>,
}

struct State {
    checks: Checks<Question>,
    /// Checks that the present call answers.
    in_progress: Vec<Question>,
    /// Era of the store, from when the present call finds the configuration changed until the next call.
    /// The new one may take seconds to arrive.
    changed_in: Option<u64>,
    /// Whether the last check reached the store.
    can_check: bool,
    /// Changes of the backend servers, unless the gateways call for themselves.
    buffer: Option<Buffer>,
    /// Whether this gateway's own watch of the store fills the buffer.
    is_watching: bool,
}

impl Question {
    /// Sends the answer. The peer may have stopped waiting.
    fn answer(self, is_unchanged: bool, era: u64, next: Duration) {
        let _ = self.answer.send(CheckAnswer {
            is_unchanged,
            era,
            next_ms: u32::try_from(next.as_millis()).unwrap_or(u32::MAX),
        });
    }
}

impl State {
    fn time_to_next(&self, clock: Clock) -> Duration {
        self.checks.time_to_next_question(clock.now())
    }
}

/// Passes questions of peers to the follower, and its answers back.
pub struct StoreReader {
    clock: Clock,
    route: watch::Receiver<Route>,
    state: Mutex<State>,
    /// Notified when a check waits.
    asked: Notify,
    /// Counts changes of the buffer and of whether it is filled.
    buffered: watch::Sender<u64>,
}

impl StoreReader {
    /// A reader that answers nothing before the follower has called the store.
    pub fn new(route: watch::Receiver<Route>) -> Self {
        let state = State {
            checks: Checks::default(),
            in_progress: Vec::new(),
            changed_in: None,
            can_check: false,
            buffer: None,
            is_watching: false,
        };
        Self {
            clock: Clock::new(),
            route,
            state: Mutex::new(state),
            asked: Notify::new(),
            buffered: watch::channel(0).0,
        }
    }

    fn is_reader(&self) -> bool {
        *self.route.borrow() == Route::Own
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a check. `None` if it cannot be answered.
    fn ask(&self, revision: Revision) -> Option<oneshot::Receiver<CheckAnswer>> {
        let (answer, receiver) = oneshot::channel();
        let mut state = self.lock();
        if !self.is_reader() || !state.can_check {
            return None;
        }
        let question = Question { revision, answer };
        if let Some(era) = state.changed_in {
            question.answer(false, era, state.time_to_next(self.clock));
            return Some(receiver);
        }
        state.checks.push(question, self.clock.now()).ok()?;
        drop(state);
        self.asked.notify_one();
        Some(receiver)
    }

    /// Begins a check, before its call to the store is sent: it answers the checks that wait now.
    pub(super) fn begin_check(&self) {
        let mut state = self.lock();
        state.changed_in = None;
        state.in_progress = state.checks.take(self.clock.now());
    }

    /// Answers the checks of the present call once it has found the configuration changed.
    pub(super) fn record_change(&self, era: u64) {
        let mut state = self.lock();
        state.changed_in = Some(era);
        let next = state.time_to_next(self.clock);
        let waiting = state.checks.clear();
        for question in std::mem::take(&mut state.in_progress)
            .into_iter()
            .chain(waiting)
        {
            question.answer(false, era, next);
        }
    }

    /// Ends a check. `current` is the revision of the key, or `None` if the call has failed: then the
    /// checks are refused, and later ones until a call succeeds.
    pub(super) fn end_check(&self, current: Option<Revision>) {
        let mut state = self.lock();
        state.can_check = current.is_some();
        let answered = std::mem::take(&mut state.in_progress);
        let Some(current) = current else {
            state.checks.clear();
            return;
        };
        let next = state.time_to_next(self.clock);
        for question in answered {
            let is_unchanged = question.revision == current;
            question.answer(is_unchanged, current.era, next);
        }
    }

    /// Waits until the next check is due, at most `interval` after the last one.
    pub(super) async fn wait_for_due_check(&self, interval: Duration) {
        self.lock().checks.set_interval(interval, self.clock.now());
        loop {
            let now = self.clock.now();
            let due = self.lock().checks.due();
            if due <= now {
                return;
            }
            // On a timeout, the check is due.
            let _ = timeout(due.since(now), self.asked.notified()).await;
        }
    }

    /// Records that the registrations have been read.
    pub(super) fn record_range(&self, range: &Range) {
        let is_used = *self.route.borrow() != Route::Direct;
        let entries = range.entries.iter();
        let entries = entries.filter_map(|entry| Some((entry.key.clone(), meaning(entry)?)));
        let buffer = is_used.then(|| Buffer::new(range.revision, entries));
        self.lock().buffer = buffer;
        self.notify();
    }

    /// Records that this gateway watches the registrations from `revision` on.
    pub(super) fn begin_watch(&self, revision: Revision) {
        let route = *self.route.borrow();
        let mut state = self.lock();
        if route == Route::Direct {
            state.buffer = None;
        } else if state.buffer.as_ref().map(Buffer::end) != Some(revision) {
            state.buffer = Some(Buffer::new(revision, []));
        }
        let is_watching = route == Route::Own;
        if std::mem::replace(&mut state.is_watching, is_watching) != is_watching {
            drop(state);
            self.notify();
        }
    }

    /// Records the changes that a watch has returned.
    pub(super) fn record_changes(&self, changes: &Changes) {
        let mut state = self.lock();
        let Some(buffer) = &mut state.buffer else {
            return;
        };
        let items = changes.changes.iter().map(|change| BufferedChange {
            key: change.key().map(str::to_owned),
            meaning: match change {
                Change::Put(entry) => meaning(entry),
                Change::Unreadable(_) | Change::Removed { .. } => None,
            },
            item: change.clone(),
        });
        let has_news = buffer.append(items, changes.revision);
        drop(state);
        if has_news {
            self.notify();
        }
    }

    /// Records that this gateway's own watch has failed.
    pub(super) fn end_watch(&self) {
        self.lock().is_watching = false;
        self.notify();
    }

    fn notify(&self) {
        self.buffered.send_modify(|count| *count += 1);
    }

    /// The changes since a revision, after at most `wait`. `None` if this gateway does not watch.
    async fn watch(&self, revision: Revision, wait: Duration) -> Option<Answer<Change>> {
        let deadline = Instant::now() + wait;
        let mut buffered = self.buffered.subscribe();
        loop {
            buffered.borrow_and_update();
            let answer = {
                let state = self.lock();
                let is_filled = self.is_reader() && state.is_watching;
                state.buffer.as_ref().filter(|_| is_filled)?.since(revision)
            };
            let has_news = match &answer {
                Answer::Changes(changes, _) => !changes.is_empty(),
                Answer::Compacted | Answer::OtherEra(_) => true,
            };
            if has_news || Instant::now() >= deadline {
                return Some(answer);
            }
            // On a timeout, an empty answer is sent.
            let _ = timeout_at(deadline, buffered.changed()).await;
        }
    }
}

/// What an entry means. Its sequence number is of use only when the store has been restored.
fn meaning(entry: &Entry) -> Option<Member> {
    let registration = registration::decode(&entry.key, &entry.value);
    registration.ok().map(|registration| registration.member)
}

/// Handles a peer's check of the configuration.
pub async fn answer_check(mut state: GothamState) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let question = read_question::<Check>(&mut state).await;
    let question = question.filter(|question| question.key == configuration::KEY);
    let Some(question) = question else {
        return Ok((state, body::status(StatusCode::BAD_REQUEST)));
    };
    let answer = match context.store.reader.ask(question.revision.into()) {
        Some(answer) => answer.await.ok(),
        None => None,
    };
    context.metrics.count_store_read("check", answer.is_some());
    let response = match answer {
        Some(answer) => body::msgpack(&answer),
        None => body::status(StatusCode::SERVICE_UNAVAILABLE),
    };
    Ok((state, response))
}

/// Handles a peer's watch of the backend servers.
pub async fn answer_watch(mut state: GothamState) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let question = read_question::<Watch>(&mut state).await;
    let question = question.filter(|question| question.prefix == registration::PREFIX);
    let Some(question) = question else {
        return Ok((state, body::status(StatusCode::BAD_REQUEST)));
    };
    let wait = Duration::from_millis(question.wait_ms.into()).min(MAX_WAIT);
    let revision = question.revision.into();
    let answer = context.store.reader.watch(revision, wait).await;
    context.metrics.count_store_read("watch", answer.is_some());
    let response = match answer {
        Some(answer) => body::msgpack(&encode_answer(answer, revision)),
        None => body::status(StatusCode::SERVICE_UNAVAILABLE),
    };
    Ok((state, response))
}

async fn read_question<T: DeserializeOwned>(state: &mut GothamState) -> Option<T> {
    let bytes = body::read(Body::take_from(state), MAX_QUESTION_BYTES).await;
    let question = bytes.ok().and_then(|bytes| codec::decode(&bytes).ok());
    if question.is_none() {
        log::warn!("a peer's read of the store cannot be decoded");
    }
    question
}

fn encode_answer(answer: Answer<Change>, asked: Revision) -> WatchAnswer {
    let (revision, is_compacted, changes) = match answer {
        Answer::Changes(changes, revision) => (revision, false, changes),
        Answer::Compacted => (asked, true, Vec::new()),
        Answer::OtherEra(era) => (Revision { era, ..asked }, false, Vec::new()),
    };
    WatchAnswer {
        revision: revision.into(),
        is_compacted,
        changes: changes.into_iter().map(encode_change).collect(),
    }
}

fn encode_change(change: Change) -> store_read::Change {
    match change {
        Change::Put(entry) => {
            let value = ByteBuf::from(entry.value);
            store_read::Change::Put(entry.key, value, entry.revision.number)
        }
        Change::Removed { key, revision } => store_read::Change::Removed(key, revision.number),
        Change::Unreadable(item) => store_read::Change::Unreadable(item.key, item.reason),
    }
}
