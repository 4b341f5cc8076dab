//! Topology for the dissemination of documents: which instances watch the key-value store, and
//! which instances follow which.
//!
//! In each data centre, a few instances watch the key-value store and the others follow these
//! watchers. Watchers also follow watchers of other data centres, so that a data centre that cannot
//! reach the store still receives changes.

use {crate::rendezvous, std::collections::BTreeSet};

/// Instances of a data centre per watcher.
pub const INSTANCES_PER_WATCHER: usize = 64;

/// Minimum number of watchers in a data centre.
pub const MIN_WATCHERS: usize = 2;

/// Number of watchers that an instance follows in its own data centre.
pub const LOCAL_SOURCES: usize = 2;

/// Number of watchers of other data centres that a watcher follows.
pub const REMOTE_SOURCES: usize = 2;

const WATCHER_KEY: &str = "watcher";

/// A live instance, which may become a watcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
}

/// The watchers of a data centre.
pub fn watchers<'a>(candidates: &'a [Candidate], data_centre: &str) -> Vec<&'a Candidate> {
    let local: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| candidate.data_centre == data_centre)
        .collect();
    let count = local
        .len()
        .div_ceil(INSTANCES_PER_WATCHER)
        .max(MIN_WATCHERS);
    rendezvous::choose(WATCHER_KEY, local, |candidate| &candidate.instance, count)
}

/// The watchers of all data centres.
pub fn all_watchers(candidates: &[Candidate]) -> Vec<&Candidate> {
    data_centres(candidates)
        .into_iter()
        .flat_map(|data_centre| watchers(candidates, data_centre))
        .collect()
}

/// Whether an instance is a watcher.
pub fn is_watcher(candidates: &[Candidate], own: &Candidate) -> bool {
    watchers(candidates, &own.data_centre)
        .iter()
        .any(|watcher| watcher.instance == own.instance)
}

/// The watchers that an instance follows, by their digests. Never includes the instance itself.
pub fn sources<'a>(candidates: &'a [Candidate], own: &Candidate) -> Vec<&'a Candidate> {
    let name = |candidate: &Candidate| candidate.instance.clone();
    let local = watchers(candidates, &own.data_centre);
    let is_watcher = local.iter().any(|watcher| watcher.instance == own.instance);
    let others = local
        .into_iter()
        .filter(|watcher| watcher.instance != own.instance);
    let mut sources = choose(&name(own), others, LOCAL_SOURCES);
    if is_watcher {
        let remote = data_centres(candidates)
            .into_iter()
            .filter(|data_centre| *data_centre != own.data_centre)
            .filter_map(|data_centre| watchers(candidates, data_centre).into_iter().next());
        sources.extend(choose(&name(own), remote, REMOTE_SOURCES));
    }
    sources
}

fn choose<'a>(
    key: &str,
    candidates: impl Iterator<Item = &'a Candidate>,
    count: usize,
) -> Vec<&'a Candidate> {
    rendezvous::choose(key, candidates, |candidate| &candidate.instance, count)
}

fn data_centres(candidates: &[Candidate]) -> BTreeSet<&str> {
    candidates
        .iter()
        .map(|candidate| candidate.data_centre.as_str())
        .collect()
}
