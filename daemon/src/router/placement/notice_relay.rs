//! Chooses the sidecars that pass a router's notices of crashes on, and when.
//!
//! A sidecar tells all routers that follow it. Those of a data centre follow all sidecars there, so a few
//! are enough for each data centre.

use {
    crate::router::peer::Peer,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tamarackdale_core::{
        poison::{self, Notice},
        rendezvous,
        time::Timestamp,
    },
};

/// Sidecars of the own data centre that are told: a second one, should the first be gone.
const OWN_RELAYS: usize = 2;

/// Sidecars of each other data centre that are told. The routers here follow different ones there.
const REMOTE_RELAYS: usize = 1;

/// Shortest time between two messages to the same sidecar; bounds the traffic.
const INTERVAL: Duration = Duration::from_secs(2);

/// Most notices in one message.
const MAX_NOTICES: usize = 32;

/// Most quarantines in one message, which also goes to the other data centres.
const MAX_QUARANTINES: usize = 8;

/// Notices for some sidecars.
#[derive(Clone, Debug)]
pub struct Message {
    /// The sidecars that are told.
    pub peers: Vec<Peer>,
    /// What they are told, oldest first.
    pub notices: Vec<Arc<Notice>>,
}

/// What has been told.
#[derive(Debug, Default)]
pub struct NoticeRelay {
    told: Vec<Arc<Notice>>,
    last_at: Option<Timestamp>,
}

impl NoticeRelay {
    /// The messages that are due, given all notices of this router, oldest first. Judgements are told
    /// everywhere. Observations matter to those who observe the same crashes, which are the routers of
    /// the own data centre.
    pub fn messages(
        &mut self,
        service: &str,
        notices: &[Arc<Notice>],
        sidecars: &BTreeMap<String, Vec<Peer>>,
        own: &str,
        now: Timestamp,
    ) -> Vec<Message> {
        let is_early = self.last_at.is_some_and(|at| now.since(at) < INTERVAL);
        let news = poison::news(&self.told, notices);
        if news.is_empty() || is_early || sidecars.is_empty() {
            return Vec::new();
        }
        let due = first(news);
        let quarantines = due.iter().filter(|notice| is_quarantine(notice));
        let quarantines: Vec<_> = quarantines.cloned().collect();
        let mut messages = Vec::new();
        for (data_centre, peers) in sidecars {
            let is_own = data_centre == own;
            let (relays, notices) = match is_own {
                true => (OWN_RELAYS, due.to_vec()),
                false => (REMOTE_RELAYS, quarantines.clone()),
            };
            if !notices.is_empty() {
                let chosen = rendezvous::choose(service, peers, name, relays);
                let peers = chosen.into_iter().cloned().collect();
                messages.push(Message { peers, notices });
            }
        }
        let told = notices.len() - news.len() + due.len();
        self.told = notices[..told].to_vec();
        self.last_at = Some(now);
        messages
    }
}

/// The notices of the next message.
fn first(news: &[Arc<Notice>]) -> &[Arc<Notice>] {
    let quarantines = news.iter().enumerate();
    let mut quarantines = quarantines.filter(|(_, notice)| is_quarantine(notice));
    let excess = quarantines.nth(MAX_QUARANTINES);
    let end = excess.map_or(news.len(), |(index, _)| index);
    &news[..end.min(MAX_NOTICES)]
}

fn is_quarantine(notice: &Notice) -> bool {
    matches!(notice, Notice::Quarantine(_))
}

fn name(peer: &Peer) -> &str {
    &peer.incarnation.instance.0
}
