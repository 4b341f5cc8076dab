//! Tests that messages survive encoding, framing and arbitrary splits of the byte stream.

use {
    bytes::Bytes,
    rstest::rstest,
    tamarackdale_core::{
        claim::{self as core_claim, Nonce},
        failure as core_failure,
        id::{Attempt, Boot, Incarnation, Instance},
    },
    tamarackdale_wire::{Frame, claim, codec, failure::Failure, report, summary},
};

fn frames() -> Vec<Frame> {
    vec![
        Frame::Ready,
        Frame::Chunk {
            offset: 7,
            bytes: Bytes::from_static(b"bevel angle"),
        },
        Frame::End {
            length: 18,
            checksum: 42,
        },
    ]
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(1000)]
fn stream_is_decoded_from_pieces_of_any_size(#[case] piece_size: usize) {
    let sent = frames();
    let stream: Vec<u8> = sent
        .iter()
        .flat_map(|frame| codec::encode_item(frame).expect("encodes"))
        .collect();
    let mut splitter = codec::Splitter::new();
    let mut received = Vec::new();

    for piece in stream.chunks(piece_size) {
        splitter.push(piece);
        while let Some(frame) = splitter.next_item::<Frame>().expect("decodes") {
            received.push(frame);
        }
    }

    assert_eq!(received, sent);
}

#[test]
fn failure_round_trips() {
    let failure = core_failure::Failure::not_run(core_failure::Reason::Overload)
        .with_retry_after(std::time::Duration::from_millis(250));

    let parsed = core_failure::Failure::try_from(Failure::from(failure));

    assert_eq!(parsed.ok(), Some(failure));
}

#[test]
fn unknown_reason_is_an_error() {
    let failure = Failure {
        verdict: "not-run".into(),
        reason: "no-such-reason".into(),
        retry_after_ms: None,
    };

    assert!(core_failure::Failure::try_from(failure).is_err());
}

#[test]
fn claim_round_trips() {
    let record = core_claim::Record {
        nonce: Nonce(u64::MAX),
        incarnation: Incarnation {
            instance: Instance("ordre-app-vejle-a-17".into()),
            boot: Boot(u64::MAX),
        },
        attempt: Attempt {
            router: Boot(u64::MAX),
            sequence: u64::MAX,
        },
        fingerprint: u64::MAX,
    };
    let address = "10.0.0.7:7701".parse().expect("an address");

    let bytes = codec::encode(&claim::Record::new(&record, address)).expect("encodes");
    let decoded: claim::Record = codec::decode(&bytes).expect("decodes");

    assert_eq!(decoded.address, address);
    assert_eq!(core_claim::Record::from(decoded), record);
}

/// Guards against a decoder that recurses, or that allocates what a length announces.
#[rstest]
#[case::arrays(vec![0x91; 100_000])]
#[case::maps([0x81, 0x01].repeat(100_000))]
#[case::unknown_field([&[0x81, 0xa1, b'x'][..], &[0x91; 100_000]].concat())]
#[case::long_array(vec![0xdd, 0xff, 0xff, 0xff, 0xff])]
#[case::long_map(vec![0xdf, 0xff, 0xff, 0xff, 0xff])]
#[case::long_text(vec![0xdb, 0xff, 0xff, 0xff, 0xff])]
#[case::long_bytes(vec![0xc6, 0xff, 0xff, 0xff, 0xff])]
#[case::empty(Vec::new())]
fn odd_message_is_refused(#[case] bytes: Vec<u8>) {
    assert!(codec::decode::<Frame>(&bytes).is_err());
    assert!(codec::decode::<summary::Frame>(&bytes).is_err());
    assert!(codec::decode::<summary::SavedQuotaUse>(&bytes).is_err());
    assert!(codec::decode::<report::Report>(&bytes).is_err());
}
