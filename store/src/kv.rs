//! Client of the key-value service: compare-and-swap, leases and watches.
//!
//! It speaks the etcd v3 JSON gateway. Each function is one call of the service, bounded in time
//! and never repeated on its own.

mod entry;
mod error;
mod lease;
mod message;
mod scalar;
mod swap;
mod watch;

pub use {
    entry::Entry,
    error::Error,
    lease::Lease,
    swap::{Creation, Swap},
    watch::{Change, Watch},
};

use {
    crate::http,
    message::{Compare, RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse},
    serde::{Serialize, de::DeserializeOwned},
    std::{collections::HashSet, time::Duration},
};

/// Bound on each call, unless another is set.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Most keys in one [`Client::create_all`]; the service bounds the operations of a transaction.
pub const MAX_BATCH: usize = 60;

/// Client of the key-value service. Clones share connections.
#[derive(Clone)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// A client of the service at `endpoint`, such as `http://10.0.0.1:2379`.
    pub fn new(endpoint: &str) -> Self {
        Self {
            http: http::Client::new(endpoint, DEFAULT_TIMEOUT)
                .with_content_type("application/json"),
        }
    }

    /// Sets the bound on each call.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self {
            http: self.http.with_timeout(timeout),
        }
    }

    /// Reads one key.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let request = RangeRequest::key(key);
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Ok(response.into_entries()?.pop())
    }

    /// Reads one key as it was at a past revision of the store.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] if the service no longer has that revision.
    pub async fn get_at(&self, key: &str, revision: i64) -> Result<Option<Entry>, Error> {
        let request = RangeRequest::key(key).with_revision(revision);
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Ok(response.into_entries()?.pop())
    }

    /// Reads all keys that begin with `prefix`, and the revision of the store at that moment.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, i64), Error> {
        let request = RangeRequest::prefix(prefix);
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        let revision = response.header.revision;
        Ok((response.into_entries()?, revision))
    }

    /// Reads those keys that begin with `prefix` and were written after `revision`.
    pub async fn list_newer(&self, prefix: &str, revision: i64) -> Result<Vec<Entry>, Error> {
        let request = RangeRequest::prefix(prefix).with_min_mod_revision(revision + 1);
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        response.into_entries()
    }

    /// Writes a key that must not exist yet.
    pub async fn create(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<&Lease>,
    ) -> Result<Swap, Error> {
        self.swap(key, value, 0, lease).await
    }

    /// Writes a key that must still be at `expected`, the revision of its last write; 0 stands for
    /// a key that does not exist.
    pub async fn swap(
        &self,
        key: &str,
        value: &[u8],
        expected: i64,
        lease: Option<&Lease>,
    ) -> Result<Swap, Error> {
        let put = RequestOp::put(key, value, lease.map(Lease::id));
        self.transact(key, expected, put).await
    }

    /// Deletes a key that must still be at `expected`.
    pub async fn delete(&self, key: &str, expected: i64) -> Result<Swap, Error> {
        self.transact(key, expected, RequestOp::delete(key)).await
    }

    /// Creates several keys in one call, each on its own: an existing key does not hinder others.
    ///
    /// The results are in the order of the batch. It holds at most [`MAX_BATCH`] different keys.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] for a batch too long or with a key given twice; nothing is sent then.
    pub async fn create_all(
        &self,
        batch: &[Creation],
        lease: Option<&Lease>,
    ) -> Result<Vec<Swap>, Error> {
        check_batch(batch)?;
        // One flat transaction would be all or nothing; nested ones are judged one by one.
        let nested = batch
            .iter()
            .map(|creation| {
                let put = RequestOp::put(&creation.key, &creation.value, lease.map(Lease::id));
                RequestOp::txn(conditional(&creation.key, 0, put))
            })
            .collect();
        let request = TxnRequest {
            success: nested,
            ..TxnRequest::default()
        };
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        let revision = response.header.revision;
        let swaps: Vec<Swap> = response
            .responses
            .into_iter()
            .map(|answer| answer.into_swap(revision))
            .collect::<Result<_, Error>>()?;
        if swaps.len() != batch.len() {
            return Err(Error::malformed("a transaction with missing answers"));
        }
        Ok(swaps)
    }

    /// Opens a lease that lapses `ttl` after its last renewal; whole seconds, at least one.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        lease::grant(self, ttl).await
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] if the lease has lapsed.
    pub async fn keep_alive(&self, lease: &Lease) -> Result<Lease, Error> {
        lease::keep_alive(self, lease).await
    }

    /// Ends a lease and deletes its keys.
    pub async fn revoke(&self, lease: &Lease) -> Result<(), Error> {
        lease::revoke(self, lease).await
    }

    /// Watches the keys that begin with `prefix`, from the write at `from_revision` on.
    pub async fn watch(&self, prefix: &str, from_revision: i64) -> Result<Watch, Error> {
        Watch::open(&self.http, prefix, from_revision).await
    }

    async fn transact(
        &self,
        key: &str,
        expected: i64,
        operation: RequestOp,
    ) -> Result<Swap, Error> {
        let request = conditional(key, expected, operation);
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        let revision = response.header.revision;
        response.into_swap(revision)
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, Error> {
        let body = serde_json::to_vec(request).map_err(Error::rejected)?;
        let answer = self.http.post(path, body).await?;
        serde_json::from_slice(&answer).map_err(Error::malformed)
    }
}

/// An operation on a key at an expected revision; otherwise the key is read.
fn conditional(key: &str, expected: i64, operation: RequestOp) -> TxnRequest {
    TxnRequest {
        compare: vec![Compare::mod_revision(key, expected)],
        success: vec![operation],
        failure: vec![RequestOp::range(key)],
    }
}

fn check_batch(batch: &[Creation]) -> Result<(), Error> {
    let keys: HashSet<&str> = batch.iter().map(|creation| creation.key.as_str()).collect();
    if batch.len() > MAX_BATCH {
        return Err(Error::rejected(format!("more than {MAX_BATCH} keys")));
    }
    if keys.len() < batch.len() {
        return Err(Error::rejected("a key is given twice in one batch"));
    }
    Ok(())
}
