//! Origins of streams as they are saved in the store, so that they survive a restart of all routers.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
    tamarackdale_core::origin,
};

/// Origins that one router has saved.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Saved {
    /// Each origin that the router knows, with its streams.
    pub origins: Vec<Group>,
}

/// Streams that began at one version of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Group {
    /// Name of the service.
    pub service: String,
    /// Version of its software.
    pub version: String,
    /// Digests of the streams.
    pub streams: Vec<u64>,
}

impl From<BTreeMap<Arc<origin::Origin>, Vec<u64>>> for Saved {
    fn from(streams: BTreeMap<Arc<origin::Origin>, Vec<u64>>) -> Self {
        let origins = streams.into_iter().map(|(origin, streams)| Group {
            service: origin.service.clone(),
            version: origin.version.clone(),
            streams,
        });
        Self {
            origins: origins.collect(),
        }
    }
}

impl From<Saved> for HashMap<Arc<origin::Origin>, Vec<u64>> {
    fn from(saved: Saved) -> Self {
        let by_origin = saved.origins.into_iter().map(|group| {
            let origin = origin::Origin {
                service: group.service,
                version: group.version,
            };
            (Arc::new(origin), group.streams)
        });
        by_origin.collect()
    }
}
