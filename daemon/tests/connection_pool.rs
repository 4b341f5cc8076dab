//! Pool of connections to backend servers.

use {
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tamarackdale_core::fleet::Member,
    tamarackdaled::gateway::pool::{ConnectionPool, DEFAULT_IDLE_TIMEOUT},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
    },
};

/// Start times of a process and of the one that followed it at its address.
const FIRST_START_MS: u64 = 1_000;
const SECOND_START_MS: u64 = 2_000;

/// A backend server that states the start time of its present process. Connections to an earlier one stay
/// open and silent, as after a loss of power or behind a partition.
struct BackendServer {
    address: SocketAddr,
    started_at_ms: Arc<AtomicU64>,
}

impl BackendServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("is bound");
        let started_at_ms = Arc::new(AtomicU64::new(FIRST_START_MS));
        let present = Arc::clone(&started_at_ms);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, present.load(Ordering::Relaxed)));
            }
        });
        Self {
            address,
            started_at_ms,
        }
    }

    fn start_again(&self) {
        self.started_at_ms.store(SECOND_START_MS, Ordering::Relaxed);
    }

    fn member(&self, started_at_ms: u64) -> Member {
        Member {
            id: "server".to_owned(),
            started_at_ms,
            address: self.address,
            service: "service".to_owned(),
            data_centre: "data centre".to_owned(),
            version: "1".to_owned(),
            slots: 1,
            is_leaving: false,
        }
    }
}

/// Answers each request of a connection with the report of the process that started at `started_at_ms`.
async fn serve(mut stream: TcpStream, started_at_ms: u64) {
    let body = format!("{{\"born\":{started_at_ms}}}");
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let mut received = Vec::new();
    while stream
        .read_buf(&mut received)
        .await
        .is_ok_and(|read| read > 0)
    {
        if received.ends_with(b"\r\n\r\n") {
            received.clear();
            stream
                .write_all(response.as_bytes())
                .await
                .expect("is read");
        }
    }
}

/// Guards against streams that are kept from a backend server that has started again, because a connection
/// to its former process has not been noticed to be dead.
#[tokio::test]
async fn connection_to_a_former_process_hides_no_registered_one() {
    let server = BackendServer::start().await;
    let pool = ConnectionPool::new();
    let registered = server.member(FIRST_START_MS);
    let mut former = pool.connect(&registered).await.expect("connects");
    let first = pool.leads_to(&mut former, &registered).await;
    assert!(first.expect("answers"), "the first start");
    server.start_again();
    let registered = server.member(SECOND_START_MS);

    let mut present = pool.connect(&registered).await.expect("connects");
    let leads = pool.leads_to(&mut present, &registered).await;

    assert!(leads.expect("answers"), "the second start");
}

/// Guards against a start that outlives the only connection that has shown it: streams would begin at a
/// process that is not the registered one, or be kept from the registered one, for as long as they come.
#[tokio::test]
async fn start_is_known_no_longer_than_the_connection_that_has_shown_it() {
    let server = BackendServer::start().await;
    let pool = ConnectionPool::new();
    let registered = server.member(FIRST_START_MS);
    let mut former = pool.connect(&registered).await.expect("connects");
    let first = pool.leads_to(&mut former, &registered).await;
    assert!(first.expect("answers"), "the first start");
    server.start_again();
    let mut present = pool.connect(&registered).await.expect("connects");
    let _ = pool.leads_to(&mut present, &registered).await;

    drop(former);
    tokio::task::yield_now().await;
    let leads = pool.leads_to(&mut present, &registered).await;
    pool.put(&registered.id, present, DEFAULT_IDLE_TIMEOUT);
    let mut again = pool.connect(&registered).await.expect("connects");
    let leads_again = pool.leads_to(&mut again, &registered).await;

    assert!(
        !leads.expect("answers"),
        "still takes it for the first start"
    );
    assert!(!leads_again.expect("answers"), "again for the first start");
}
