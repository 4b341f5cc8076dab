//! What the instance list says of this process's part in the spreading of documents.

use {
    super::Context,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tamarackdale_core::spread::{self, Candidate},
    tamarackdale_store::list::{self, Member, Role},
    tokio::{sync::watch, time::sleep},
};

/// Target of the log lines, which operators filter by.
const LOG_TARGET: &str = "tamarackdaled::configuration::roster";

/// Time between two readings of the instance list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The fleet as one process sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Live instances besides this one.
    pub peers: Vec<Member>,
    /// Whether this process watches the key-value service.
    pub is_watcher: bool,
    /// Addresses of the instances whose digests this process follows.
    pub sources: Vec<SocketAddr>,
    /// Whether the list has been read.
    pub is_known: bool,
    /// Whether this instance is listed as leaving.
    pub is_leaving: bool,
}

impl View {
    /// The view of the instance `own` on the listed members.
    pub fn new(members: Vec<Member>, own: &Candidate) -> Self {
        let is_leaving = members
            .iter()
            .any(|member| member.leaving && member.instance == own.instance);
        let peers: Vec<Member> = members
            .into_iter()
            .filter(|member| !member.leaving && member.instance != own.instance)
            .collect();
        // A process that is not listed yet takes part as if it were.
        let candidates: Vec<Candidate> = peers
            .iter()
            .map(|member| Candidate {
                instance: member.instance.clone(),
                data_centre: member.data_centre.clone(),
            })
            .chain([own.clone()])
            .collect();
        let sources = spread::sources(&candidates, own)
            .into_iter()
            .filter_map(|source| {
                let peer = peers.iter().find(|peer| peer.instance == source.instance);
                peer.map(|peer| peer.address)
            })
            .collect();
        Self {
            is_watcher: spread::is_watcher(&candidates, own),
            sources,
            peers,
            is_known: true,
            is_leaving,
        }
    }

    /// The peers that may have a service's document.
    pub fn holders<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.peers
            .iter()
            .filter(move |peer| peer.role == Role::Router || peer.service == service)
    }
}

/// Keeps the view up to date; an unreadable list leaves the last one.
pub(super) async fn run(context: &Context, list: &list::Client, sender: watch::Sender<Arc<View>>) {
    let identity = &context.settings.identity;
    let own = Candidate {
        instance: identity.instance.clone(),
        data_centre: identity.data_centre.clone(),
    };
    loop {
        match list.fetch().await {
            Ok(members) => publish(&sender, View::new(members, &own)),
            Err(error) => log::warn!(target: LOG_TARGET, "instance list not read: {error}"),
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn publish(sender: &watch::Sender<Arc<View>>, view: View) {
    sender.send_if_modified(|present| {
        let is_changed = **present != view;
        if is_changed {
            *present = Arc::new(view);
        }
        is_changed
    });
}
