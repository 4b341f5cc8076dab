//! The sidecars that pass a router's notices of crashes on: which are told what, and how many bytes that
//! takes.

use {
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tamarackdale_core::{
        id::{Boot, Incarnation, Instance},
        poison::{Cause, Fingerprint, Notice, Quarantine},
        time::Timestamp,
    },
    tamarackdale_wire::{codec, message::Notices},
    tamarackdaled::router::{
        peer::Peer,
        placement::notice_relay::{Message, NoticeRelay},
    },
};

const OWN: &str = "dc-00";

/// Data centres of the size that the system is built for.
const DATA_CENTRES: usize = 13;

/// Budget of a router for reports, which notices share.
const BUDGET_BYTES: usize = 8_000;

/// Head of an HTTP/1.1 call and of its empty answer.
const HTTP_BYTES: usize = 220;

const NOW: Timestamp = Timestamp::from_millis(400_000);

fn sidecars(own: usize, remote: usize) -> BTreeMap<String, Vec<Peer>> {
    let data_centres = 0..DATA_CENTRES;
    let sidecars = data_centres.map(|data_centre| {
        let name = format!("dc-{data_centre:02}");
        let count = if name == OWN { own } else { remote };
        let peers = (0..count).map(|number| Peer {
            incarnation: Incarnation {
                instance: Instance(format!("{name}-{number}")),
                boot: Boot(1),
            },
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
        });
        let peers = peers.collect();
        (name, peers)
    });
    sidecars.collect()
}

fn answer(digest: u64) -> Arc<Notice> {
    Arc::new(Notice::Answer {
        fingerprint: Fingerprint {
            request: Some(u64::MAX - digest),
            parts: Vec::new(),
        },
        at: NOW.minus(Duration::from_secs(70)),
    })
}

fn quarantine(digest: u64) -> Arc<Notice> {
    Arc::new(Notice::Quarantine(Quarantine {
        cause: Cause::Request(u64::MAX - digest),
        crashes: 3,
        last_crash: NOW.minus(Duration::from_secs(70)),
        until: NOW.plus(Duration::from_secs(230)),
    }))
}

/// Bytes that messages take on the router's links.
fn bytes(messages: &[Message]) -> usize {
    let lengths = messages.iter().map(|due| {
        let message = codec::encode(&Notices::new(&due.notices, NOW)).expect("is encoded");
        due.peers.len() * (message.len() + HTTP_BYTES)
    });
    lengths.sum()
}

#[test]
fn quarantine_is_told_in_all_data_centres_and_an_answer_in_the_own_one() {
    let mut relay = NoticeRelay::default();
    let notices = [answer(1), quarantine(2)];

    let messages = relay.messages("ordre-app", &notices, &sidecars(200, 1), OWN, NOW);

    let told = messages.iter().flat_map(|due| {
        let told = due.peers.iter().map(|peer| (peer, due.notices.len()));
        told.collect::<Vec<_>>()
    });
    let (own, remote): (Vec<_>, Vec<_>) =
        told.partition(|(peer, _)| peer.incarnation.instance.0.starts_with(OWN));
    assert_eq!(
        own.iter().map(|(_, count)| *count).collect::<Vec<_>>(),
        [2, 2]
    );
    assert_eq!(remote.len(), DATA_CENTRES - 1);
    assert!(remote.iter().all(|(_, count)| *count == 1));
}

/// All routers of a data centre come to the same judgement; a sidecar passes it on once.
#[test]
fn routers_of_a_data_centre_tell_the_same_sidecars() {
    let notices = [quarantine(2)];
    let told = |sample| {
        let messages = NoticeRelay::default().messages(
            "ordre-app",
            &notices,
            &sidecars(200, sample),
            OWN,
            NOW,
        );
        messages.into_iter().next().map(|due| due.peers)
    };

    let (one, other) = (told(1), told(5));

    assert_eq!(one, other);
}

#[test]
fn notice_is_told_once_and_waits_for_the_first_sidecar() {
    let mut relay = NoticeRelay::default();
    let notices = [quarantine(2)];
    let later = NOW.plus(Duration::from_secs(5));

    let without = relay.messages("ordre-app", &notices, &BTreeMap::new(), OWN, NOW);
    let first = relay.messages("ordre-app", &notices, &sidecars(3, 0), OWN, NOW);
    let second = relay.messages("ordre-app", &notices, &sidecars(3, 0), OWN, later);

    assert!(without.is_empty() && second.is_empty());
    assert!(!first.is_empty());
}

/// Guards against notices that take more than the budget when many servers crash at once.
#[test]
fn flood_of_notices_stays_within_the_budget() {
    const SECONDS: u64 = 10;
    let mut relay = NoticeRelay::default();
    let sidecars = sidecars(200, 50);
    let notices: Vec<Arc<Notice>> = (0..256).map(quarantine).collect();

    let mut told = 0;
    for tick in 0..SECONDS * 10 {
        let now = NOW.plus(Duration::from_millis(tick * 100));
        told += bytes(&relay.messages("ordre-app", &notices, &sidecars, OWN, now));
    }

    let per_second = told / SECONDS as usize;
    assert!(per_second <= BUDGET_BYTES, "{per_second} bytes a second");
}
