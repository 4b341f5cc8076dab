//! Follows the platform's store: the configuration, the backend servers and the other gateways.
//!
//! A thread of its own, so that reading a large configuration never delays a request.

use {
    crate::{signal::Shutdown, uptime},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tamarackdale_core::{
        directory::Directory,
        fleet::{Member, Roster},
        freshness::{BootTime, Freshness},
    },
    tamarackdale_platform::{
        Settings, configuration, server,
        store::{Change, Check, Entry, Error, Store},
    },
    tamarackdale_wire::{codec, summary::Kept},
    tokio::{sync::watch, time::sleep},
};

/// Part of the time within which a change must be in force everywhere that lies between two proofs
/// of the configuration, as a proof also brings the change; the rest is for the calls and the
/// reading.
const PROOF_PART: f64 = 0.7;

/// Pause after a call that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time that a watch waits for changes. A connection that went silent is noticed after it.
const WATCH_WAIT: Duration = Duration::from_millis(3_000);

/// Part of the time within which leaving backend servers must get no more requests that passes
/// after a watch that told something: changes come in groups, and each call has its price.
const WATCH_PAUSE_PART: f64 = 0.4;

/// Time after the store's return within which lapsed registrations of living backend servers are
/// back; the platform states about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// Lease of this gateway's own registration.
const LEASE: Duration = Duration::from_secs(12);

/// Pause between renewals, a third of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Key of the use of quotas, kept for a start of all gateways.
const QUOTA_USE: &str = "quota-use";

/// Pause between two looks at whether use of quotas must be kept.
const KEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Prefix of the gateways' registrations; the rest of a key is the address for peers.
const GATEWAYS: &str = "gateways/";

/// Part of the allowed age of a proof that is kept for the way from the check to the backend
/// server.
const FRESHNESS_RESERVE: Duration = Duration::from_millis(400);

/// A configuration with the proof of its being the newest.
#[derive(Debug)]
pub struct Snapshot {
    /// The configuration.
    pub directory: Arc<Directory>,
    /// Revision of the store that it was read at.
    pub revision: u64,
    /// Age of the newest proof.
    pub freshness: Freshness,
}

/// What the follower tells the rest of the process.
#[derive(Clone)]
pub struct Followed {
    /// The newest configuration.
    pub configuration: watch::Receiver<Option<Arc<Snapshot>>>,
    /// Backend servers.
    pub roster: watch::Receiver<Arc<Roster>>,
    /// Addresses of the registered gateways.
    pub gateways: watch::Receiver<Arc<BTreeSet<SocketAddr>>>,
    /// Use of quotas before this start, once it is known.
    pub kept: watch::Receiver<Option<Kept>>,
    /// Use of quotas that this gateway must keep in the store; empty if another one does.
    pub to_keep: watch::Sender<Kept>,
}

/// Sending ends of what the follower tells.
pub struct Publisher {
    configuration: watch::Sender<Option<Arc<Snapshot>>>,
    roster: watch::Sender<Arc<Roster>>,
    gateways: watch::Sender<Arc<BTreeSet<SocketAddr>>>,
    kept: watch::Sender<Option<Kept>>,
    to_keep: watch::Receiver<Kept>,
}

/// Both ends of what the follower tells.
pub fn channels() -> (Publisher, Followed) {
    let (configuration, followed_configuration) = watch::channel(None);
    let (roster, followed_roster) = watch::channel(Arc::new(Roster::new()));
    let (gateways, followed_gateways) = watch::channel(Arc::new(BTreeSet::new()));
    let (kept, followed_kept) = watch::channel(None);
    let (to_keep, published_to_keep) = watch::channel(Kept::default());
    let publisher = Publisher {
        configuration,
        roster,
        gateways,
        kept,
        to_keep: published_to_keep,
    };
    let followed = Followed {
        configuration: followed_configuration,
        roster: followed_roster,
        gateways: followed_gateways,
        kept: followed_kept,
        to_keep,
    };
    (publisher, followed)
}

