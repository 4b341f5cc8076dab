//! Verdicts on edits whose answers were lost.

use {
    std::time::{Duration, Instant},
    tamarackdale::{
        edit::{Edit, Verdict},
        header::Headed,
    },
    tamarackdale_store::{key, kv::Client},
    tamarackdale_testbed::store::{Outage, Store},
};

const SERVICE: &str = "ordre-app";

fn store() -> (Store, Client) {
    let store = Store::start().expect("a port is free");
    let client = Client::new(&store.url()).with_timeout(Duration::from_secs(5));
    (store, client)
}

/// An edit of the present version.
async fn edit(client: &Client, text: &str) -> Edit {
    let present = client.get(&key::document(SERVICE)).await.expect("answers");
    Edit::new(SERVICE, &Headed::new(text), present.as_ref())
}

async fn written(client: &Client, text: &str) -> Edit {
    let edit = edit(client, text).await;
    assert!(matches!(edit.write(client).await, Verdict::Written { .. }));
    edit
}

#[tokio::test]
async fn edit_is_found_below_later_ones() {
    let (store, client) = store();
    let first = written(&client, "one").await;
    written(&client, "two").await;
    written(&client, "three").await;

    let repeated = first.write(&client).await;

    let expected = Verdict::Written {
        revision: 4,
        superseded: true,
    };
    assert_eq!(repeated, expected);
    assert_eq!(store.history().len(), 3);
}

#[tokio::test]
async fn edit_absent_from_a_whole_chain_is_a_conflict() {
    let (store, client) = store();
    written(&client, "one").await;
    let late = edit(&client, "mine").await;
    written(&client, "theirs").await;

    let verdict = late.write(&client).await;

    assert!(matches!(verdict, Verdict::Conflict(Some(entry)) if entry.revision == 3));
    assert_eq!(store.history().len(), 2);
}

#[tokio::test]
async fn edit_overwritten_outside_of_the_client_is_unknown() {
    let (store, client) = store();
    written(&client, "one").await;
    let mine = edit(&client, "mine").await;
    let key = key::document(SERVICE);
    store.lose_answers(5);

    let overwrite = async {
        let limit = Instant::now() + Duration::from_secs(5);
        while store.history().len() < 2 && Instant::now() < limit {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        store.put(&key, b"by hand")
    };
    let (verdict, _) = tokio::join!(mine.write(&client), overwrite);

    assert!(matches!(verdict, Verdict::Unknown(_)), "{verdict:?}");
}

#[tokio::test]
async fn edit_that_a_late_call_may_still_write_is_unknown() {
    let (store, client) = store();
    let client = client.with_timeout(Duration::from_millis(50));
    written(&client, "one").await;
    let mine = edit(&client, "mine").await;
    store.stop(Outage::Hang);

    let verdict = mine.write(&client).await;
    store.resume();

    assert!(matches!(verdict, Verdict::Unknown(_)), "{verdict:?}");
    let limit = Instant::now() + Duration::from_secs(5);
    while store.history().len() < 2 && Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(
        store.history().len(),
        2,
        "written once, however many calls came late"
    );
}

#[test]
fn header_is_parted_from_the_document() {
    let stored = Headed::new("# tamarackdale-edits: b a\nservice = 1\n");

    let file = stored.for_editing(7);
    let read = Headed::new(&file);

    assert_eq!(stored.edits, ["b", "a"]);
    assert_eq!(file, "# tamarackdale-revision: 7\nservice = 1\n");
    assert_eq!(
        (read.revision, read.body.as_str()),
        (Some(7), "service = 1\n")
    );
    assert_eq!(
        read.for_store("c", &stored.edits),
        "# tamarackdale-edits: c b a\nservice = 1\n"
    );
}
