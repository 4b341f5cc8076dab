//! Origins of streams as they are saved in the store.

use {
    std::{collections::HashMap, sync::Arc},
    tamarackdale_core::{
        origin::{Origin, Table},
        time::Timestamp,
    },
    tamarackdale_wire::{codec, origin::Saved},
};

fn origin(version: &str) -> Arc<Origin> {
    Arc::new(Origin {
        service: "engine".to_owned(),
        version: version.to_owned(),
    })
}

#[test]
fn saved_origins_are_read_again() {
    let mut table = Table::new();
    for (stream, version) in [(1, "v1"), (u64::MAX, "v2"), (3, "v1")] {
        table.record(stream, origin(version), Timestamp::START);
    }

    let saved = Saved::from(table.by_origin(10));
    let bytes = codec::encode(&saved).expect("encodes");
    let read: Saved = codec::decode(&bytes).expect("decodes");
    let mut streams: HashMap<Arc<Origin>, Vec<u64>> = read.into();
    streams
        .values_mut()
        .for_each(|streams| streams.sort_unstable());

    let expected = [(origin("v1"), vec![1, 3]), (origin("v2"), vec![u64::MAX])];
    assert_eq!(streams, HashMap::from(expected));
}

/// Guards against a save that is larger than the store takes: 1 MiB a value, as base64 text.
#[test]
fn most_streams_that_are_saved_fit_into_an_entry() {
    const STREAMS: u64 = 40_000;
    let mut table = Table::new();
    for stream in 0..STREAMS {
        let version = if stream % 2 == 0 { "v1" } else { "v2" };
        table.record(u64::MAX - stream, origin(version), Timestamp::START);
    }

    let bytes = codec::encode(&Saved::from(table.by_origin(usize::MAX))).expect("encodes");

    assert!(bytes.len() * 4 / 3 < 1024 * 1024 / 2, "{}", bytes.len());
}