/// The duty.
pub struct Follower {
    store: Store,
    address: SocketAddr,
    freshness: Freshness,
    proof_interval: Duration,
    watch_pause: Duration,
    publisher: Publisher,
    shutdown: Shutdown,
    trouble: watch::Sender<Option<Instant>>,
}

impl Follower {
    /// A follower that has not asked for anything.
    pub fn new(settings: &Settings, publisher: Publisher, shutdown: Shutdown) -> Self {
        let limit = settings
            .bounds
            .key_freshness
            .saturating_sub(FRESHNESS_RESERVE);
        let (trouble, _) = watch::channel(None);
        Self {
            store: Store::new(&settings.store, WATCH_WAIT),
            address: settings.peers,
            freshness: Freshness::new(limit),
            proof_interval: settings.bounds.convergence.mul_f64(PROOF_PART),
            watch_pause: settings.bounds.drain.mul_f64(WATCH_PAUSE_PART),
            publisher,
            shutdown,
            trouble,
        }
    }

    /// Follows until the process is cut.
    pub async fn run(self) {
        let follow = async {
            tokio::join!(
                self.follow_configuration(),
                self.follow_servers(),
                self.follow_gateways(),
                self.keep_quota_use(),
            )
        };
        tokio::select! {
            _ = follow => {}
            () = self.shutdown.cutting.cancelled() => {}
        }
    }

    /// Proves the configuration again and again; a proof that fails brings the newer one.
    async fn follow_configuration(&self) {
        loop {
            let sent = uptime::boot_time();
            let known = self.publisher.configuration.borrow().clone();
            let result = match &known {
                None => self.store.get(configuration::KEY).await.map(Some),
                Some(known) => match self.store.check(configuration::KEY, known.revision).await {
                    Ok(Check::Unchanged) => Ok(None),
                    Ok(Check::Changed(Some(entry))) => Ok(Some(entry)),
                    Ok(Check::Changed(None)) => Err(Error::NoKey),
                    Err(error) => Err(error),
                },
            };
            let is_lost = result.is_err();
            match (result, known) {
                (Ok(Some(entry)), known) => self.adopt(&entry, known.as_deref(), sent),
                (Ok(None), Some(known)) => self.prove(&known, sent),
                (Ok(None), None) => {}
                (Err(error), _) => self.lose("configuration", &error),
            }
            if !is_lost {
                self.regain();
            }
            sleep(if is_lost {
                RETRY_INTERVAL
            } else {
                self.proof_interval
            })
            .await;
        }
    }

    fn adopt(&self, entry: &Entry, known: Option<&Snapshot>, sent: BootTime) {
        if known.is_some_and(|known| known.revision >= entry.revision) {
            log::warn!(revision = entry.revision; "an older configuration was read and is ignored");
            return;
        }
        let directory = match configuration::decode(&entry.value) {
            Ok(directory) => directory,
            Err(error) => {
                log::error!(revision = entry.revision; "configuration not adopted: {error}");
                return;
            }
        };
        log::info!(
            version = directory.version(),
            revision = entry.revision,
            routes = directory.route_count(),
            organisations = directory.organisations().len();
            "configuration adopted"
        );
        let mut freshness = self.freshness;
        freshness.prove(sent);
        let snapshot = Snapshot {
            directory: Arc::new(directory),
            revision: entry.revision,
            freshness,
        };
        self.publisher
            .configuration
            .send_replace(Some(Arc::new(snapshot)));
    }

    fn prove(&self, known: &Snapshot, sent: BootTime) {
        let mut freshness = known.freshness;
        freshness.prove(sent);
        let snapshot = Snapshot {
            directory: Arc::clone(&known.directory),
            revision: known.revision,
            freshness,
        };
        self.publisher
            .configuration
            .send_replace(Some(Arc::new(snapshot)));
    }

