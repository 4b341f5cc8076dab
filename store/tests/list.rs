//! Tests of the instance list's client against the simulated list.

use {
    bytes::Bytes,
    rstest::rstest,
    std::time::{Duration, Instant},
    tamarackdale_store::list::{Client, Error, Member, Role},
    tamarackdale_testbed::{
        host::{self, Host},
        list::{Instance, List},
    },
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
    let list = List::start().expect("the simulated list starts");
    let client = Client::new(&list.url());
    (list, client)
}

#[tokio::test]
async fn members_of_known_roles_are_read_with_their_labels() {
    let (list, client) = list();
    list.set(sidecar("one"));
    list.set(sidecar("two"));
    list.set(Instance {
        role: "database".to_owned(),
        ..sidecar("other")
    });
    list.set_leaving("two");

    let members = client.fetch().await.expect("the call succeeds");

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
    assert_eq!(client.fetch().await.expect("the call succeeds"), [expected]);
}

#[tokio::test]
async fn changes_are_visible_after_the_lag() {
    const LAG: Duration = Duration::from_millis(300);
    let (list, client) = list();
    let list = list.with_lag(LAG);
    list.set(sidecar("one"));
    let set = Instant::now();

    let early = client.fetch().await.expect("the call succeeds");
    let mut members = early.clone();
    while members.is_empty() && set.elapsed() < 10 * LAG {
        tokio::time::sleep(Duration::from_millis(5)).await;
        members = client.fetch().await.expect("the call succeeds");
    }

    assert!(early.is_empty());
    assert_eq!(members.len(), 1);
    assert!(set.elapsed() >= LAG);
}

#[tokio::test]
async fn unchanged_list_is_sent_once() {
    let (list, client) = list();
    list.set(sidecar("one"));

    let first = client.fetch().await.expect("the call succeeds");
    let second = client.fetch().await.expect("the call succeeds");
    let sent_while_unchanged = list.lists_sent();
    list.set_leaving("one");
    let third = client.fetch().await.expect("the call succeeds");

    assert_eq!(first, second);
    assert_eq!((list.calls(), sent_while_unchanged), (3, 1));
    assert!(third[0].leaving);
    assert_eq!(list.lists_sent(), 2);
}

#[tokio::test]
async fn fetch_during_an_outage_is_unavailable() {
    let (list, client) = list();
    list.stop();
    let error = client.fetch().await;

    list.resume();

    assert!(matches!(error, Err(Error::Unavailable(_))));
    assert_eq!(client.fetch().await, Ok(Vec::new()));
}

#[tokio::test]
async fn url_with_unsupported_scheme_is_unavailable() {
    let (list, _) = list();
    let client = Client::new(&format!("{}missing", list.url().replace("http", "ftp")));

    let error = client.fetch().await;

    assert!(matches!(error, Err(Error::Unavailable(_))));
}

const SOUND: &str = r#"{"targets":["127.0.0.1:4000"],"labels":{"instance":"one","service":"s",
"role":"sidecar","data_centre":"a","state":"live"}}"#;

/// Levels of nesting that overflow the stack of a reader that recurses.
const LEVELS: usize = 100_000;

/// Guards against the loss of the whole list to one group that another program wrote.
#[rstest]
#[case::null(b"null")]
#[case::number(b"7")]
#[case::empty(b"{}")]
#[case::no_target(br#"{"targets":[],"labels":{"role":"sidecar","instance":"odd"}}"#)]
#[case::two_targets(
    br#"{"targets":["127.0.0.1:1","127.0.0.1:2"],"labels":{"role":"sidecar","instance":"odd"}}"#
)]
#[case::no_name(br#"{"targets":["127.0.0.1:1"],"labels":{"role":"sidecar"}}"#)]
#[case::port_over_u16(
    br#"{"targets":["127.0.0.1:70000"],"labels":{"role":"sidecar","instance":"odd"}}"#
)]
#[case::port_zero(br#"{"targets":["127.0.0.1:0"],"labels":{"role":"sidecar","instance":"odd"}}"#)]
#[case::no_host(br#"{"targets":["0.0.0.0:1"],"labels":{"role":"router","instance":"odd"}}"#)]
#[case::target_number(br#"{"targets":[1e999],"labels":{"role":"sidecar","instance":"odd"}}"#)]
#[case::label_number(br#"{"targets":["127.0.0.1:1"],"labels":{"role":"sidecar","instance":1}}"#)]
#[case::surrogate(
    br#"{"targets":["127.0.0.1:1"],"labels":{"role":"sidecar","instance":"\ud800"}}"#
)]
#[case::not_utf8(
    b"{\"targets\":[\"127.0.0.1:1\"],\"labels\":{\"role\":\"sidecar\",\"instance\":\"\xff\"}}"
)]
#[case::nested(&[[b'['; LEVELS], [b']'; LEVELS]].concat())]
#[tokio::test]
async fn odd_group_hides_no_others(#[case] odd: &[u8]) {
    let body: Bytes = [b"[", odd, b",", SOUND.as_bytes(), b"]"].concat().into();
    let list = Host::new("list", move |_| {
        let body = body.clone();
        async move { Some(host::bytes(body)) }
    });
    let list = list.expect("starts");
    let client = Client::new(&format!("http://{}/", list.address()));

    let members = client.fetch().await;

    let members = members.expect("the list is read");
    let names: Vec<_> = members
        .iter()
        .map(|member| member.instance.as_str())
        .collect();
    assert_eq!(names, ["one"]);
}
