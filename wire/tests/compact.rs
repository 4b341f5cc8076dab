//! Compact summaries: they arrive as they were sent, also at peers of the previous version, and no bytes
//! make a reader fail otherwise than with an error.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
    serde::{Deserialize, Serialize},
    tamarackdale_wire::{
        codec,
        compact::{self, MAX_NAME_BYTES, MAX_NAMES, NameTable, Pool, Reader},
        poison::Poison,
        statement::Statement,
        summary::{Entry, Extensions, Frame, Introduction, Usage, Work},
    },
};

fn entry(id: &str, requests: u32) -> Entry {
    Entry {
        id: id.to_owned(),
        requests,
        prompt: 70_000,
        speed: None,
    }
}

fn usage(organisation: &str, admitted: f64) -> Usage {
    Usage {
        organisation: organisation.to_owned(),
        totals: (admitted, 0.25),
        known: None,
    }
}

/// A message with something in each field.
fn frame() -> Frame {
    let mut with_speed = entry("b", u32::MAX);
    with_speed.speed = Some([Some(1.5), None, Some(f32::MAX), None]);
    let mut with_history = usage("o", 9_007_199_254_740_992.0);
    with_history.known = Some(vec![0.0, -0.5, 12.0, f64::INFINITY]);
    Frame {
        boot: u64::MAX,
        entries: vec![entry("a", 0), with_speed],
        usages: vec![with_history, usage("a", -1.0)],
        is_complete: true,
        waits: vec![("chat".to_owned(), 1, 3)],
        floors: vec![("chat".to_owned(), 2, u16::MAX)],
        poison: vec![poison()],
        data_centre: None,
        statements: vec![Statement {
            id: "a".to_owned(),
            started_at_ms: 7,
            leaving_age_ms: Some(3),
            limit: None,
        }],
        extensions: Extensions {
            work: vec![Work {
                service: "chat".to_owned(),
                total_s: 2.5,
                organisations: vec![(u64::MAX, 0.5)],
            }],
            ..Extensions::default()
        },
    }
}

fn poison() -> Poison {
    use tamarackdale_core::{
        poison::{Fingerprint, Notice},
        time::Timestamp,
    };
    let notice = Notice::Crash {
        fingerprint: Fingerprint {
            request: Some(9),
            parts: vec![7],
        },
        server: 3,
        at: Timestamp::from_millis(5),
    };
    Poison::new(&notice, Timestamp::from_millis(9))
}

fn with_entries(entries: &[Entry]) -> Frame {
    Frame {
        boot: 5,
        entries: entries.to_vec(),
        ..Frame::empty()
    }
}

fn full(frame: &Frame, table: &mut NameTable) -> Vec<u8> {
    let frame = frame.clone().with_data_centre("vejle-a");
    compact::encode_full(&frame, table)
        .expect("encodes")
        .to_vec()
}

fn changes(frame: &Frame, table: &mut NameTable) -> Vec<u8> {
    compact::encode_changes(frame, table)
        .expect("encodes")
        .to_vec()
}

/// The former form, which has all fields of a frame.
fn former(frame: &Frame) -> Vec<u8> {
    codec::encode(frame).expect("encodes").to_vec()
}

/// Guards against a field that is lost or changed on its way.
#[test]
fn all_fields_arrive_as_they_were_sent() {
    let (mut table, pool, mut reader) = (NameTable::new(), Pool::new(), Reader::new());
    let first = full(&frame(), &mut table);
    let later = changes(&frame(), &mut table);

    let received_first = reader.read(&first, &pool).expect("reads");
    let received_later = reader.read(&later, &pool).expect("reads");

    assert_eq!(
        former(&received_first),
        former(&frame().with_data_centre("vejle-a"))
    );
    assert_eq!(former(&received_later), former(&frame()));
}

/// Guards against names that are sent again with each change, which took most of the bytes.
#[test]
fn name_is_sent_once_and_a_heartbeat_has_two_bytes() {
    let mut table = NameTable::new();
    let id = "huvo11a-vejle-a-17";

    let first = changes(&with_entries(&[entry(id, 1)]), &mut table);
    let second = changes(&with_entries(&[entry(id, 2)]), &mut table);
    let heartbeat = changes(&Frame::empty(), &mut table);

    assert!(first.len() > id.len());
    assert_eq!(second.len(), 2 + 1 + 1 + 1 + 3);
    assert_eq!(heartbeat.len(), 2);
}

