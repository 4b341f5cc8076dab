//! Which document each process of a system has in force.

use {
    super::Deployment,
    crate::{
        http,
        operator::{self, Run},
        process::{self, Process},
    },
    bytes::Bytes,
    derive_more::{Display, Error},
    hyper::Request,
    std::{
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tamarackdale_core::document::example,
    tamarackdale_wire::{Status, codec, message::Document, path},
    tokio::time::sleep,
};

/// Bound on one call of a process.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// How often a process is asked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A process did not put a revision in force in time.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("{peer} does not have revision {revision} in force")]
pub struct Late {
    peer: SocketAddr,
    revision: i64,
}

impl Deployment {
    /// The processes: routers, then sidecars.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        let routers = self.routers.iter().map(|router| &router.process);
        let sidecars = self.sidecars.iter().map(|sidecar| &sidecar.process);
        routers.chain(sidecars)
    }

    /// The processes' addresses for each other, in the order of [`Self::processes`].
    pub fn peers(&self) -> Vec<SocketAddr> {
        let routers = self.routers.iter().map(|router| router.peers);
        let sidecars = self.sidecars.iter().map(|sidecar| sidecar.peers);
        routers.chain(sidecars).collect()
    }

    /// The revisions of a service's document that each process has put in force, in that order.
    pub fn adoptions(&self, service: &str) -> Vec<Vec<i64>> {
        self.processes()
            .map(|process| adoptions(process, service))
            .collect()
    }

    /// Runs the operators' client against the system's platform.
    ///
    /// # Errors
    ///
    /// The client has not been built or cannot be run.
    pub fn operate(&self, arguments: &[&str]) -> io::Result<Run> {
        let binary = process::binary("tamarackdale").map_err(io::Error::other)?;
        let variables = [
            ("TAMARACKDALE_STORE", self.store.url()),
            ("TAMARACKDALE_INSTANCE_LIST", self.list.url()),
        ];
        operator::run(&binary, arguments, &variables)
    }
}

/// The example document of the orders with another weight, so that each is a change.
pub fn orders_with_weight(weight: u32) -> String {
    example::ORDRE_APP
        .text
        .replace("weight = 4", &format!("weight = {weight}"))
}

/// Revision of a service's document that a process has in force; zero if none, or no answer.
pub async fn revision(peer: SocketAddr, service: &str) -> i64 {
    let status = status(peer).await.unwrap_or_default();
    let held = status
        .documents
        .iter()
        .find(|document| document.service == service);
    held.map_or(0, |document| document.revision)
}

/// Waits until all have a revision in force, no longer than `limit` after `since`.
///
/// # Errors
///
/// One has not.
pub async fn wait_in_force(
    peers: &[SocketAddr],
    service: &str,
    expected: i64,
    since: Instant,
    limit: Duration,
) -> Result<(), Late> {
    for peer in peers {
        while revision(*peer, service).await < expected || since.elapsed() >= limit {
            if since.elapsed() >= limit {
                return Err(Late {
                    peer: *peer,
                    revision: expected,
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Offers a document to one process, as an operator's client does.
///
/// # Errors
///
/// The process does not take it.
pub async fn offer(
    peer: SocketAddr,
    service: &str,
    revision: i64,
    text: String,
) -> Result<(), http::Fault> {
    let message = codec::encode(&Document { revision, text }).unwrap_or_default();
    let request = Request::post(format!("{}/{service}", path::DOCUMENTS)).body(message);
    let request = request.expect("a service's name is valid in a path");
    http::call(peer, request, CALL_LIMIT).await.map(|_| ())
}

async fn status(peer: SocketAddr) -> Option<Status> {
    let request = Request::get(path::STATUS).body(Bytes::new());
    let request = request.expect("a constant request is valid");
    let answer = http::call(peer, request, CALL_LIMIT).await.ok()?;
    codec::decode(&answer.body).ok()
}

fn adoptions(process: &Process, service: &str) -> Vec<i64> {
    process
        .logs()
        .iter()
        .filter(|line| line["message"] == "document in force" && line["service"] == service)
        .filter_map(|line| line["revision"].as_i64())
        .collect()
}
