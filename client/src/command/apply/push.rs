//! Hands a written document to the instances that spread it.
//!
//! The key-value service may go down before it has told any of them.

use {
    crate::fleet::Fleet,
    futures_util::{StreamExt as _, stream},
    tamarackdale_core::dissemination::{self, Candidate},
    tamarackdale_store::{http, list::Member},
    tamarackdale_wire::{codec, message::Document, path},
};

/// Calls made at the same time.
const PARALLEL_CALLS: usize = 16;

/// Offers a document to all instances that watch the key-value service. Those that cannot be
/// reached learn of it from the others.
pub(super) async fn run(fleet: &Fleet, service: &str, document: &Document) {
    let Ok(message) = codec::encode(document) else {
        return;
    };
    let path = format!("{}/{service}", path::DOCUMENTS);
    stream::iter(watchers(fleet))
        .for_each_concurrent(PARALLEL_CALLS, |member| {
            let client = http::Client::new(&format!("http://{}", member.address), fleet.timeout);
            let (path, message) = (&path, message.clone());
            async move {
                let _ = client.post(path, message).await;
            }
        })
        .await;
}

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
