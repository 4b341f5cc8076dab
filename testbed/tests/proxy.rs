//! Each fault of the proxy does what it says, and nothing else.

use {
    rstest::rstest,
    std::{
        io::{ErrorKind, Read as _, Write as _},
        net::{Shutdown, TcpListener, TcpStream},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    tamarackdale_testbed::proxy::{Direction, Fault, Proxy, Scope},
};

/// Bound on anything that should happen at once.
const LIMIT: Duration = Duration::from_secs(5);

/// How long silence is observed.
const SILENCE: Duration = Duration::from_millis(100);

/// A server that sends back what it receives, on as many connections as are asked for.
fn echo(connections: usize) -> (std::net::SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let thread = thread::spawn(move || {
        let serve = |stream: TcpStream| {
            thread::spawn(move || {
                let mut reader = stream.try_clone().expect("a second handle");
                let mut writer = stream;
                // A reset is one of the faults under test.
                let _ = std::io::copy(&mut reader, &mut writer);
                let _ = writer.shutdown(Shutdown::Write);
            })
        };
        let served: Vec<_> = listener
            .incoming()
            .take(connections)
            .flatten()
            .map(serve)
            .collect();
        for thread in served {
            thread.join().expect("the server does not panic");
        }
    });
    (address, thread)
}

fn connect(proxy: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).expect("the proxy listens");
    stream.set_read_timeout(Some(LIMIT)).expect("a valid limit");
    stream
}

fn ping(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    stream.write_all(b"ping")?;
    let mut answer = [0; 4];
    stream.read_exact(&mut answer)?;
    Ok(answer)
}

fn is_silent(stream: &mut TcpStream) -> bool {
    stream
        .set_read_timeout(Some(SILENCE))
        .expect("a valid limit");
    let result = ping(stream);
    stream.set_read_timeout(Some(LIMIT)).expect("a valid limit");
    matches!(result, Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

#[rstest]
#[case::both(Direction::Both)]
#[case::to_target(Direction::ToTarget)]
#[case::from_target(Direction::FromTarget)]
fn open_connection_goes_silent_while_new_ones_work(#[case] direction: Direction) {
    let (address, server) = echo(2);
    let proxy = Proxy::new(address).expect("starts");
    let mut old = connect(&proxy);
    ping(&mut old).expect("no fault yet");

    proxy.inject(Scope::Open, direction, Fault::silence());
    let silent = is_silent(&mut old);
    let answer = ping(&mut connect(&proxy)).expect("new connections work");
    proxy.heal();
    let mut held = [0; 4];
    let passed = old.read_exact(&mut held);

    assert!(silent);
    assert_eq!(&answer, b"ping");
    assert!(passed.is_ok(), "what was held back passes after healing");
    drop(old);
    drop(proxy);
    server.join().expect("the server does not panic");
}

#[test]
fn truncation_resets_after_the_given_bytes() {
    let (address, server) = echo(1);
    let proxy = Proxy::new(address).expect("starts");
    proxy.inject(Scope::New, Direction::FromTarget, Fault::truncate(6));
    let mut stream = connect(&proxy);

    ping(&mut stream).expect("four bytes pass");
    stream.write_all(b"ping").expect("sent");
    let mut rest = Vec::new();
    let end = stream.read_to_end(&mut rest);

    assert_eq!(
        end.map_err(|error| error.kind()),
        Err(ErrorKind::ConnectionReset)
    );
    assert!(rest.len() <= 2, "{rest:?}");
    server.join().expect("the server does not panic");
}

#[test]
fn delay_holds_data_back() {
    let (address, server) = echo(1);
    let proxy = Proxy::new(address).expect("starts");
    proxy.inject(Scope::New, Direction::ToTarget, Fault::delay(SILENCE));
    let mut stream = connect(&proxy);
    let start = Instant::now();

    let answer = ping(&mut stream).expect("late, not lost");

    assert_eq!(&answer, b"ping");
    assert!(start.elapsed() >= SILENCE);
    drop(stream);
    server.join().expect("the server does not panic");
}

#[test]
fn cut_resets_open_connections_and_new_ones_are_refused_until_healed() {
    let (address, server) = echo(1);
    let proxy = Proxy::new(address).expect("starts");
    let mut old = connect(&proxy);
    ping(&mut old).expect("no fault yet");

    proxy.refuse(true);
    proxy.cut();
    let cut = old.read(&mut [0; 1]).map_err(|error| error.kind());
    let refused = TcpStream::connect(proxy.address()).map_err(|error| error.kind());
    proxy.refuse(false);

    assert_eq!(cut, Err(ErrorKind::ConnectionReset));
    assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
    assert!(TcpStream::connect(proxy.address()).is_ok());
    server.join().expect("the server does not panic");
}
