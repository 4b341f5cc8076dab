//! Who follows whom in the spreading of documents.
//!
//! In each data centre a few instances watch the key-value service; the others follow those. The
//! watching instances follow one another across data centres, so that a data centre which cannot
//! reach the key-value service still learns of changes.

use {crate::rendezvous, std::collections::BTreeSet};

/// Instances for each of which a data centre has one more that watches.
pub const INSTANCES_PER_WATCHER: usize = 64;

/// Fewest instances that watch in a data centre.
pub const MIN_WATCHERS: usize = 2;

/// Instances that each one follows in its data centre.
pub const LOCAL_SOURCES: usize = 2;

/// Watching instances of other data centres that each watching one follows.
pub const REMOTE_SOURCES: usize = 2;

const WATCHER_KEY: &str = "watcher";

/// A live instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name.
    pub instance: String,
    /// Data centre.
    pub data_centre: String,
}

/// The instances that watch the key-value service for a data centre.
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

/// The watching instances of all data centres.
pub fn all_watchers(candidates: &[Candidate]) -> Vec<&Candidate> {
    data_centres(candidates)
        .into_iter()
        .flat_map(|data_centre| watchers(candidates, data_centre))
        .collect()
}

/// Whether an instance watches the key-value service.
pub fn is_watcher(candidates: &[Candidate], own: &Candidate) -> bool {
    watchers(candidates, &own.data_centre)
        .iter()
        .any(|watcher| watcher.instance == own.instance)
}

/// The instances whose digests an instance follows; never itself.
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
