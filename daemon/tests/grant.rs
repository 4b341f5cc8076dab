//! A router's grants at a sidecar that writes an earlier refusal once more on a kept connection.

use {
    bytes::Bytes,
    http_body_util::BodyExt as _,
    hyper::{Request, body::Incoming},
    rstest::rstest,
    serde::Serialize,
    std::sync::{Arc, Mutex},
    tamarackdale_core::{
        failure::{Failure, Reason},
        id::{Attempt, Boot, Incarnation, Instance},
        verdict::Verdict,
    },
    tamarackdale_testbed::host::{Connection, Host, bytes},
    tamarackdale_wire::{
        self as wire, codec,
        message::{Grant, GrantResponse},
    },
    tamarackdaled::router::peer::{CallError, Client, Peer},
};

/// A sidecar that refuses its first grant and writes that refusal once more where the answer to the
/// next one is due, which it dispatches.
struct Sidecar {
    host: Host,
    dispatched: Arc<Mutex<Vec<Attempt>>>,
}

fn attempt(sequence: u64) -> Attempt {
    Attempt {
        router: Boot(1),
        sequence,
    }
}

fn failure() -> wire::failure::Failure {
    Failure::not_run(Reason::Void).into()
}

/// A refusal of a sidecar of the former version, which names no attempt.
fn unnamed(_: Grant) -> Bytes {
    #[derive(Serialize)]
    enum Former {
        Refused(wire::failure::Failure),
    }
    codec::encode(&Former::Refused(failure())).expect("encodes")
}

fn named(grant: Grant) -> Bytes {
    let refused = GrantResponse::Refused {
        attempt: grant.attempt,
        failure: failure(),
    };
    codec::encode(&refused).expect("encodes")
}

fn start(refuse: fn(Grant) -> Bytes) -> Sidecar {
    let dispatched = Arc::new(Mutex::new(Vec::new()));
    let earlier = Arc::new(Mutex::new(Bytes::new()));
    let shared = Arc::clone(&dispatched);
    let handler = move |request: Request<Incoming>| {
        let (dispatched, earlier) = (Arc::clone(&shared), Arc::clone(&earlier));
        async move {
            let connection = request.extensions().get::<Connection>().cloned()?;
            let body = request.into_body().collect().await.ok()?.to_bytes();
            let grant: Grant = codec::decode(&body).ok()?;
            let mut earlier = earlier.lock().ok()?;
            if !connection.is_kept {
                *earlier = refuse(grant);
                return Some(bytes(earlier.clone()));
            }
            dispatched.lock().ok()?.push(grant.attempt.into());
            let length = earlier.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            connection.write(&[head.as_bytes(), &earlier].concat());
            Some(bytes(codec::encode(&GrantResponse::Dispatched).ok()?))
        }
    };
    Sidecar {
        host: Host::new("sidecar", handler).expect("starts"),
        dispatched,
    }
}

fn is_refused(granted: &Result<Result<(), Failure>, CallError>) -> bool {
    matches!(granted, Ok(Err(failure)) if failure.verdict == Verdict::NotRun)
}

/// The sidecar runs the attempt, and what comes is the refusal of an earlier one. What ran is then
/// asked for on another connection. The refusal of the first grant counts if it names it.
#[rstest]
#[case::that_names_its_attempt(named, true)]
#[case::that_names_none(unnamed, false)]
#[tokio::test]
async fn granted_attempt_is_not_refused_by_an_earlier_refusal(
    #[case] refuse: fn(Grant) -> Bytes,
    #[case] is_first_refused: bool,
) {
    let sidecar = start(refuse);
    let peer = Peer {
        incarnation: Incarnation {
            instance: Instance("sidecar-1".to_owned()),
            boot: Boot(2),
        },
        address: sidecar.host.address(),
    };
    let client = Client::new();

    let first = client.grant(&peer, attempt(1)).await;
    let second = client.grant(&peer, attempt(2)).await;

    let dispatched = sidecar.dispatched.lock().expect("no panic").clone();
    assert_eq!(is_refused(&first), is_first_refused, "{first:?}");
    assert_eq!(dispatched, [attempt(2)]);
    assert_eq!(second, Err(CallError::NoResponse));
}
