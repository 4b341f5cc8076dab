//! The account of the memory that callers can make a process hold.

use {
    bytes::Bytes,
    futures_util::{StreamExt as _, stream},
    http_body_util::{BodyExt as _, Full, StreamBody},
    hyper::body::{Body, Frame},
    std::{convert::Infallible, net::SocketAddr, time::Duration},
    tamarackdaled::http::memory::{Account, Connection, ReadError},
    tokio::{
        spawn,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Longest legal body.
const LIMIT: usize = 512 * 1024;

/// Longer than a connection may be without progress while the account is full.
const STALLED: Duration = Duration::from_millis(700);

fn open(account: &Account) -> Connection {
    account.open("test", SocketAddr::from(([127, 0, 0, 1], 1)))
}

/// A body of known length.
fn whole(bytes: usize) -> Full<Bytes> {
    Full::new(vec![b'x'; bytes].into())
}

/// A body of unknown length in pieces, which ends or stays open.
fn pieces(
    count: usize,
    size: usize,
    ends: bool,
) -> impl Body<Data = Bytes, Error = Infallible> + Unpin + Send {
    let piece = Bytes::from(vec![b'x'; size]);
    let frames = stream::repeat_with(move || Ok(Frame::data(piece.clone()))).take(count);
    let rest = match ends {
        true => stream::empty().boxed(),
        false => stream::pending().boxed(),
    };
    StreamBody::new(frames.chain(rest).boxed())
}

/// Reads a body until the connection is closed, as a listener does.
fn read(
    connection: &Connection,
    body: impl Body<Data = Bytes, Error = Infallible> + Unpin + Send + 'static,
) -> JoinHandle<Option<Result<Bytes, ReadError>>> {
    let connection = connection.clone();
    spawn(async move {
        tokio::select! {
            read = connection.read(body, LIMIT) => Some(read),
            () = connection.closed() => None,
        }
    })
}

/// Guards against memory that stays with bodies that never end while others wait for it, and against bodies
/// that are closed although there is room.
#[tokio::test(start_paused = true)]
async fn body_without_progress_is_closed_once_its_memory_is_needed() {
    let account = Account::new(1024 * 1024);
    let (stalled, other) = (open(&account), open(&account));
    let first = read(&stalled, pieces(480, 1024, false));
    sleep(STALLED * 10).await;
    let is_closed_early = stalled.is_closing();

    let second = read(&other, pieces(480, 1024, true)).await;

    assert!(!is_closed_early, "closed although there was room");
    assert_eq!(first.await.expect("no panic"), None);
    let content = second.expect("no panic").expect("not closed");
    assert_eq!(content.map(|content| content.len()), Ok(480 * 1024));
}

/// Guards against a legal request that never fits, and against memory that is not released.
#[tokio::test(start_paused = true)]
async fn longest_legal_body_fits_into_any_account() {
    let account = Account::new(0);
    let connection = open(&account);
    let before = account.used();

    for body in [LIMIT, 1, LIMIT] {
        let content = connection.read(whole(body), LIMIT).await;
        assert_eq!(content.map(|content| content.len()), Ok(body));
        let content = connection.read(pieces(1, body, true), LIMIT).await;
        assert_eq!(content.map(|content| content.len()), Ok(body));
    }

    assert_eq!(account.used(), before);
}

/// Guards against bodies that wait for each other, and against the last room for one that lacks more than
/// another.
#[tokio::test(start_paused = true)]
async fn body_that_lacks_least_gets_the_last_room() {
    let account = Account::new(0);
    let connections = [open(&account), open(&account), open(&account)];
    let held = connections[0].read(whole(LIMIT), LIMIT).await;
    let long = read(&connections[1], whole(LIMIT));
    let short = read(&connections[2], whole(LIMIT / 2));
    sleep(Duration::from_secs(1)).await;
    let has_waited = !long.is_finished() && !short.is_finished();

    drop(held);
    let short = short.await.expect("no panic");
    sleep(Duration::from_secs(1)).await;
    let is_long_waiting = !long.is_finished();
    let is_whole = matches!(&short, Some(Ok(content)) if content.len() == LIMIT / 2);
    drop(short);
    let long = long.await.expect("no panic");

    assert!(has_waited, "read without memory");
    assert!(is_whole, "the shorter one was not read");
    assert!(is_long_waiting, "more than the last room was given");
    assert!(matches!(long, Some(Ok(content)) if content.len() == LIMIT));
}

/// Guards against a request that waits for memory without end.
#[tokio::test(start_paused = true)]
async fn body_that_waits_too_long_is_refused() {
    let account = Account::new(0);
    let (first, second) = (open(&account), open(&account));
    let held = first.read(whole(LIMIT), LIMIT).await;

    let refused = timeout(Duration::from_secs(9), second.read(whole(LIMIT), LIMIT));

    assert_eq!(refused.await, Ok(Err(ReadError::NoMemory)));
    assert!(held.is_ok());
}

/// Guards against pieces of a byte that each keep the buffer that they were read into, or a handle.
#[tokio::test]
async fn small_pieces_take_little_more_than_their_bytes() {
    const PIECES: usize = 100_000;
    let account = Account::new(1024 * 1024);
    let connection = open(&account);
    let before = account.used();

    let content = connection.read(pieces(PIECES, 1, true), LIMIT).await;

    let used = account.used() - before;
    assert!(used <= 2 * PIECES, "{used}");
    assert_eq!(content.map(|content| content.len()), Ok(PIECES));
}

#[tokio::test]
async fn body_over_the_limit_is_refused() {
    let account = Account::new(1024 * 1024);
    let connection = open(&account);

    let announced = connection.read(whole(LIMIT + 1), LIMIT).await;
    let sent = connection.read(pieces(2, LIMIT, false), LIMIT).await;

    assert_eq!(announced, Err(ReadError::TooLarge));
    assert_eq!(sent, Err(ReadError::TooLarge));
}

/// Guards against answers that callers do not read and that keep the memory for those of others.
#[tokio::test(start_paused = true)]
async fn answer_that_is_not_read_is_closed_once_its_memory_is_needed() {
    let account = Account::new(1024 * 1024);
    let connection = open(&account);
    let mut body = connection.observe(whole(900 * 1024), false);
    let frame = body.frame().await;
    connection.record_write(None);
    sleep(STALLED).await;
    let closing = {
        let connection = connection.clone();
        spawn(async move {
            connection.closed().await;
            // The listener drops what it has of the answer.
            drop((frame, body));
        })
    };
    drop(connection);

    let other = timeout(Duration::from_secs(9), async {
        let first = account.reserve_answer(64 * 1024).await;
        (first, account.reserve_answer(LIMIT).await)
    });

    assert!(other.await.is_ok(), "no room for another answer");
    closing.await.expect("no panic");
}

/// Guards against a caller that takes its answer in time and is closed for those of others.
#[tokio::test(start_paused = true)]
async fn answer_that_is_being_read_is_not_closed() {
    let account = Account::new(1024 * 1024);
    let connection = open(&account);
    let mut body = connection.observe(whole(900 * 1024), false);
    let _frame = body.frame().await;
    let waiting = {
        let account = account.clone();
        spawn(async move {
            let _first = account.reserve_answer(64 * 1024).await;
            account.reserve_answer(LIMIT).await
        })
    };

    for _ in 0..9 {
        connection.record_write(None);
        sleep(Duration::from_millis(300)).await;
        connection.record_write(Some(100 * 1024));
    }

    assert!(
        !connection.is_closing(),
        "closed although it makes progress"
    );
    assert!(
        timeout(STALLED, waiting).await.is_ok(),
        "no room at its end"
    );
}

/// Guards against heads that take the whole memory, and against short ones that are closed for them.
#[tokio::test(start_paused = true)]
async fn long_head_is_closed_while_the_account_is_full_and_a_short_one_is_not() {
    let account = Account::new(0);
    let (long, short) = (open(&account), open(&account));

    let is_short_kept = short.record_read(2 * 1024, true);
    let is_long_kept = long.record_read(60 * 1024, true);

    assert!(is_short_kept && !short.is_closing());
    assert!(!is_long_kept && long.is_closing());
}