/// Guards against a subscriber that cannot read a message made just before or after its first one.
#[test]
fn peers_that_subscribe_at_different_times_read_the_same_messages() {
    let (mut table, pool) = (NameTable::new(), Pool::new());
    let (mut early, mut late) = (Reader::new(), Reader::new());
    let (one, two) = ([entry("a", 1)], [entry("b", 1)]);
    let first = full(&with_entries(&one), &mut table);
    early.read(&first, &pool).expect("reads");
    // Adds a name of which the earlier subscriber learns from the next changes.
    let late_first = full(&with_entries(&two), &mut table);
    late.read(&late_first, &pool).expect("reads");

    let message = changes(&with_entries(&two), &mut table);
    let at_early = early.read(&message, &pool).expect("reads");
    let at_late = late.read(&message, &pool).expect("reads");

    assert_eq!(at_early.entries[0].id, "b");
    assert_eq!(at_late.entries[0].id, "b");
    assert_eq!((early.names(), late.names()), (2, 2));
}

/// Guards against loads that are counted at another server after a table was lost.
#[test]
fn numbers_of_an_unknown_table_are_an_error() {
    let (mut table, pool) = (NameTable::new(), Pool::new());
    full(&with_entries(&[entry("a", 1), entry("b", 1)]), &mut table);
    changes(&with_entries(&[]), &mut table);
    let message = changes(&with_entries(&[entry("b", 1)]), &mut table);
    let mut short = Reader::new();
    let other = full(&with_entries(&[entry("a", 1)]), &mut NameTable::new());
    short.read(&other, &pool).expect("reads");

    let without_table = Reader::new().read(&message, &pool);
    let with_short_table = short.read(&message, &pool);

    assert!(matches!(without_table, Err(compact::Error::UnknownName)));
    assert!(matches!(with_short_table, Err(compact::Error::UnknownName)));
}

/// Guards against a number that changes its name within a stream.
#[test]
fn other_name_for_a_known_number_is_an_error() {
    let (pool, mut reader) = (Pool::new(), Reader::new());
    let first = full(&with_entries(&[entry("a", 1)]), &mut NameTable::new());
    let other = changes(&with_entries(&[entry("b", 1)]), &mut NameTable::new());
    reader.read(&first, &pool).expect("reads");

    let result = reader.read(&other, &pool);

    assert!(matches!(result, Err(compact::Error::UnknownName)));
}

/// Guards against a table that grows with every restart of a server.
#[test]
fn full_table_is_begun_anew() {
    let (mut table, pool, mut reader) = (NameTable::new(), Pool::new(), Reader::new());
    for number in 0..MAX_NAMES {
        changes(&with_entries(&[entry(&number.to_string(), 1)]), &mut table);
    }
    let before = (table.len(), table.generation());

    changes(&with_entries(&[entry("new", 1)]), &mut table);
    let message = full(&with_entries(&[entry("new", 2)]), &mut table);
    let received = reader.read(&message, &pool).expect("reads");

    assert_eq!(before, (MAX_NAMES, 0));
    assert_eq!((table.len(), table.generation()), (1, 1));
    assert_eq!(received.entries[0].id, "new");
}

/// Guards against a summary that is not sent at all since it does not fit the form.
#[test]
fn name_over_the_limit_is_left_to_the_former_form() {
    let mut table = NameTable::new();
    let long = with_entries(&[entry(&"x".repeat(MAX_NAME_BYTES + 1), 1)]);

    assert_eq!(compact::encode_changes(&long, &mut table), None);
    assert_eq!(compact::encode_full(&long, &mut table), None);
    assert_eq!(table.generation(), 0);
}

/// Guards against a reader that understands only one form.
#[test]
fn former_messages_are_read_within_a_stream() {
    let (mut table, pool, mut reader) = (NameTable::new(), Pool::new(), Reader::new());
    let first = full(&with_entries(&[entry("a", 1)]), &mut table);
    let last = changes(&with_entries(&[entry("a", 3)]), &mut table);
    reader.read(&first, &pool).expect("reads");

    let received = reader.read(&former(&frame()), &pool).expect("reads");
    let received_last = reader.read(&last, &pool).expect("reads");

    assert_eq!(former(&received), former(&frame()));
    assert_eq!(received_last.entries[0].requests, 3);
}

/// The introduction as the previous version knows it.
#[derive(Deserialize, Serialize)]
struct FormerIntroduction {
    address: String,
    #[serde(default)]
    data_centre: String,
}

/// Guards against gateways of two versions that refuse each other's subscriptions.
#[test]
fn introductions_of_both_versions_are_read_by_both() {
    let new = Introduction {
        address: "10.0.0.7:7701".to_owned(),
        data_centre: "vejle-a".to_owned(),
        reads_compact: true,
    };
    let old = FormerIntroduction {
        address: "10.0.0.8:7701".to_owned(),
        data_centre: "vejle-a".to_owned(),
    };
    let new = codec::encode_named(&new).expect("encodes");
    let old = codec::encode(&old).expect("encodes");

    let new_at_old: FormerIntroduction = codec::decode(&new).expect("reads");
    let new_at_new: Introduction = codec::decode(&new).expect("reads");
    let old_at_new: Introduction = codec::decode(&old).expect("reads");

    assert_eq!(new_at_old.address, "10.0.0.7:7701");
    assert_eq!(new_at_old.data_centre, "vejle-a");
    assert!(new_at_new.reads_compact);
    assert!(!old_at_new.reads_compact);
}

