//! Summaries on the way to the streams of peers.

use {
    tamarackdale_core::cell::Scope,
    tamarackdale_wire::{
        codec::{self, Splitter},
        compact::{MAX_NAMES, Pool, Reader},
        summary::{Entry, Frame},
    },
    tamarackdaled::gateway::summary_broadcast::{Form, Item, SummaryBroadcast},
};

fn frame(ids: impl Iterator<Item = String>) -> Frame {
    let entries = ids.map(|id| Entry {
        id,
        requests: 1,
        prompt: 0,
        speed: None,
    });
    Frame {
        boot: 5,
        entries: entries.collect(),
        ..Frame::empty()
    }
}

fn one(id: &str) -> Frame {
    frame([id.to_owned()].into_iter())
}

/// The message of an item, without its length prefix.
fn payload(item: &Item) -> Vec<u8> {
    let mut splitter = Splitter::new();
    splitter.push(&item.bytes);
    let message = splitter.next_bytes().expect("framed");
    message.expect("a whole message").to_vec()
}

/// Guards against a peer that gets the form of another one in the same group.
#[test]
fn each_subscriber_gets_its_form() {
    let broadcast = SummaryBroadcast::default();
    let mut former = broadcast.subscribe(Scope::Far, Form::Former);
    let mut compact = broadcast.subscribe(Scope::Far, Form::Compact);
    let (mut reader, pool) = (Reader::new(), Pool::new());
    let first = broadcast.full(Scope::Far, Form::Compact, &one("a"));
    reader
        .read(&payload(&first.expect("encodes")), &pool)
        .expect("reads");

    broadcast.send(Scope::Far, &one("a")).expect("encodes");
    let former = payload(&former.try_recv().expect("a summary"));
    let compact = payload(&compact.try_recv().expect("a summary"));

    let former: Frame = codec::decode(&former).expect("the former form");
    let compact = reader.read(&compact, &pool).expect("the new form");
    assert_eq!(former.entries[0].id, "a");
    assert_eq!(compact.entries[0].id, "a");
}

/// Guards against names of one group that are unknown in the other: a table belongs to a group.
#[test]
fn groups_have_tables_of_their_own() {
    let broadcast = SummaryBroadcast::default();
    let mut far = broadcast.subscribe(Scope::Far, Form::Compact);
    let (mut reader, pool) = (Reader::new(), Pool::new());
    let first = broadcast.full(Scope::Far, Form::Compact, &one("a"));
    reader
        .read(&payload(&first.expect("encodes")), &pool)
        .expect("reads");
    broadcast
        .full(Scope::Near, Form::Compact, &one("b"))
        .expect("encodes");

    broadcast.send(Scope::Far, &one("c")).expect("encodes");
    let item = far.try_recv().expect("a summary");

    let received = reader.read(&payload(&item), &pool).expect("reads");
    assert_eq!(received.entries[0].id, "c");
    assert_eq!(reader.names(), 2);
}

/// Guards against a peer that reads changes by a table that its sender has begun anew: the generation
/// says that it needs a full summary first.
#[test]
fn new_table_shows_in_the_generation() {
    let broadcast = SummaryBroadcast::default();
    let mut compact = broadcast.subscribe(Scope::Near, Form::Compact);
    let all = frame((0..MAX_NAMES).map(|number| number.to_string()));
    let first = broadcast.full(Scope::Near, Form::Compact, &all);

    broadcast.send(Scope::Near, &one("new")).expect("encodes");
    let item = compact.try_recv().expect("a summary");
    let next = broadcast.full(Scope::Near, Form::Compact, &one("new"));

    assert_eq!(first.expect("encodes").generation, 0);
    assert_eq!(item.generation, 1);
    assert_eq!(next.expect("encodes").generation, 1);
}
