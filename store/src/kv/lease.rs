//! Leases of the key-value store.

use {
    super::{
        Client, Error,
        message::{KeepAliveResponse, LeaseGrantRequest, LeaseRequest, LeaseResponse},
    },
    std::time::Duration,
};

/// A lease. The store deletes the keys that were written under it when it expires or is revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    id: i64,
    ttl: Duration,
}

impl Lease {
    /// Identifier, which the store never reuses.
    pub fn id(&self) -> i64 {
        self.id
    }

    /// Time from the grant or renewal until the lease expires. Measure it from before the call is
    /// sent: the store starts it at an unknown moment during the call.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }
}

pub(super) async fn grant(client: &Client, ttl: Duration) -> Result<Lease, Error> {
    let request = LeaseGrantRequest {
        ttl: i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX).max(1),
    };
    let response: LeaseResponse = client.call("/v3/lease/grant", &request).await?;
    response.try_into()
}

pub(super) async fn keep_alive(client: &Client, lease: &Lease) -> Result<Lease, Error> {
    let request = LeaseRequest { id: lease.id };
    let response: KeepAliveResponse = client.call("/v3/lease/keepalive", &request).await?;
    response.result.try_into()
}

pub(super) async fn revoke(client: &Client, lease: &Lease) -> Result<(), Error> {
    let request = LeaseRequest { id: lease.id };
    let _: serde_json::Value = client.call("/v3/lease/revoke", &request).await?;
    Ok(())
}

impl TryFrom<LeaseResponse> for Lease {
    type Error = Error;

    fn try_from(response: LeaseResponse) -> Result<Self, Error> {
        match u64::try_from(response.ttl) {
            Ok(ttl) if ttl > 0 => Ok(Self {
                id: response.id,
                ttl: Duration::from_secs(ttl),
            }),
            _ => Err(Error::rejected("lease has expired")),
        }
    }
}
