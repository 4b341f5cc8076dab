//! The instance list's client against the stand-in.

use {
    std::time::{Duration, Instant},
    tamarackdale_store::list::{Client, Error, Member, Role},
    tamarackdale_testbed::list::{Instance, List},
};

fn sidecar(name: &str) -> Instance {
    Instance {
        name: name.to_owned(),
        address: ([127, 0, 0, 1], 4000).into(),
        service: "slibe-llm".to_owned(),
        role: "sidecar".to_owned(),
        data_centre: "vejle-a".to_owned(),
        leaving: false,
    }
}

fn list() -> (List, Client) {
    let list = List::start().expect("a port is free");
    let client = Client::new(&list.url());
    (list, client)
}

#[tokio::test]
async fn members_and_their_labels_are_read() {
    let (list, client) = list();
    list.set(sidecar("one"));
    list.set(sidecar("two"));
    list.set(Instance {
        role: "database".to_owned(),
        ..sidecar("other")
    });
    list.set_leaving("two");

    let members = client.fetch().await.expect("answers");

    let expected = Member {
        instance: "one".to_owned(),
        address: ([127, 0, 0, 1], 4000).into(),
        service: "slibe-llm".to_owned(),
        role: Role::Sidecar,
        data_centre: "vejle-a".to_owned(),
        leaving: false,
    };
    assert_eq!(members.len(), 2);
    assert_eq!(members[0], expected);
    assert!(members[1].leaving);
    list.remove("two");
    assert_eq!(client.fetch().await.expect("answers"), [expected]);
}

#[tokio::test]
async fn changes_show_after_the_lag() {
    const LAG: Duration = Duration::from_millis(300);
    let (list, client) = list();
    let list = list.with_lag(LAG);
    list.set(sidecar("one"));
    let set = Instant::now();

    let early = client.fetch().await.expect("answers");
    let mut members = early.clone();
    while members.is_empty() && set.elapsed() < 10 * LAG {
        tokio::time::sleep(Duration::from_millis(5)).await;
        members = client.fetch().await.expect("answers");
    }

    assert!(early.is_empty());
    assert_eq!(members.len(), 1);
    assert!(set.elapsed() >= LAG);
}

#[tokio::test]
async fn unchanged_list_is_not_sent_again() {
    let (list, client) = list();
    list.set(sidecar("one"));

    let first = client.fetch().await.expect("answers");
    let second = client.fetch().await.expect("answers");
    let sent_while_unchanged = list.lists_sent();
    list.set_leaving("one");
    let third = client.fetch().await.expect("answers");

    assert_eq!(first, second);
    assert_eq!((list.calls(), sent_while_unchanged), (3, 1));
    assert!(third[0].leaving);
    assert_eq!(list.lists_sent(), 2);
}

#[tokio::test]
async fn outage_is_an_error() {
    let (list, client) = list();
    list.stop();
    let error = client.fetch().await;

    list.resume();

    assert!(matches!(error, Err(Error::Unavailable(_))));
    assert_eq!(client.fetch().await, Ok(Vec::new()));
}

#[tokio::test]
async fn wrong_address_is_an_error() {
    let (store, _) = list();
    let client = Client::new(&format!("{}missing", store.url().replace("http", "ftp")));

    let error = client.fetch().await;

    assert!(matches!(error, Err(Error::Unavailable(_))));
}
