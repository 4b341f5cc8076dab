//! A router's grants at a sidecar that writes an earlier refusal once more on a kept connection.

use {
    bytes::Bytes,
    http_body_util::BodyExt as _,
    hyper::{Request, body::Incoming},
    std::sync::{Arc, Mutex},
    tamarackdale_core::{
        failure::{Failure, Reason},
        id::{Attempt, Boot, Incarnation, Instance},
        verdict::Verdict,
    },
    tamarackdale_testbed::host::{Connection, Host, bytes},
    tamarackdale_wire::{
        codec,
        message::{Grant, GrantResponse},
    },
    tamarackdaled::router::peer::{Client, Peer},
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

fn refusal() -> Bytes {
    let failure = Failure::not_run(Reason::Void);
    codec::encode(&GrantResponse::Refused(failure.into())).expect("encodes")
}

fn start() -> Sidecar {
    let dispatched = Arc::new(Mutex::new(Vec::new()));
    let shared = Arc::clone(&dispatched);
    let handler = move |request: Request<Incoming>| {
        let dispatched = Arc::clone(&shared);
        async move {
            let connection = request.extensions().get::<Connection>().cloned()?;
            let body = request.into_body().collect().await.ok()?.to_bytes();
            let grant: Grant = codec::decode(&body).ok()?;
            let refusal = refusal();
            if !connection.is_kept {
                return Some(bytes(refusal));
            }
            dispatched.lock().ok()?.push(grant.attempt.into());
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                refusal.len()
            );
            connection.write(&[head.as_bytes(), &refusal].concat());
            Some(bytes(codec::encode(&GrantResponse::Dispatched).ok()?))
        }
    };
    Sidecar {
        host: Host::new("sidecar", handler).expect("starts"),
        dispatched,
    }
}

/// The sidecar runs the attempt, and what comes is the refusal of an earlier one.
#[tokio::test]
async fn granted_attempt_is_not_refused_by_an_earlier_refusal() {
    let sidecar = start();
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

    let is_refused = |granted: &Result<Result<(), Failure>, _>| matches!(granted, Ok(Err(failure)) if failure.verdict == Verdict::NotRun);
    let dispatched = sidecar.dispatched.lock().expect("no panic").clone();
    assert!(is_refused(&first), "{first:?}");
    assert_eq!(dispatched, [attempt(2)]);
    assert!(!is_refused(&second), "{second:?}");
}