/// Guards against allocating what a length announces, or what repeated numbers add up to. The flags are
/// 2 for names, 4 for loads, 8 for quota use, 16 for waits, 32 for floors.
#[rstest]
#[case::empty(vec![])]
#[case::no_flags(vec![1])]
#[case::names(vec![1, 2, 0, 0xff, 0xff, 0xff, 0x7f])]
#[case::name(vec![1, 2, 1, 1, 0xff, 0xff, 0x03, b'x'])]
#[case::gap_in_names(vec![1, 2, 9, 1, 1, b'x'])]
#[case::first_name_far_off(vec![1, 2, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 1, 1, b'x'])]
#[case::entries(vec![1, 4, 0xff, 0xff, 0xff, 0x7f, 0, 0, 0])]
#[case::repeated(vec![1, 4, 2, 0, 0, 0, 0, 0, 0])]
#[case::large_count(vec![1, 4, 1, 0, 0xff, 0xff, 0xff, 0xff, 0x7f, 0])]
#[case::endless_integer(vec![1, 4, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f])]
#[case::usages(vec![1, 8, 0xff, 0x7f, 0, 0, 0])]
#[case::history(vec![1, 8, 1, 1, 0, 0, 0xff, 0x7f, 0])]
#[case::odd_units(vec![1, 8, 1, 0, 3, 0])]
#[case::waits(vec![1, 16, 0xff, 0x7f, 0, 0, 0])]
#[case::floors(vec![1, 32, 0xff, 0x7f, 0, 0, 0])]
#[case::long_floor(vec![1, 32, 1, 0, 0, 0xff, 0xff, 0x7f])]
#[case::rest(vec![1, 64, 0xdd, 0xff, 0xff, 0xff, 0xff])]
fn message_with_odd_lengths_is_refused(#[case] message: Vec<u8>) {
    let (pool, mut reader) = (Pool::new(), Reader::new());
    let first = full(
        &with_entries(&[entry("long-name", 1)]),
        &mut NameTable::new(),
    );
    reader.read(&first, &pool).expect("reads");

    assert!(reader.read(&message, &pool).is_err());
    assert_eq!(reader.names(), 1);
}

/// Memory of the lists of a message, without that of their names.
fn elements(frame: &Frame) -> usize {
    frame.entries.capacity()
        + frame.usages.capacity()
        + frame.waits.capacity()
        + frame.floors.capacity()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_096,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic at any bytes of a peer, and against lists longer than the message.
    #[test]
    fn mutated_messages_are_read_or_refused(
        mutations in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        length in any::<prop::sample::Index>(),
        is_full in any::<bool>(),
        is_cut in any::<bool>(),
    ) {
        let (mut table, pool, mut reader) = (NameTable::new(), Pool::new(), Reader::new());
        let first = full(&frame(), &mut table);
        reader.read(&first, &pool).expect("reads");
        let mut more = frame();
        more.entries.push(entry("new", 3));
        let mut message = match is_full {
            true => full(&more, &mut table),
            false => changes(&more, &mut table),
        };
        for (index, byte) in mutations {
            let index = index.index(message.len());
            message[index] = byte;
        }
        if is_cut {
            message.truncate(length.index(message.len()));
        }
        let names = reader.names();

        let result = reader.read(&message, &pool);

        prop_assert!(reader.names() <= names + message.len());
        if let Ok(frame) = result {
            prop_assert!(elements(&frame) <= message.len());
        }
    }

    /// The same with bytes that are no message at all.
    #[test]
    fn random_bytes_are_read_or_refused(message in prop::collection::vec(any::<u8>(), 0..64)) {
        let (pool, mut reader) = (Pool::new(), Reader::new());
        let first = full(&frame(), &mut NameTable::new());
        reader.read(&first, &pool).expect("reads");

        if let Ok(frame) = reader.read(&message, &pool) {
            prop_assert!(elements(&frame) <= message.len());
        }
    }

    /// Units arrive exactly, since quotas are sums of them.
    #[test]
    fn units_arrive_exactly(
        admitted in prop_oneof![any::<f64>(), (0_u64..1 << 54).prop_map(|units| units as f64)],
    ) {
        let (mut table, pool, mut reader) = (NameTable::new(), Pool::new(), Reader::new());
        let sent = Frame { usages: vec![usage("o", admitted)], ..Frame::empty() };
        let message = full(&sent, &mut table);

        let received = reader.read(&message, &pool).expect("reads");

        prop_assert_eq!(received.usages[0].totals.0.to_bits(), admitted.to_bits());
    }
}
