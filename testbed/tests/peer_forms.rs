//! A gateway and peers that read or send summaries of one form or the other.

use {
    bytes::Bytes,
    hyper::Request,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    tamarackdale_testbed::{
        http::{self, Reply},
        platform::{Configuration, Gateway, Server, Site},
        wait,
    },
    tamarackdale_wire::{
        codec::{self, Splitter},
        compact::{self, NameTable, Pool, Reader},
        path,
        summary::{Entry, Frame, Introduction},
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpListener,
        time::{sleep, timeout},
    },
};

/// Limit for what should happen at once, on a loaded machine.
const SOON: Duration = Duration::from_secs(5);

/// The introduction of the previous version.
#[derive(Serialize)]
struct FormerIntroduction {
    address: String,
    data_centre: String,
}

/// A site with one server and one gateway that is ready.
async fn start() -> (Site, Server, Gateway) {
    let site = Site::new(&Configuration::default()).expect("starts");
    let server = Server::new("plain-1", "plain").expect("starts");
    site.register(&server);
    let gateway = site.gateway("g-1").expect("starts");
    assert!(gateway.wait_ready(true).await);
    (site, server, gateway)
}

async fn subscribe(gateway: &Gateway, introduction: Bytes) -> Reply {
    let request = Request::post(path::SUMMARIES).body(introduction);
    let reply = http::send(gateway.peers(), request.expect("a request")).await;
    let reply = reply.expect("answers");
    assert_eq!(reply.response.status(), 200);
    reply
}

/// The first messages of a stream, without their length prefixes.
async fn messages(mut reply: Reply, count: usize) -> Vec<Vec<u8>> {
    let mut splitter = Splitter::new();
    let mut messages = Vec::new();
    while messages.len() < count {
        let chunk = timeout(SOON, reply.chunk()).await.expect("in time");
        splitter.push(&chunk.expect("reads").expect("goes on"));
        while let Some(message) = splitter.next_bytes().expect("framed") {
            messages.push(message.to_vec());
        }
    }
    messages
}

/// Guards against a fleet that falls apart while one version replaces another: each peer gets the form
/// that it reads, from the first summary on.
#[tokio::test]
async fn each_peer_gets_the_form_that_it_reads() {
    let (_site, _server, gateway) = start().await;
    let former = FormerIntroduction {
        address: "127.0.0.1:9".to_owned(),
        data_centre: "a".to_owned(),
    };
    let new = Introduction {
        address: "127.0.0.1:9".to_owned(),
        data_centre: "a".to_owned(),
        reads_compact: true,
    };
    let former = codec::encode(&former).expect("encodes");
    let new = codec::encode_named(&new).expect("encodes");

    let to_former = messages(subscribe(&gateway, former).await, 3).await;
    let to_new = messages(subscribe(&gateway, new).await, 3).await;

    let (mut reader, pool) = (Reader::new(), Pool::new());
    for message in &to_former {
        codec::decode::<Frame>(message).expect("the former form");
    }
    for message in &to_new {
        assert!(codec::decode::<Frame>(message).is_err());
        reader.read(message, &pool).expect("the new form");
    }
}

/// A peer whose first streams begin with changes, as if their reader had lost its table, and whose later
/// ones begin with a full summary.
async fn serve_peer(listener: TcpListener, lost: usize) {
    for number in 0.. {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await;
        let mut table = NameTable::new();
        let frame = Frame {
            boot: 77,
            entries: vec![Entry {
                id: "engine-1".to_owned(),
                requests: 1,
                prompt: 0,
                speed: None,
            }],
            ..Frame::empty()
        }
        .with_data_centre("a");
        let full = compact::encode_full(&frame, &mut table);
        compact::encode_changes(&frame, &mut table);
        let changes = compact::encode_changes(&frame, &mut table);
        let message = if number < lost { changes } else { full };
        let item = codec::frame_item(message.expect("encodes")).expect("framed");
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunk = [format!("{:x}\r\n", item.len()).as_bytes(), &item, b"\r\n"].concat();
        let _ = stream.write_all(&[head.as_bytes(), &chunk].concat()).await;
        // Held open: the gateway must end it by itself.
        tokio::spawn(async move {
            sleep(SOON).await;
            drop(stream);
        });
    }
}

fn lines(gateway: &Gateway, message: &str, peer: SocketAddr) -> usize {
    let logs = gateway.process.logs();
    let lines = logs.iter().filter(|line| {
        let is_message = line["message"]
            .as_str()
            .is_some_and(|text| text.starts_with(message));
        is_message && line["peer"].as_str() == Some(&peer.to_string())
    });
    lines.count()
}

/// Guards against loads that are counted at a wrong server, a log full of repeated lines, and a peer that
/// stays lost after its table was.
#[tokio::test]
async fn peer_with_unknown_numbers_is_subscribed_to_again() {
    let (_site, _server, gateway) = start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let peer = listener.local_addr().expect("an address");
    let serving = tokio::spawn(serve_peer(listener, 3));
    let introduction = Introduction {
        address: peer.to_string(),
        data_centre: "a".to_owned(),
        reads_compact: true,
    };

    let introduction = codec::encode_named(&introduction).expect("encodes");
    let _subscription = subscribe(&gateway, introduction).await;
    let is_heard = wait::until(SOON, || lines(&gateway, "peer heard", peer) == 1).await;

    assert!(is_heard);
    assert_eq!(
        lines(&gateway, "connection closed, malformed summary", peer),
        1
    );
    serving.abort();
}
