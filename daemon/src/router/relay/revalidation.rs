//! Validates an accepted request against a newer version of its service's document.

use {
    crate::{
        configuration::catalogue::{CatalogueReceiver, Version},
        router::inbound::InboundRequest,
    },
    std::{sync::Arc, time::Duration},
    tamarackdale_core::document::tier::{DisconnectPolicy, LatePolicy},
    tokio::time::timeout,
};

/// Maximum wait for the newer document, which a sidecar already has.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(2);

/// Waits for a newer document than that of the request, and validates the request against it.
///
/// The request keeps the deadline that its caller was promised. Returns `None` if no newer document
/// arrives in time, or if the newer document no longer allows the request.
pub async fn revalidate(
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
        finish_late: tier.late == LatePolicy::Finish,
        finish_alone: tier.disconnect == DisconnectPolicy::Finish,
        weight: organisation.weight,
        version: Arc::clone(&version),
        ..request.clone()
    })
}