    /// Reads the registrations and watches them; reads them again when the watch fails.
    async fn follow_servers(&self) {
        loop {
            let range = match self.store.range(server::PREFIX).await {
                Ok(range) => range,
                Err(error) => {
                    self.lose("backend servers", &error);
                    sleep(RETRY_INTERVAL).await;
                    continue;
                }
            };
            let mut roster = Roster::new();
            let known = self.publisher.roster.borrow().clone();
            for entry in &range.entries {
                register(&mut roster, entry, &known);
            }
            self.replace(roster);
            self.watch_servers(range.revision).await;
        }
    }

    /// Takes over a whole roster. Entries that are missing soon after the store was away may have
    /// lapsed meanwhile, so they are kept until they can be back.
    fn replace(&self, mut roster: Roster) {
        if self.is_in_doubt() {
            let known = self.publisher.roster.borrow().clone();
            for (id, member) in known.iter().filter(|(_, member)| !member.is_leaving) {
                roster.entry(id.clone()).or_insert_with(|| member.clone());
            }
        }
        self.publish(roster);
    }

    async fn watch_servers(&self, mut revision: u64) {
        let mut must_read_again = self.is_in_doubt();
        loop {
            let wait = self.doubt().unwrap_or(WATCH_WAIT);
            let changes = match self.store.watch(server::PREFIX, revision, wait).await {
                Ok(changes) => changes,
                Err(error) => {
                    self.lose("backend servers", &error);
                    if !matches!(error, Error::HistoryGone) {
                        sleep(RETRY_INTERVAL).await;
                    }
                    return;
                }
            };
            revision = changes.revision.max(revision);
            if !changes.changes.is_empty() {
                self.apply(&changes.changes);
                sleep(self.watch_pause).await;
            }
            let is_in_doubt = self.is_in_doubt();
            if must_read_again && !is_in_doubt {
                return;
            }
            must_read_again |= is_in_doubt;
        }
    }

    /// Time for which a missing registration may still come back; none if the store has answered
    /// for long enough.
    fn doubt(&self) -> Option<Duration> {
        let since = self.trouble.borrow().map(|at| at.elapsed())?;
        let left = RETURN_GRACE.saturating_sub(since);
        (!left.is_zero()).then_some(left)
    }

    fn is_in_doubt(&self) -> bool {
        self.doubt().is_some()
    }

    fn apply(&self, changes: &[Change]) {
        let known = self.publisher.roster.borrow().clone();
        let mut roster = Roster::clone(&known);
        for change in changes {
            match change {
                Change::Put(entry) => register(&mut roster, entry, &known),
                Change::Removed { key, .. } => self.remove(&mut roster, key),
            }
        }
        self.publish(roster);
    }

    /// Takes out a backend server whose registration ended; while that may be the store's doing,
    /// it stays until the registrations are read again.
    fn remove(&self, roster: &mut Roster, key: &str) {
        let Some(id) = server::id(key) else {
            return;
        };
        let is_leaving = roster.get(id).is_some_and(|member| member.is_leaving);
        if self.is_in_doubt() && !is_leaving {
            log::info!(backend_server = id; "registration lapsed while the store was away");
            return;
        }
        if let Some(member) = roster.remove(id) {
            log::info!(backend_server = id, service = member.service.as_str(); "backend server gone");
        }
    }

    fn publish(&self, roster: Roster) {
        if *self.publisher.roster.borrow().as_ref() != roster {
            self.publisher.roster.send_replace(Arc::new(roster));
        }
    }

    /// Registers this gateway and reads who else is there.
    async fn follow_gateways(&self) {
        let mut lease = None;
        loop {
            let held = match lease {
                Some(held) => self.store.keep(held).await.map(|()| held),
                None => self.register_self().await,
            };
            lease = match held {
                Ok(held) => Some(held),
                Err(Error::NoLease) => None,
                Err(error) => {
                    self.lose("gateways", &error);
                    sleep(RETRY_INTERVAL).await;
                    continue;
                }
            };
            sleep(if lease.is_some() {
                RENEWAL_INTERVAL
            } else {
                RETRY_INTERVAL
            })
            .await;
        }
    }

