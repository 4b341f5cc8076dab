//! Results of writes whose responses were lost.

use {
    std::time::{Duration, Instant},
    tamarackdale::{
        edit::{Edit, WriteResult},
        header::AnnotatedDocument,
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

/// An edit of the current version that has not been written yet.
async fn edit(client: &Client, text: &str) -> Edit {
    let current = client
        .get(&key::document(SERVICE))
        .await
        .expect("the store responds");
    Edit::new(SERVICE, &AnnotatedDocument::parse(text), current.as_ref())
}

async fn write_edit(client: &Client, text: &str) -> Edit {
    let edit = edit(client, text).await;
    assert!(matches!(
        edit.write(client).await,
        WriteResult::Written { .. }
    ));
    edit
}

#[tokio::test]
async fn edit_is_found_after_later_edits() {
    let (store, client) = store();
    let first = write_edit(&client, "one").await;
    write_edit(&client, "two").await;
    write_edit(&client, "three").await;

    let retried = first.write(&client).await;

    let expected = WriteResult::Written {
        revision: 4,
        superseded: true,
    };
    assert_eq!(retried, expected);
    assert_eq!(store.history().len(), 3);
}

#[tokio::test]
async fn edit_missing_from_a_list_with_its_parent_is_a_conflict() {
    let (store, client) = store();
    write_edit(&client, "one").await;
    let late = edit(&client, "mine").await;
    write_edit(&client, "theirs").await;

    let result = late.write(&client).await;

    assert!(matches!(result, WriteResult::Conflict(Some(entry)) if entry.revision == 3));
    assert_eq!(store.history().len(), 2);
}

#[tokio::test]
async fn edit_overwritten_by_another_tool_is_unknown() {
    let (store, client) = store();
    write_edit(&client, "one").await;
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
    let (result, _) = tokio::join!(mine.write(&client), overwrite);

    assert!(matches!(result, WriteResult::Unknown(_)), "{result:?}");
}

#[tokio::test]
async fn edit_that_a_delayed_call_may_still_write_is_unknown() {
    let (store, client) = store();
    let client = client.with_timeout(Duration::from_millis(50));
    write_edit(&client, "one").await;
    let mine = edit(&client, "mine").await;
    store.stop(Outage::Hang);

    let result = mine.write(&client).await;
    store.resume();

    assert!(matches!(result, WriteResult::Unknown(_)), "{result:?}");
    let limit = Instant::now() + Duration::from_secs(5);
    while store.history().len() < 2 && Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(
        store.history().len(),
        2,
        "the delayed calls write the edit exactly once"
    );
}

#[test]
fn header_is_split_from_the_document() {
    let stored = AnnotatedDocument::parse("# tamarackdale-edits: b a\nservice = 1\n");

    let file = stored.for_editing(7);
    let read = AnnotatedDocument::parse(&file);

    assert_eq!(stored.edit_ids, ["b", "a"]);
    assert_eq!(file, "# tamarackdale-revision: 7\nservice = 1\n");
    assert_eq!(
        (read.revision, read.body.as_str()),
        (Some(7), "service = 1\n")
    );
    assert_eq!(
        read.for_store("c", &stored.edit_ids),
        "# tamarackdale-edits: c b a\nservice = 1\n"
    );
}
