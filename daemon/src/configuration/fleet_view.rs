//! The fleet according to the instance list, and this process's role in distributing documents.

use {
    super::Context,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tamarackdale_core::dissemination::{self, Candidate},
    tamarackdale_store::list::{self, Member, Role},
    tokio::{sync::watch, time::sleep},
};

/// Target of this module's log lines; part of the log format, so it does not follow the file name.
const LOG_TARGET: &str = "tamarackdaled::configuration::roster";

/// Interval at which the instance list is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The fleet as seen by this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Other instances that are not leaving.
    pub peers: Vec<Member>,
    /// Whether this process watches the key-value store.
    pub is_watcher: bool,
    /// Addresses of the instances whose digests this process subscribes to.
    pub sources: Vec<SocketAddr>,
    /// Whether the instance list has been read.
    pub is_known: bool,
    /// Whether this instance is listed as leaving.
    pub is_leaving: bool,
}

impl FleetView {
    /// Creates the view of the instance `own` from the listed members.
    pub fn new(members: Vec<Member>, own: &Candidate) -> Self {
        let is_leaving = members
            .iter()
            .any(|member| member.leaving && member.instance == own.instance);
        let peers: Vec<Member> = members
            .into_iter()
            .filter(|member| !member.leaving && member.instance != own.instance)
            .collect();
        // A process that is not listed yet is counted as if it were.
        let candidates: Vec<Candidate> = peers
            .iter()
            .map(|member| Candidate {
                instance: member.instance.clone(),
                data_centre: member.data_centre.clone(),
            })
            .chain([own.clone()])
            .collect();
        let sources = dissemination::sources(&candidates, own)
            .into_iter()
            .filter_map(|source| {
                let peer = peers.iter().find(|peer| peer.instance == source.instance);
                peer.map(|peer| peer.address)
            })
            .collect();
        Self {
            is_watcher: dissemination::is_watcher(&candidates, own),
            sources,
            peers,
            is_known: true,
            is_leaving,
        }
    }

    /// Returns the peers that may have a service's document: all routers, and the sidecars of the
    /// service.
    pub fn holders<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.peers
            .iter()
            .filter(move |peer| peer.role == Role::Router || peer.service == service)
    }
}

/// Keeps the view up to date. When the list cannot be read, the previous view stays.
pub(super) async fn run(
    context: &Context,
    list: &list::Client,
    sender: watch::Sender<Arc<FleetView>>,
) {
    let identity = &context.settings.identity;
    let own = Candidate {
        instance: identity.instance.clone(),
        data_centre: identity.data_centre.clone(),
    };
    loop {
        match list.fetch().await {
            Ok(members) => publish(&sender, FleetView::new(members, &own)),
            Err(error) => {
                log::warn!(target: LOG_TARGET, "failed to read the instance list: {error}");
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn publish(sender: &watch::Sender<Arc<FleetView>>, view: FleetView) {
    sender.send_if_modified(|current| {
        let is_changed = **current != view;
        if is_changed {
            *current = Arc::new(view);
        }
        is_changed
    });
}
