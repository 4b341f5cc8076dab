//! Reads the orders for rollouts, and writes the statuses that answer them.

use {
    super::{Follower, WATCH_WAIT},
    crate::clock,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tamarackdale_core::rollout::{Observation, Order, RecordedStatus, StatusWrite, Work},
    tamarackdale_platform::{
        rollout,
        store::{Change, ConditionalPut, Entry, Error},
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// What the log calls the keys.
const WHAT: &str = "rollouts";

/// Time after which a status that is still wanted is written again.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a read that an order is missing from, soon after a restoration of the store: the operator
/// may write it again.
const UNSETTLED_PAUSE: Duration = Duration::from_millis(500);

impl Follower {
    /// Reads and writes what rollouts need. Calls nothing while there is nothing to do.
    pub(super) async fn follow_rollouts(&self) {
        tokio::join!(
            self.check_orders(),
            self.watch_orders(),
            self.write_statuses(),
        );
    }

    async fn pass(&self, observation: Observation) {
        // The receiver lives as long as the process.
        let _ = self.channels.rollouts.send(observation).await;
    }

    /// Reads the order and the status of services with a version that is not checked.
    async fn check_orders(&self) {
        let mut work = self.channels.rollout_work.clone();
        let mut done: BTreeMap<String, u64> = BTreeMap::new();
        let mut failures = 0;
        loop {
            let checks = work.borrow_and_update().checks.clone();
            let next = checks
                .into_iter()
                .find(|(service, check)| done.get(service).is_none_or(|done| done < check));
            let Some((service, check)) = next else {
                // The process holds the sender until it ends.
                let _ = work.changed().await;
                continue;
            };
            match self.read_rollout(&service, Some(check)).await {
                Ok(observation) => {
                    failures = 0;
                    done.insert(service, check);
                    self.pass(observation).await;
                }
                Err(error) => {
                    self.record_store_error(WHAT, &error);
                    failures += 1;
                    self.pause_after(failures).await;
                }
            }
        }
    }

    async fn read_rollout(&self, service: &str, check: Option<u64>) -> Result<Observation, Error> {
        let sent = clock::boottime_now();
        let order = self.read_entry(&rollout::order_key(service)).await?;
        if order.is_none() && !self.store.eras().is_settled(sent) {
            sleep(UNSETTLED_PAUSE).await;
            return Err(Error::Restored);
        }
        let status = match order.is_some() {
            true => self.read_entry(&rollout::status_key(service)).await?,
            false => None,
        };
        Ok(observation(service, check, order.as_ref(), status.as_ref()))
    }

    async fn read_entry(&self, key: &str) -> Result<Option<Entry>, Error> {
        match self.store.get(key).await {
            Ok(entry) => Ok(Some(entry)),
            Err(Error::NoKey) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Watches the orders while that is this gateway's task.
    async fn watch_orders(&self) {
        let mut work = self.channels.rollout_work.clone();
        let mut failures = 0;
        loop {
            if work.wait_for(|work| work.is_watching).await.is_err() {
                return std::future::pending().await;
            }
            let mut ended = work.clone();
            let result = tokio::select! {
                result = self.read_and_watch_orders(&work) => result,
                _ = ended.wait_for(|work| !work.is_watching) => Ok(()),
            };
            match result {
                Ok(()) => failures = 0,
                Err(error) => {
                    self.record_store_error(WHAT, &error);
                    failures += 1;
                    self.pause_after(failures).await;
                }
            }
        }
    }

    /// Reads all orders and statuses, and watches the orders until a call fails.
    async fn read_and_watch_orders(&self, work: &watch::Receiver<Work>) -> Result<(), Error> {
        let mut revision = loop {
            let sent = clock::boottime_now();
            let orders = self.store.range(rollout::ORDERS).await?;
            let statuses = match orders.entries.is_empty() {
                true => Vec::new(),
                false => self.store.range(rollout::STATUSES).await?.entries,
            };
            let mut missing: BTreeSet<String> = work.borrow().running.clone();
            for entry in &orders.entries {
                if let Some(service) = rollout::service(&entry.key) {
                    missing.remove(service);
                    let key = rollout::status_key(service);
                    let status = statuses.iter().find(|status| status.key == key);
                    self.pass(observation(service, None, Some(entry), status))
                        .await;
                }
            }
            let is_settled = self.store.eras().is_settled(sent);
            if is_settled {
                for service in &missing {
                    self.pass(observation(service, None, None, None)).await;
                }
            }
            if is_settled || missing.is_empty() {
                break orders.revision;
            }
            sleep(UNSETTLED_PAUSE).await;
        };
        loop {
            let watch = self.store.watch(rollout::ORDERS, revision, WATCH_WAIT);
            let changes = match watch.await {
                Err(Error::WatchLost(_)) => {
                    self.pause_after(1).await;
                    continue;
                }
                changes => changes?,
            };
            self.record_store_success();
            revision = changes.revision.max(revision);
            for change in &changes.changes {
                let Some(service) = change.key().and_then(rollout::service) else {
                    continue;
                };
                let observation = match change {
                    Change::Put(entry) => {
                        let status = self.read_entry(&rollout::status_key(service)).await?;
                        observation(service, None, Some(entry), status.as_ref())
                    }
                    Change::Removed { .. } => observation(service, None, None, None),
                    Change::Unreadable(item) => {
                        log::warn!(service; "rollout order ignored: {item}");
                        continue;
                    }
                };
                self.pass(observation).await;
            }
        }
    }

    /// Writes the statuses that the process wants.
    async fn write_statuses(&self) {
        let mut work = self.channels.rollout_work.clone();
        let mut failures = 0;
        loop {
            if work.wait_for(|work| !work.writes.is_empty()).await.is_err() {
                return std::future::pending().await;
            }
            let writes = work.borrow_and_update().writes.clone();
            let mut error = None;
            for write in &writes {
                match self.write_status(write).await {
                    Ok(observation) => self.pass(observation).await,
                    Err(failure) => error = Some(failure),
                }
            }
            match error {
                None => {
                    failures = 0;
                    // The process wants others once it knows of these.
                    let changed = work.wait_for(|work| work.writes != writes);
                    let _ = timeout(WRITE_INTERVAL, changed).await;
                }
                Some(error) => {
                    self.record_store_error(WHAT, &error);
                    failures += 1;
                    self.pause_after(failures).await;
                }
            }
        }
    }

    /// Writes a status, on condition that the order and the status are unchanged. Returns what the store
    /// has then.
    async fn write_status(&self, write: &StatusWrite) -> Result<Observation, Error> {
        let service = write.service.as_str();
        let (order_key, status_key) = (rollout::order_key(service), rollout::status_key(service));
        let expected = [
            (order_key.as_str(), Some(write.order.revision)),
            (status_key.as_str(), write.expected),
        ];
        let value = rollout::encode_status(&write.status);
        let sent = clock::boottime_now();
        let put = self.store.put_if(&status_key, &value, &expected).await?;
        match put {
            ConditionalPut::Written(revision) => {
                log::info!(
                    service,
                    to = write.status.to.as_str(),
                    state:? = write.status.state,
                    reason = write.status.reason.as_deref(),
                    revision:% = revision;
                    "rollout status written"
                );
                Ok(Observation {
                    service: service.to_owned(),
                    check: None,
                    order: Some(write.order.clone()),
                    status: Some(RecordedStatus {
                        revision,
                        status: Some(write.status.clone()),
                    }),
                })
            }
            ConditionalPut::Conflict(entries) => {
                let find = |key: &str| entries.iter().find(|entry| entry.key == key);
                let order = find(&order_key);
                log::info!(service, has_order = order.is_some(); "rollout status not written: the keys have changed");
                if order.is_none() && !self.store.eras().is_settled(sent) {
                    return Err(Error::Restored);
                }
                Ok(observation(service, None, order, find(&status_key)))
            }
        }
    }
}

fn observation(
    service: &str,
    check: Option<u64>,
    order: Option<&Entry>,
    status: Option<&Entry>,
) -> Observation {
    Observation {
        service: service.to_owned(),
        check,
        order: order.map(|entry| Order {
            revision: entry.revision,
            target: rollout::decode_order(service, &entry.value),
        }),
        status: status.map(|entry| RecordedStatus {
            revision: entry.revision,
            status: rollout::decode_status(&entry.value),
        }),
    }
}
