//! Tests of the key-value store's client against the simulated store, without faults and with each
//! fault that it can inject.

use {
    bytes::Bytes,
    futures_util::{StreamExt as _, stream},
    http_body_util::{BodyExt as _, StreamBody},
    hyper::{Response, body::Frame},
    rstest::rstest,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    tamarackdale_store::{
        http,
        kv::{Change, Client, Creation, Entry, Error, Swap, Watch},
    },
    tamarackdale_testbed::{
        host::Host,
        store::{Call, Outage, Store},
    },
    tokio::time::timeout,
};

/// Timeout of the calls and waits that are expected to time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest wait for something that must happen.
const WAIT_LIMIT: Duration = Duration::from_secs(5);

fn store() -> (Store, Client) {
    let store = Store::start().expect("the simulated store starts");
    let client = Client::new(&store.url()).with_timeout(WAIT_LIMIT);
    (store, client)
}

async fn create_key(client: &Client, key: &str, value: &str) -> i64 {
    match client.create(key, value.as_bytes(), None).await {
        Ok(Swap::Done { revision }) => revision,
        other => panic!("key {key:?} was not created: {other:?}"),
    }
}

/// Waits for the next write or deletion.
async fn next_change(watch: &mut Watch) -> Change {
    loop {
        let change = timeout(WAIT_LIMIT, watch.next())
            .await
            .expect("a change arrives within the limit")
            .expect("the watch is open");
        if !matches!(change, Change::Progress { .. }) {
            return change;
        }
    }
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let limit = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(
            Instant::now() < limit,
            "{what} did not happen within {WAIT_LIMIT:?}"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn swap_takes_effect_only_at_the_expected_revision() {
    let (store, client) = store();
    let first = create_key(&client, "a", "one").await;

    let done = client.swap("a", b"two", first, None).await;
    let stale = client.swap("a", b"three", first, None).await;

    let entry = client
        .get("a")
        .await
        .expect("the call succeeds")
        .expect("the key exists");
    assert_eq!(
        done,
        Ok(Swap::Done {
            revision: entry.revision
        })
    );
    assert_eq!(stale, Ok(Swap::Conflict(Some(entry.clone()))));
    assert_eq!(
        (entry.key.as_str(), entry.value.as_slice()),
        ("a", &b"two"[..])
    );
    assert!(entry.revision > first);
    assert_eq!(store.calls(Call::Write), 3);
    assert_eq!(store.calls(Call::Read), 1);
    assert_eq!(store.history().len(), 2);
}

#[tokio::test]
async fn delete_takes_effect_only_at_the_expected_revision() {
    let (_store, client) = store();
    let revision = create_key(&client, "a", "one").await;

    let stale = client
        .delete("a", revision + 1)
        .await
        .expect("the call succeeds");
    let done = client
        .delete("a", revision)
        .await
        .expect("the call succeeds");

    assert!(matches!(stale, Swap::Conflict(Some(_))));
    assert!(matches!(done, Swap::Done { .. }));
    assert_eq!(client.get("a").await, Ok(None));
}

#[tokio::test]
async fn list_returns_keys_with_the_prefix_and_the_store_revision() {
    let (_store, client) = store();
    create_key(&client, "documents/a", "1").await;
    let between = create_key(&client, "other", "2").await;
    let last = create_key(&client, "documents/b", "3").await;

    let (entries, revision) = client.list("documents/").await.expect("the call succeeds");
    let newer = client
        .list_newer("documents/", between)
        .await
        .expect("the call succeeds");

    let keys: Vec<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["documents/a", "documents/b"]);
    assert_eq!(revision, last);
    assert_eq!(newer.len(), 1);
    assert_eq!(newer[0].key, "documents/b");
}

#[tokio::test]
async fn value_at_a_past_revision_can_be_read() {
    let (_store, client) = store();
    let first = create_key(&client, "a", "one").await;
    client
        .swap("a", b"two", first, None)
        .await
        .expect("the call succeeds");

    let past = client.get_at("a", first).await.expect("the call succeeds");
    let before = client
        .get_at("a", first - 1)
        .await
        .expect("the call succeeds");
    let future = client.get_at("a", first + 100).await;

    assert_eq!(past.map(|entry| entry.value), Some(b"one".to_vec()));
    assert_eq!(before, None);
    assert!(matches!(future, Err(Error::Rejected(_))));
}

#[tokio::test]
async fn create_all_evaluates_each_key_separately_in_one_call() {
    let (store, client) = store();
    create_key(&client, "b", "present").await;
    let batch = ["a", "b", "c"].map(|key| Creation {
        key: key.to_owned(),
        value: b"new".to_vec(),
    });

    let swaps = client
        .create_all(&batch, None)
        .await
        .expect("the call succeeds");

    assert!(matches!(swaps[0], Swap::Done { .. }));
    assert!(matches!(&swaps[1], Swap::Conflict(Some(entry)) if entry.value == b"present"));
    assert!(matches!(swaps[2], Swap::Done { .. }));
    assert_eq!(store.calls(Call::Write), 2);
    assert_eq!(store.history().len(), 3);
    assert_eq!(
        store.record("b").map(|record| record.value),
        Some(b"present".to_vec())
    );
}

#[tokio::test]
async fn create_all_rejects_a_duplicate_key() {
    let (store, client) = store();
    let creation = Creation {
        key: "a".to_owned(),
        value: Vec::new(),
    };

    let result = client.create_all(&[creation.clone(), creation], None).await;

    assert!(matches!(result, Err(Error::Rejected(_))));
    assert_eq!(store.calls(Call::Write), 0);
}

#[tokio::test]
async fn keys_are_deleted_with_their_lease() {
    let (_store, client) = store();
    let lease = client
        .grant(Duration::from_secs(1))
        .await
        .expect("the lease is granted");
    let other = client
        .grant(Duration::from_secs(60))
        .await
        .expect("the lease is granted");
    client
        .create("expiring", b"", Some(&lease))
        .await
        .expect("the call succeeds");
    client
        .create("revoked", b"", Some(&other))
        .await
        .expect("the call succeeds");

    let renewed = client.keep_alive(&lease).await;
    client.revoke(&other).await.expect("the lease is revoked");

    assert_eq!(renewed, Ok(lease));
    assert_eq!(client.get("revoked").await, Ok(None));
    let limit = Instant::now() + WAIT_LIMIT;
    while client.get("expiring").await != Ok(None) {
        assert!(
            Instant::now() < limit,
            "the lease did not expire within {WAIT_LIMIT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(matches!(
        client.keep_alive(&lease).await,
        Err(Error::Rejected(_))
    ));
    let late = client.create("late", b"", Some(&lease)).await;
    assert!(matches!(late, Err(Error::Rejected(_))));
}

#[tokio::test]
async fn watch_delivers_past_and_new_changes_in_order() {
    let (store, client) = store();
    let first = create_key(&client, "documents/a", "1").await;
    create_key(&client, "other", "2").await;

    let mut watch = client
        .watch("documents/", first)
        .await
        .expect("the watch opens");
    let past = next_change(&mut watch).await;
    let second = create_key(&client, "documents/b", "3").await;
    let present = next_change(&mut watch).await;
    client
        .delete("documents/b", second)
        .await
        .expect("the call succeeds");
    let deletion = next_change(&mut watch).await;

    assert!(matches!(past, Change::Put(entry) if entry.revision == first));
    assert!(matches!(present, Change::Put(entry) if entry.revision == second));
    assert!(matches!(deletion, Change::Delete { key, .. } if key == "documents/b"));
    assert_eq!((store.calls(Call::Watch), store.open_watches()), (1, 1));
    drop(watch);
    wait_for("the end of the watch", || store.open_watches() == 0).await;
}

#[tokio::test]
async fn watch_from_a_past_revision_reports_no_progress_before_the_changes() {
    let (_store, client) = store();
    let first = create_key(&client, "documents/a", "1").await;
    create_key(&client, "other", "2").await;

    let mut watch = client
        .watch("documents/", first)
        .await
        .expect("the watch opens");
    let change = timeout(WAIT_LIMIT, watch.next())
        .await
        .expect("a change arrives within the limit")
        .expect("the watch is open");

    assert!(matches!(change, Change::Put(entry) if entry.revision == first));
}

#[rstest]
#[case::bad_request(400, false)]
#[case::timed_out(408, true)]
#[case::rate_limit(429, false)]
#[case::cancelled(499, true)]
#[case::internal(500, true)]
fn status_tells_whether_a_call_may_have_taken_effect(#[case] status: u16, #[case] expected: bool) {
    let body = String::new();

    let error = Error::from(http::Error::Status { status, body });

    assert_eq!(error.may_have_taken_effect(), expected);
}

#[tokio::test]
async fn stalled_watch_delivers_nothing_while_reads_succeed() {
    let (store, client) = store();
    let mut watch = client.watch("a", 1).await.expect("the watch opens");
    store.set_watches_silent(true);
    create_key(&client, "a", "1").await;

    let stalled = timeout(SHORT_TIMEOUT, next_change(&mut watch)).await;
    let newer = client.list_newer("a", 1).await.expect("the call succeeds");
    store.set_watches_silent(false);
    let mut another = client.watch("a", 1).await.expect("the watch opens");

    assert!(stalled.is_err());
    assert_eq!(newer.len(), 1);
    assert!(matches!(next_change(&mut another).await, Change::Put(_)));
}

#[tokio::test]
async fn call_during_refused_connections_has_no_effect() {
    let (store, client) = store();
    create_key(&client, "a", "1").await;
    let mut watch = client.watch("a", 100).await.expect("the watch opens");

    store.stop(Outage::Refuse);
    let result = client.create("b", b"", None).await;
    let ended = loop {
        match timeout(WAIT_LIMIT, watch.next())
            .await
            .expect("the watch ends within the limit")
        {
            Ok(_) => {}
            Err(error) => break error,
        }
    };
    store.resume();

    // If the call is sent on a pooled connection that is then closed, its result is unknown.
    assert!(
        matches!(result, Err(Error::Unavailable(_) | Error::Unknown(_))),
        "{result:?}"
    );
    let again = client.create("b", b"", None).await;
    assert!(matches!(again, Ok(Swap::Done { .. })), "{again:?}");
    assert!(matches!(ended, Error::Unavailable(_)));
}

#[tokio::test]
async fn refused_first_connection_is_certainly_without_effect() {
    let (store, client) = store();
    store.stop(Outage::Refuse);

    let result = client.create("a", b"", None).await;

    assert!(matches!(result, Err(Error::Unavailable(_))), "{result:?}");
    assert!(store.history().is_empty());
}

#[tokio::test]
async fn hanging_call_times_out_and_may_take_effect_later() {
    let (store, client) = store();
    let client = client.with_timeout(SHORT_TIMEOUT);
    create_key(&client, "a", "1").await;

    store.stop(Outage::Hang);
    let started = Instant::now();
    let result = client.create("b", b"", None).await;
    let waited = started.elapsed();
    store.resume();

    assert!(matches!(&result, Err(error @ Error::Unknown(_)) if error.may_have_taken_effect()));
    assert!(waited < WAIT_LIMIT);
    wait_for("the delayed write", || store.record("b").is_some()).await;
}

#[tokio::test]
async fn call_to_slow_store_times_out() {
    let (store, client) = store();
    let client = client.with_timeout(SHORT_TIMEOUT);
    store.set_delay(WAIT_LIMIT);

    let started = Instant::now();
    let result = client.get("a").await;

    assert!(matches!(result, Err(Error::Unknown(_))));
    assert!(started.elapsed() < WAIT_LIMIT);
}

#[rstest]
#[case::swap(false)]
#[case::batch(true)]
#[tokio::test]
async fn call_with_lost_response_is_unknown_and_sent_once(#[case] as_batch: bool) {
    let (store, client) = store();
    create_key(&client, "z", "warm").await;
    store.lose_answers(1);

    let error = match as_batch {
        false => client.create("a", b"mine", None).await.err(),
        true => {
            let creation = Creation {
                key: "a".to_owned(),
                value: b"mine".to_vec(),
            };
            client.create_all(&[creation], None).await.err()
        }
    };

    assert!(matches!(error, Some(Error::Unknown(_))), "{error:?}");
    assert_eq!(store.calls(Call::Write), 2);
    let entry = client
        .get("a")
        .await
        .expect("the call succeeds")
        .expect("the key exists");
    assert_eq!(entry.value, b"mine");
}

#[tokio::test]
async fn calls_over_the_rate_limit_have_no_effect() {
    let (store, client) = store();
    let store = store.with_caps(1_000, 1);
    create_key(&client, "a", "1").await;

    let result = client.create("b", b"", None).await;

    assert!(matches!(result, Err(Error::Unavailable(_))), "{result:?}");
    assert!(store.record("b").is_none());
}

/// Guards against the loss of all documents to one key that another program wrote: the list was never
/// read again, and each watch ended at it.
#[tokio::test]
async fn key_that_is_not_utf8_hides_no_others() {
    let (store, client) = store();
    store.put("documents/a", b"1");
    store.put(b"documents/\xff", b"odd");
    let last = store.put("documents/z", b"2");

    let listed = client.list("documents/").await;
    let newer = client.list_newer("documents/", 1).await;
    let mut watch = client.watch("documents/", 1).await.expect("a watch");
    let mut watched = Vec::new();
    while watched.last() != Some(&last) {
        let Change::Put(entry) = next_change(&mut watch).await else {
            panic!("no key was deleted");
        };
        watched.push(entry.revision);
    }

    let revisions = |entries: Vec<Entry>| -> BTreeSet<i64> {
        entries.iter().map(|entry| entry.revision).collect()
    };
    let all = BTreeSet::from([last - 2, last - 1, last]);
    assert_eq!(revisions(listed.expect("a list").0), all);
    assert_eq!(revisions(newer.expect("a list")), all);
    assert_eq!(watched, Vec::from_iter(all));
}

/// Guards against a message of a watch without end that is kept until the memory is full.
#[tokio::test]
async fn message_without_end_ends_the_watch() {
    let handler = |_| async {
        let begin = stream::once(async { Ok(Frame::data(Bytes::from_static(b"{\"result\": \""))) });
        let rest = stream::repeat_with(|| Ok(Frame::data(Bytes::from_static(&[b'x'; 64 * 1024]))));
        Some(Response::new(
            StreamBody::new(begin.chain(rest)).boxed_unsync(),
        ))
    };
    let host = Host::new("endless", handler).expect("starts");
    let client = Client::new(&format!("http://{}", host.address()));
    let mut watch = client.watch("a/", 1).await.expect("opens");

    let change = timeout(WAIT_LIMIT, watch.next()).await;

    assert!(
        matches!(change, Ok(Err(Error::Unavailable(_)))),
        "{change:?}"
    );
}
