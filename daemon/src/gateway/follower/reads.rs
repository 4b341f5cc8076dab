//! Reads of the store through the reader of this gateway's cell.

use {
    super::{Follower, MIN_CHECK_PAUSE, Snapshot, WATCH_WAIT},
    crate::{
        clock::{self, Clock},
        gateway::store_reader::Route,
    },
    derive_more::{Display, From},
    rand::Rng as _,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tamarackdale_core::{
        coalescing::{self, ANSWER_TIMEOUT, fallback::Fallback},
        freshness::BootTime,
        revision::Revision,
    },
    tamarackdale_platform::{
        configuration, registration,
        store::{Change, Changes, Entry, Error, Unreadable},
    },
    tamarackdale_store::http,
    tamarackdale_wire::{
        codec, path,
        store_read::{self, Check, CheckAnswer, Watch, WatchAnswer},
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Longest random delay until a changed configuration is read, which all gateways of a cell hear of at the
/// same moment.
const CHANGE_SPREAD: Duration = Duration::from_millis(100);

/// Least pause between an answer of the reader and the next question.
const MIN_QUESTION_PAUSE: Duration = Duration::from_millis(10);

/// Longest answer of a reader, in bytes: the changes in its buffer.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why a reader has not answered.
#[derive(Debug, Display, From)]
enum ReadError {
    #[display("{_0}")]
    Codec(codec::Error),
    #[display("{_0}")]
    Http(http::Error),
    #[display("no answer within {_0:?}")]
    Timeout(Duration),
    #[display("its answer is of an era that has ended")]
    Outdated,
}

/// Clients of the reader.
#[derive(Clone)]
struct Clients {
    address: SocketAddr,
    checks: http::Client,
    watches: http::Client,
}

/// Questions to the reader of this gateway's cell.
pub(super) struct Reads {
    clock: Clock,
    route: watch::Receiver<Route>,
    clients: Mutex<Option<Clients>>,
    fallback: watch::Sender<Fallback>,
}

/// A check of the configuration.
pub(super) struct Checked {
    /// When the question, or the call to the store, was sent that the result is of.
    pub sent: BootTime,
    /// The entry, unless it is unchanged.
    pub result: Result<Option<Entry>, Error>,
    /// Time after which to ask the reader again, if it has answered.
    next: Option<Duration>,
}

/// Changes of the backend servers.
pub(super) struct Watched {
    pub changes: Changes,
    /// Whether the reader has passed them on. It pauses between its own calls to the store.
    pub is_relayed: bool,
}

impl Reads {
    pub(super) fn new(route: watch::Receiver<Route>) -> Self {
        Self {
            clock: Clock::new(),
            route,
            clients: Mutex::default(),
            fallback: watch::channel(Fallback::default()).0,
        }
    }

    /// The clients of the reader, unless this gateway calls the store itself.
    fn clients(&self) -> Option<Clients> {
        let Route::Peer(address) = *self.route.borrow() else {
            return None;
        };
        if self.fallback.borrow().is_direct(self.clock.now()) {
            return None;
        }
        let mut clients = self.lock_clients();
        if let Some(known) = clients.as_ref().filter(|known| known.address == address) {
            return Some(known.clone());
        }
        let endpoint = format!("http://{address}");
        let checks = http::Client::new(&endpoint, ANSWER_TIMEOUT).with_max_body(MAX_ANSWER_BYTES);
        let watches = checks.clone().with_timeout(WATCH_WAIT + ANSWER_TIMEOUT);
        let new = Clients {
            address,
            checks,
            watches,
        };
        *clients = Some(new.clone());
        Some(new)
    }

    fn lock_clients(&self) -> MutexGuard<'_, Option<Clients>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a reader has not answered.
    fn record_failure(&self, what: &str, reader: SocketAddr, error: &ReadError) {
        let now = self.clock.now();
        let mut is_first = false;
        self.fallback.send_modify(|fallback| {
            is_first = fallback.record_failure(now, &mut rand::rng());
        });
        if is_first {
            log::info!(what, peer:% = reader; "the store is read directly for some seconds: {error}");
        }
    }
}

/// Waits as long as a cell does not call the store at the same moment after the loss of its reader.
async fn spread_direct_calls() {
    let delay = Fallback::call_delay(&mut rand::rng());
    sleep(delay).await;
}

/// Sends a question and decodes the answer, within `limit` for both.
async fn ask<T: DeserializeOwned>(
    client: &http::Client,
    path: &str,
    question: &impl Serialize,
    limit: Duration,
) -> Result<T, ReadError> {
    let question = codec::encode(question)?;
    let answer = timeout(limit, client.post(path, question)).await;
    let answer = answer.map_err(|_| ReadError::Timeout(limit))?;
    Ok(codec::decode(&answer?)?)
}

impl Follower {
    /// Answers the checks of other gateways. `asked` is the revision that was checked.
    pub(super) fn end_check(&self, result: &Result<Option<Entry>, Error>, asked: Option<Revision>) {
        let current = match result {
            Ok(Some(entry)) => Some(entry.revision),
            Ok(None) => asked,
            Err(_) => None,
        };
        self.channels.reader.end_check(current);
    }

    /// Checks the configuration at the reader, or at the store if this gateway has no reader or it does
    /// not answer. A changed one is read from the store.
    pub(super) async fn check_configuration(
        &self,
        known: Option<&Snapshot>,
        rejected: Option<Revision>,
    ) -> Checked {
        if let (Some(known), Some(clients)) = (known, self.reads.clients()) {
            let sent = clock::boottime_now();
            let revision = rejected.unwrap_or(known.revision);
            match self.check_at_reader(&clients, revision).await {
                Ok(answer) if answer.is_unchanged => {
                    return Checked {
                        sent,
                        result: Ok(None),
                        next: Some(Duration::from_millis(answer.next_ms.into())),
                    };
                }
                Ok(_) => {
                    let delay = rand::rng().random_range(Duration::ZERO..=CHANGE_SPREAD);
                    sleep(delay).await;
                }
                Err(error) => {
                    self.reads
                        .record_failure("configuration", clients.address, &error);
                    spread_direct_calls().await;
                }
            }
        }
        // What an earlier call or question has confirmed is older than this call.
        let sent = clock::boottime_now();
        Checked {
            sent,
            result: self.read_configuration(known, rejected).await,
            next: None,
        }
    }

    async fn check_at_reader(
        &self,
        clients: &Clients,
        revision: Revision,
    ) -> Result<CheckAnswer, ReadError> {
        let question = Check {
            key: configuration::KEY.to_owned(),
            revision: revision.into(),
        };
        let answer: CheckAnswer = ask(
            &clients.checks,
            path::STORE_CHECK,
            &question,
            ANSWER_TIMEOUT,
        )
        .await?;
        self.store
            .observe_era(answer.era)
            .map_err(|_| ReadError::Outdated)?;
        Ok(CheckAnswer {
            is_unchanged: answer.is_unchanged && answer.era == revision.era,
            ..answer
        })
    }

    /// Waits until the next check is due, `interval` after the last one if this gateway checks by itself.
    pub(super) async fn wait_for_next_check(&self, checked: &Checked, interval: Duration) {
        let bounds = self.bounds();
        let bound = bounds.convergence.min(bounds.drain);
        let coalesced = coalescing::check_interval(interval, bound);
        let mut route = self.reads.route.clone();
        let current = *route.borrow_and_update();
        let mut fallback = self.reads.fallback.subscribe();
        // Counted from the sending of the check, which is the time that it confirms.
        let elapsed = clock::boottime_now().since(checked.sent);
        let has_read = matches!(checked.result, Ok(Some(_)));
        let wait = async {
            match (current, checked.next) {
                (Route::Own, _) => {
                    if has_read {
                        sleep(MIN_CHECK_PAUSE).await;
                    }
                    self.channels.reader.wait_for_due_check(coalesced).await;
                }
                (Route::Peer(_), Some(next)) => {
                    let left = coalesced.saturating_sub(elapsed);
                    sleep(next.min(left).max(MIN_QUESTION_PAUSE)).await;
                }
                _ => sleep(interval.saturating_sub(elapsed).max(MIN_CHECK_PAUSE)).await,
            }
        };
        tokio::select! {
            () = wait => {}
            Ok(()) = route.changed() => {
                // Others may ask this gateway already.
                if *route.borrow() != Route::Own {
                    spread_direct_calls().await;
                }
            }
            Ok(()) = fallback.changed() => spread_direct_calls().await,
        }
    }

    /// Watches the backend servers at the reader, or at the store if this gateway has no reader or it does
    /// not answer.
    pub(super) async fn watch_servers_from(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<Watched, Error> {
        while let Some(clients) = self.reads.clients() {
            self.channels.reader.begin_watch(revision);
            if let Some(watched) = self.watch_at_reader(&clients, revision, wait).await {
                return watched;
            }
        }
        self.watch_at_store(revision, wait).await
    }

    /// Watches at the reader. `None` if the watch goes on elsewhere: at another reader, or at the store.
    async fn watch_at_reader(
        &self,
        clients: &Clients,
        revision: Revision,
        wait: Duration,
    ) -> Option<Result<Watched, Error>> {
        let wait = wait.min(WATCH_WAIT);
        let question = Watch {
            prefix: registration::PREFIX.to_owned(),
            revision: revision.into(),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let mut route = self.reads.route.clone();
        route.mark_unchanged();
        let mut fallback = self.reads.fallback.subscribe();
        let current = self.reads.clients();
        if current.is_none_or(|current| current.address != clients.address) {
            return None;
        }
        let limit = wait + ANSWER_TIMEOUT;
        let asking = ask::<WatchAnswer>(&clients.watches, path::STORE_WATCH, &question, limit);
        let answer = tokio::select! {
            answer = asking => answer,
            Ok(()) = route.changed() => return None,
            // A check was not answered, which is noticed sooner.
            Ok(()) = fallback.changed() => {
                spread_direct_calls().await;
                return None;
            }
        };
        let answer = answer.and_then(|answer| {
            let era = self.store.observe_era(answer.revision.era);
            era.map(|()| answer).map_err(|_| ReadError::Outdated)
        });
        match answer {
            Ok(answer) if answer.revision.era != revision.era => Some(Err(Error::Restored)),
            Ok(answer) if answer.is_compacted => Some(Err(Error::Compacted)),
            Ok(answer) => Some(Ok(Watched {
                changes: decode_changes(answer),
                is_relayed: true,
            })),
            Err(error) => {
                self.reads
                    .record_failure("backend servers", clients.address, &error);
                spread_direct_calls().await;
                None
            }
        }
    }

    async fn watch_at_store(&self, revision: Revision, wait: Duration) -> Result<Watched, Error> {
        self.channels.reader.begin_watch(revision);
        let watch = self.store.watch(registration::PREFIX, revision, wait);
        match watch.await {
            Ok(changes) => Ok(Watched {
                changes,
                is_relayed: false,
            }),
            Err(error) => {
                self.channels.reader.end_watch();
                Err(error)
            }
        }
    }
}

fn decode_changes(answer: WatchAnswer) -> Changes {
    let revision: Revision = answer.revision.into();
    let at = |number| Revision { number, ..revision };
    let changes = answer.changes.into_iter().map(|change| match change {
        store_read::Change::Put(key, value, number) => Change::Put(Entry {
            key,
            value: value.into_vec(),
            revision: at(number),
        }),
        store_read::Change::Removed(key, number) => Change::Removed {
            key,
            revision: at(number),
        },
        store_read::Change::Unreadable(key, reason) => {
            Change::Unreadable(Unreadable { key, reason })
        }
    });
    Changes {
        changes: changes.collect(),
        revision,
    }
}
