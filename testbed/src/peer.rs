//! Stand-in for a process of the system as operators see it: status and decisions.

use {
    crate::host::{Body, Host, bytes},
    hyper::{Request, Response, body::Incoming},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tamarackdale_wire::{
        Status, codec, path,
        status::{Decision, Document},
    },
};

#[derive(Default)]
struct State {
    status: Status,
    /// Decisions with the percent-encoded identifier of their request.
    decisions: Vec<(String, Decision)>,
}

/// A running peer. It lives on threads of its own, which end with it.
pub struct Peer {
    host: Host,
    state: Arc<Mutex<State>>,
}

impl Peer {
    /// Starts a peer without documents or decisions.
    ///
    /// # Errors
    ///
    /// No port or thread is available.
    pub fn start(instance: &str) -> io::Result<Self> {
        let status = Status {
            instance: instance.to_owned(),
            role: "router".to_owned(),
            state: "ready".to_owned(),
            ..Status::default()
        };
        let state = Arc::new(Mutex::new(State {
            status,
            decisions: Vec::new(),
        }));
        let handler = {
            let state = Arc::clone(&state);
            move |request: Request<Incoming>| {
                let answer = answer(&lock(&state), request.uri().path());
                async move { answer }
            }
        };
        Ok(Self {
            host: Host::new("peer", handler)?,
            state,
        })
    }

    /// The address served.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Sets the revision that it has of a service's document.
    pub fn set_revision(&self, service: &str, revision: i64) {
        let documents = &mut lock(&self.state).status.documents;
        documents.retain(|document| document.service != service);
        documents.push(Document {
            service: service.to_owned(),
            revision,
            age_ms: 0,
        });
    }

    /// Adds a decision on the request with that percent-encoded identifier.
    pub fn add_decision(&self, request: &str, decision: Decision) {
        lock(&self.state)
            .decisions
            .push((request.to_owned(), decision));
    }
}

fn answer(state: &State, path: &str) -> Option<Response<Body>> {
    if path == path::STATUS {
        return codec::encode(&state.status).ok().map(bytes);
    }
    let request = path.strip_prefix(path::DECISIONS)?.trim_start_matches('/');
    let decisions: Vec<&Decision> = state
        .decisions
        .iter()
        .filter(|(known, _)| known == request)
        .map(|(_, decision)| decision)
        .collect();
    codec::encode(&decisions).ok().map(bytes)
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