    /// Of two gateways that register at the same time at least one sees the other, as both read
    /// after they have written.
    async fn register_self(&self) -> Result<u64, Error> {
        let lease = self.store.lease(LEASE).await?;
        let key = format!("{GATEWAYS}{}", self.address);
        self.store
            .put(&key, self.address.to_string().as_bytes(), lease)
            .await?;
        let range = self.store.range(GATEWAYS).await?;
        let addresses = range
            .entries
            .iter()
            .filter_map(|entry| entry.key.strip_prefix(GATEWAYS)?.parse().ok())
            .filter(|address| *address != self.address)
            .collect();
        self.publisher.gateways.send_replace(Arc::new(addresses));
        Ok(lease)
    }

    /// Reads the use of quotas that was kept before this start, then keeps that of this gateway
    /// whenever there is some. It hangs on a lease, since it is worth nothing after a window.
    async fn keep_quota_use(&self) {
        let kept = loop {
            match self.store.get(QUOTA_USE).await {
                Ok(entry) => break decode_kept(&entry),
                Err(Error::NoKey) => break Kept::default(),
                Err(error) => self.lose("use of quotas", &error),
            }
            sleep(RETRY_INTERVAL).await;
        };
        self.publisher.kept.send_replace(Some(kept));
        let mut to_keep = self.publisher.to_keep.clone();
        let mut lease = None;
        loop {
            sleep(KEEP_INTERVAL).await;
            let use_now = to_keep.borrow_and_update().clone();
            if use_now.used.is_empty() {
                continue;
            }
            match self.put_quota_use(&use_now, lease).await {
                Ok(held) => lease = Some(held),
                Err(Error::NoLease) => lease = None,
                Err(error) => self.lose("use of quotas", &error),
            }
        }
    }

    async fn put_quota_use(&self, kept: &Kept, lease: Option<u64>) -> Result<u64, Error> {
        let lease = match lease {
            Some(lease) => {
                self.store.keep(lease).await?;
                lease
            }
            None => self.store.lease(LEASE).await?,
        };
        let bytes = codec::encode(kept).map_err(|error| Error::Malformed(error.to_string()))?;
        self.store.put(QUOTA_USE, &bytes, lease).await?;
        Ok(lease)
    }

    fn lose(&self, what: &str, error: &Error) {
        if matches!(error, Error::HistoryGone | Error::NoKey) {
            log::info!(what; "{error}");
            return;
        }
        if self.trouble.send_replace(Some(Instant::now())).is_none() {
            log::warn!(what; "store lost: {error}");
        }
    }

    /// Notes an answer; trouble is over when it lies long enough back.
    fn regain(&self) {
        let is_over = |at: &Instant| at.elapsed() > RETURN_GRACE * 2;
        if self.trouble.borrow().as_ref().is_some_and(is_over) {
            self.trouble.send_replace(None);
            log::info!("store regained");
        }
    }
}

fn decode_kept(entry: &Entry) -> Kept {
    codec::decode(&entry.value).unwrap_or_else(|error| {
        log::warn!("the kept use of quotas cannot be read: {error}");
        Kept::default()
    })
}

fn register(roster: &mut Roster, entry: &Entry, known: &Roster) {
    match server::decode(&entry.key, &entry.value) {
        Ok(member) => {
            note(known.get(&member.id), &member);
            roster.insert(member.id.clone(), member);
        }
        Err(error) => {
            log::warn!(key = entry.key.as_str(); "registration names no backend server: {error}");
            if let Some(id) = server::id(&entry.key) {
                roster.remove(id);
            }
        }
    }
}

fn note(known: Option<&Member>, member: &Member) {
    let is_same = known
        .is_some_and(|known| known.is_leaving == member.is_leaving && known.born == member.born);
    if !is_same {
        log::info!(
            backend_server = member.id.as_str(),
            service = member.service.as_str(),
            leaving = member.is_leaving;
            "backend server registered"
        );
    }
}
