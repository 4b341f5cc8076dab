//! Accepts a request anew, under a newer document than the one it was accepted under.

use {
    crate::{
        configuration::catalogue::{CatalogueReceiver, Version},
        router::inbound::InboundRequest,
    },
    std::{sync::Arc, time::Duration},
    tamarackdale_core::document::tier::{Disconnect, Late},
    tokio::time::timeout,
};

/// Longest wait for the newer document, which a sidecar has already.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(2);

/// Waits for a newer document than that of the request, and accepts the request under it.
///
/// The deadline stays the one that the caller was promised. `None` if no newer document comes in
/// time, or if it no longer allows the request.
pub async fn renew(
    request: &InboundRequest,
    mut catalogue: CatalogueReceiver,
) -> Option<InboundRequest> {
    let service = request.id.service.as_str();
    let known = request.version.revision;
    let newer = catalogue.wait_for(|catalogue| catalogue.revision(service) > known);
    let version = timeout(CATCH_UP_LIMIT, newer)
        .await
        .ok()?
        .ok()?
        .get(service)?;
    accept(request, version)
}

fn accept(request: &InboundRequest, version: Arc<Version>) -> Option<InboundRequest> {
    let document = &version.document;
    let organisation = document.organisation(&request.id.organisation)?;
    let (rank, tier) = document.tier(&request.tier)?;
    if !organisation.may_use(&tier.name) {
        return None;
    }
    let path = request.path.split('?').next().unwrap_or_default();
    Some(InboundRequest {
        idempotent: document.is_idempotent(request.method.as_str(), path),
        rank,
        finish_late: tier.late == Late::Finish,
        finish_alone: tier.disconnect == Disconnect::Finish,
        weight: organisation.weight,
        version: Arc::clone(&version),
        ..request.clone()
    })
}
