//! Client of the key-value store: compare-and-swap, leases and watches.
//!
//! It uses the API of the etcd v3 JSON gateway. Each function makes one call to the store, with a
//! timeout and without automatic retries.

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

/// Default timeout of each call.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Most keys in one [`Client::create_all`]: the store limits the operations of a transaction.
pub const MAX_BATCH: usize = 60;

/// Client of the key-value store. Clones share a connection pool.
#[derive(Clone)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// A client of the store at `endpoint`, such as `http://10.0.0.1:2379`.
    pub fn new(endpoint: &str) -> Self {
        Self {
            http: http::Client::new(endpoint, DEFAULT_TIMEOUT)
                .with_content_type("application/json"),
        }
    }

    /// Sets the timeout of each call.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self {
            http: self.http.with_timeout(timeout),
        }
    }

    /// Reads one key.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let request = RangeRequest::key(key);
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Ok(response.into_entries().pop())
    }

    /// Reads one key as it was at a past revision of the store.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] if the store no longer has that revision.
    pub async fn get_at(&self, key: &str, revision: i64) -> Result<Option<Entry>, Error> {
        let request = RangeRequest::key(key).with_revision(revision);
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Ok(response.into_entries().pop())
    }

    /// Reads all keys that begin with `prefix`, and the revision of the store at that time.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, i64), Error> {
        let request = RangeRequest::prefix(prefix);
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        let revision = response.header.revision;
        Ok((response.into_entries(), revision))
    }

    /// Reads the keys that begin with `prefix` and were written after `revision`.
    pub async fn list_newer(&self, prefix: &str, revision: i64) -> Result<Vec<Entry>, Error> {
        let request = RangeRequest::prefix(prefix).with_min_mod_revision(revision + 1);
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Ok(response.into_entries())
    }

    /// Writes a key if it does not exist.
    pub async fn create(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<&Lease>,
    ) -> Result<Swap, Error> {
        self.swap(key, value, 0, lease).await
    }

    /// Writes a key if the revision of its last write is `expected`, where 0 stands for a key that
    /// does not exist.
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

    /// Deletes a key if the revision of its last write is `expected`.
    pub async fn delete(&self, key: &str, expected: i64) -> Result<Swap, Error> {
        self.transact(key, expected, RequestOp::delete(key)).await
    }

    /// Creates several keys in one call. Each key is created independently: the others are created
    /// even if one exists already.
    ///
    /// The results are in the order of the batch, which has at most [`MAX_BATCH`] keys, all
    /// different.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] if the batch is too long or has a duplicate key; nothing is sent then.
    pub async fn create_all(
        &self,
        batch: &[Creation],
        lease: Option<&Lease>,
    ) -> Result<Vec<Swap>, Error> {
        validate_batch(batch)?;
        // A flat transaction would write all keys or none. Nested transactions are evaluated one by
        // one.
        let nested = batch
            .iter()
            .map(|creation| {
                let put = RequestOp::put(&creation.key, &creation.value, lease.map(Lease::id));
                RequestOp::txn(mod_revision_txn(&creation.key, 0, put))
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
            .map(|operation| operation.into_swap(revision))
            .collect::<Result<_, Error>>()?;
        if swaps.len() != batch.len() {
            return Err(Error::malformed(format!(
                "transaction has {} results for {} operations",
                swaps.len(),
                batch.len()
            )));
        }
        Ok(swaps)
    }

    /// Creates a lease that expires `ttl` after its last renewal. `ttl` is rounded down to whole
    /// seconds, but to at least one.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        lease::grant(self, ttl).await
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] if the lease has expired.
    pub async fn keep_alive(&self, lease: &Lease) -> Result<Lease, Error> {
        lease::keep_alive(self, lease).await
    }

    /// Revokes a lease, which deletes its keys.
    pub async fn revoke(&self, lease: &Lease) -> Result<(), Error> {
        lease::revoke(self, lease).await
    }

    /// Watches the keys that begin with `prefix` for changes at `from_revision` and later.
    pub async fn watch(&self, prefix: &str, from_revision: i64) -> Result<Watch, Error> {
        Watch::open(&self.http, prefix, from_revision).await
    }

    async fn transact(
        &self,
        key: &str,
        expected: i64,
        operation: RequestOp,
    ) -> Result<Swap, Error> {
        let request = mod_revision_txn(key, expected, operation);
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        let revision = response.header.revision;
        response.into_swap(revision)
    }

    async fn call<Req: Serialize, Resp: DeserializeOwned>(
        &self,
        path: &str,
        request: &Req,
    ) -> Result<Resp, Error> {
        let body = serde_json::to_vec(request).map_err(Error::rejected)?;
        let response = self.http.post(path, body).await?;
        serde_json::from_slice(&response).map_err(Error::malformed)
    }
}

/// A transaction that applies `operation` if the last write of `key` is at revision `expected`, and
/// reads the key otherwise.
fn mod_revision_txn(key: &str, expected: i64, operation: RequestOp) -> TxnRequest {
    TxnRequest {
        compare: vec![Compare::mod_revision(key, expected)],
        success: vec![operation],
        failure: vec![RequestOp::range(key)],
    }
}

fn validate_batch(batch: &[Creation]) -> Result<(), Error> {
    let keys: HashSet<&str> = batch.iter().map(|creation| creation.key.as_str()).collect();
    if batch.len() > MAX_BATCH {
        return Err(Error::rejected(format!(
            "batch has {} keys, more than {MAX_BATCH}",
            batch.len()
        )));
    }
    if keys.len() < batch.len() {
        return Err(Error::rejected("batch has a duplicate key"));
    }
    Ok(())
}
