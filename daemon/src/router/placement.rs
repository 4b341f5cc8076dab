//! The placement duty: chooses a sidecar for each request.
//!
//! It owns the routing tables, the shed floors, the organisations' limits and the retry budget.

pub mod command;
pub mod memory;
pub mod service;
pub mod spread;

use {
    self::{
        command::{Command, Sighting, Wanted},
        service::Service,
    },
    super::{inbound::Inbound, peer::Peer},
    crate::{channel::BoundedSender, clock::Clock, worker::Worker},
    crossbeam_channel::Receiver,
    rand::{SeedableRng as _, rngs::SmallRng},
    std::{collections::HashMap, io, sync::Arc, time::Duration},
    tamarackdale_core::{
        failure::{Failure, Reason},
        floor::Notice,
        id::{Attempt, Boot},
        limit::Share,
        route::Policy,
        time::Timestamp,
    },
    tamarackdale_wire::status::Decision,
};

/// Commands that wait for the duty.
const CAPACITY: usize = 8192;

/// A sidecar chosen for a request.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The sidecar.
    pub peer: Peer,
    /// The attempt's identifier, never used before.
    pub attempt: Attempt,
    /// Shed floor to tell the sidecar.
    pub floor: Notice,
    /// Service asked.
    pub service: String,
}

/// Sending end of the duty.
#[derive(Clone)]
pub struct Placement {
    ring: BoundedSender<Command>,
}

impl Placement {
    /// Starts the duty of the router with the given boot.
    ///
    /// `notify` tells sidecars the shed floor, without waiting for them. Fails when the thread
    /// cannot be started.
    pub fn spawn(
        router: Boot,
        clock: Clock,
        policy: Policy,
        notify: impl Fn(Vec<Peer>, Notice) + Send + 'static,
    ) -> io::Result<(Worker, Self)> {
        let (ring, commands) = BoundedSender::new(CAPACITY);
        let state = State {
            router,
            clock,
            policy,
            notify: Box::new(notify),
            services: HashMap::new(),
            share: Share::new(0, 1),
            sequence: 0,
            rng: SmallRng::seed_from_u64(router.0),
        };
        let duty = Worker::spawn("placement", move || state.run(&commands))?;
        Ok((duty, Self { ring }))
    }

    /// Takes a request into its organisation's limits; [`Placement::release`] must follow.
    ///
    /// Fails if the organisation is over its limits or the duty is not to be reached.
    pub async fn admit(&self, request: Arc<Inbound>) -> Result<(), Failure> {
        let asked = self
            .ring
            .ask(|reply| Command::Admit { request, reply })
            .await;
        asked.map_err(undispatched)?
    }

    /// Takes an admitted request that has ended out of its organisation's limits.
    pub fn release(&self, request: &Inbound, elapsed: Duration) {
        self.ring.send_with_retry(Command::Release {
            service: request.id.service.clone(),
            organisation: request.id.organisation.clone(),
            elapsed,
        });
    }

    /// Chooses a sidecar for a request.
    ///
    /// Fails with the reason why there is none.
    pub async fn place(&self, wanted: Wanted) -> Result<Placed, Failure> {
        let asked = self
            .ring
            .ask(|reply| Command::Place { wanted, reply })
            .await;
        asked.map_err(undispatched)?
    }

    /// Tells that an attempt has ended, and why if its sidecar did not run it.
    pub fn settle(&self, placed: &Placed, refused: Option<Failure>) {
        self.ring.send_with_retry(Command::Settle {
            service: placed.service.clone(),
            instance: placed.peer.incarnation.instance.clone(),
            attempt: placed.attempt,
            refused,
        });
    }

    /// The remembered decisions on a request, oldest first.
    pub async fn recall(&self, key: &str) -> Result<Vec<Decision>, Failure> {
        let key = key.to_owned();
        self.ring.ask(|reply| Command::Recall { key, reply }).await
    }

    /// Tells what has been seen of a sidecar.
    pub fn sight(&self, sighting: Sighting) {
        self.ring
            .send_with_retry(Command::Sight(Box::new(sighting)));
    }

    /// Tells this router's place among the live routers.
    pub fn set_share(&self, share: Share) {
        self.ring.send_with_retry(Command::Share(share));
    }
}

/// Nothing is dispatched by placement, so its failures prove that the request did not run.
fn undispatched(failure: Failure) -> Failure {
    Failure::not_run(failure.reason)
}

struct State {
    router: Boot,
    clock: Clock,
    policy: Policy,
    notify: Box<dyn Fn(Vec<Peer>, Notice) + Send>,
    services: HashMap<String, Service>,
    share: Share,
    sequence: u64,
    rng: SmallRng,
}

impl State {
    fn run(mut self, commands: &Receiver<Command>) {
        // Ends when all senders are gone.
        while let Ok(command) = commands.recv() {
            self.take(command);
        }
    }

    fn take(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Admit { request, reply } => {
                let admitted = self.service(&request.id.service).admit(&request, now);
                // A request that was given up releases its share by itself.
                let _ = reply.send(admitted);
            }
            Command::Release {
                service,
                organisation,
                elapsed,
            } => self.service(&service).release(&organisation, elapsed),
            Command::Place { wanted, reply } => {
                let placed = self.place(&wanted, now);
                if let Err(Ok(placed)) = reply.send(placed) {
                    self.service(&placed.service).withdraw(placed.attempt);
                }
            }
            Command::Settle {
                service,
                instance,
                attempt,
                refused,
            } => self.service(&service).settle(&instance, attempt, refused),
            Command::Recall { key, reply } => {
                let recalled = self
                    .services
                    .values()
                    .flat_map(|service| service.recall(&key, now))
                    .collect();
                let _ = reply.send(recalled);
            }
            Command::Sight(sighting) => self.sight(*sighting, now),
            Command::Share(share) => self.set_share(share),
        }
    }

    fn place(&mut self, wanted: &Wanted, now: Timestamp) -> Result<Placed, Failure> {
        let attempt = Attempt {
            router: self.router,
            sequence: self.sequence,
        };
        self.sequence += 1;
        let Some(service) = self.services.get_mut(&wanted.request.id.service) else {
            return Err(Failure::not_run(Reason::NoBackendServer));
        };
        let placed = service.place(wanted, attempt, now, &mut self.rng);
        self.spread_floor(&wanted.request.id.service, now);
        placed
    }

    fn sight(&mut self, sighting: Sighting, now: Timestamp) {
        match sighting {
            Sighting::Report { report, address } => {
                let name = report.service.clone();
                self.service(&name).report(report, address, now);
                self.spread_floor(&name, now);
            }
            Sighting::Leaving { service, instance } => self.service(&service).leaving(&instance),
            Sighting::Gone { service, instance } => self.service(&service).gone(&instance),
        }
    }

    /// Tells all sidecars of the service its floor, if they may not know it.
    fn spread_floor(&mut self, name: &str, now: Timestamp) {
        let service = self.service(name);
        if let Some(notice) = service.floor_to_spread(now) {
            let peers = service.peers();
            (self.notify)(peers, notice);
        }
    }

    fn set_share(&mut self, share: Share) {
        self.share = share;
        for service in self.services.values_mut() {
            service.set_share(share);
        }
    }

    fn service(&mut self, name: &str) -> &mut Service {
        let (policy, router, share) = (self.policy, self.router, self.share);
        self.services
            .entry(name.to_owned())
            .or_insert_with(|| Service::new(name, policy, router, share))
    }
}
