//! Probes of backend servers that have closed a connection.

use {
    rstest::rstest,
    std::{
        cell::{Cell, RefCell},
        io::{self, ErrorKind},
    },
    tamarackdaled::http::probe::Probe,
};

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Opened {
    Lasts,
    IsClosed,
    Fails(ErrorKind),
}

/// Guards against an answer that looks whole because its server closed its connection before its listener, and
/// against a sound server that counts as ended because it has no room for another connection.
#[rstest]
#[case::listens(&[Opened::Lasts], false)]
#[case::ended(&[Opened::Fails(ErrorKind::ConnectionRefused)], true)]
#[case::ends(&[Opened::IsClosed, Opened::Fails(ErrorKind::ConnectionRefused)], true)]
#[case::resets(&[Opened::Fails(ErrorKind::ConnectionReset), Opened::Fails(ErrorKind::ConnectionRefused)], true)]
#[case::no_room(&[Opened::IsClosed, Opened::IsClosed], false)]
#[case::room_again(&[Opened::IsClosed, Opened::Lasts], false)]
#[case::no_answer(&[Opened::Fails(ErrorKind::TimedOut)], false)]
#[case::no_descriptor(&[Opened::Fails(ErrorKind::Other)], false)]
#[tokio::test]
async fn server_has_ended_if_it_refuses_connections(
    #[case] opened: &[Opened],
    #[case] expected: bool,
) {
    let probe = Probe::default();
    let next = Cell::new(0);
    let kept = RefCell::new(Vec::new());
    let open = || {
        let result = opened[next.replace(next.get() + 1)];
        async move {
            match result {
                Opened::Fails(kind) => Err(io::Error::from(kind)),
                Opened::Lasts | Opened::IsClosed => Ok(result),
            }
        }
    };

    let is_refused = probe
        .is_refused(
            open,
            |connection| *connection == Opened::IsClosed,
            |result| kept.borrow_mut().extend(result.ok()),
        )
        .await;

    assert_eq!(is_refused, expected);
    assert_eq!(next.get(), opened.len(), "connections opened");
    let lasting = opened.iter().filter(|it| **it == Opened::Lasts).count();
    assert_eq!(kept.borrow().len(), lasting, "connections kept");
}
