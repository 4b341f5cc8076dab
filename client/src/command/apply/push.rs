//! Pushes a written document to the instances that disseminate it.
//!
//! Without the push, a document would not spread if the key-value store went down after the write
//! but before notifying its watchers.

use {
    crate::fleet::Fleet,
    futures_util::{StreamExt as _, stream},
    tamarackdale_core::dissemination::{self, Candidate},
    tamarackdale_store::{http, list::Member},
    tamarackdale_wire::{codec, message::Document, path},
};

/// Maximum number of concurrent calls.
const MAX_CONCURRENT_CALLS: usize = 16;

/// Sends a document to all instances that watch the key-value store. Failed calls are ignored,
/// since the other instances pass the document on.
pub(super) async fn run(fleet: &Fleet, service: &str, document: &Document) {
    let Ok(message) = codec::encode(document) else {
        return;
    };
    let path = format!("{}/{service}", path::DOCUMENTS);
    stream::iter(watchers(fleet))
        .for_each_concurrent(MAX_CONCURRENT_CALLS, |member| {
            let client = http::Client::new(&format!("http://{}", member.address), fleet.timeout);
            let (path, message) = (&path, message.clone());
            async move {
                let _ = client.post(path, message).await;
            }
        })
        .await;
}

/// The instances that watch the key-value store, without those that are leaving.
fn watchers(fleet: &Fleet) -> Vec<&Member> {
    let candidates: Vec<Candidate> = fleet
        .members
        .iter()
        .filter(|member| !member.leaving)
        .map(|member| Candidate {
            instance: member.instance.clone(),
            data_centre: member.data_centre.clone(),
        })
        .collect();
    let watchers = dissemination::all_watchers(&candidates);
    fleet
        .members
        .iter()
        .filter(|member| {
            watchers
                .iter()
                .any(|watcher| watcher.instance == member.instance)
        })
        .collect()
}
