//! The placement worker: chooses a sidecar for each request.
//!
//! It owns the routing tables, the shed floors, the organisations' limits and the retry budgets.

pub mod command;
pub mod decision_log;
pub mod floor_broadcast;
pub mod notice_relay;
pub mod service;

use {
    self::{
        command::{Command, PlacementRequest, SidecarEvent},
        service::Service,
    },
    super::{inbound::InboundRequest, peer::Peer},
    crate::{channel::BoundedSender, clock::Clock, worker::Worker},
    crossbeam_channel::Receiver,
    rand::{SeedableRng as _, rngs::SmallRng},
    std::{
        collections::HashMap,
        io,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tamarackdale_core::{
        failure::{Failure, Reason},
        floor::Notice,
        id::{Attempt, Boot},
        limit::RouterShare,
        route::Policy,
        time::Timestamp,
    },
    tamarackdale_wire::status::Decision,
};

/// Capacity of the command queue of the worker.
const CAPACITY: usize = 8192;

/// A sidecar chosen for a request.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The sidecar.
    pub peer: Peer,
    /// Identifier of the attempt, unique to it.
    pub attempt: Attempt,
    /// Shed floor to send to the sidecar.
    pub floor: Notice,
    /// Service that the request is for.
    pub service: String,
    /// Least time until the response is complete, as predicted.
    pub min_completion: Duration,
    /// Least time from the grant until the response is complete, as predicted.
    pub min_service: Duration,
}

/// Handle to the placement worker.
#[derive(Clone)]
pub struct Placement {
    sender: BoundedSender<Command>,
    /// Whether any crash or quarantine is remembered.
    is_alert: Arc<AtomicBool>,
}

impl Placement {
    /// Starts the worker of the router with the given boot.
    ///
    /// `data_centre` is the router's own. `send_floor` sends the shed floor to sidecars, and
    /// `send_notices` what their other routers are to know of crashes; neither may block. Fails if the
    /// thread cannot be started.
    pub fn spawn(
        router: Boot,
        clock: Clock,
        policy: Policy,
        data_centre: &str,
        send_floor: impl Fn(Vec<Peer>, Notice) + Send + 'static,
        send_notices: impl Fn(notice_relay::Message) + Send + 'static,
    ) -> io::Result<(Worker, Self)> {
        let is_alert = Arc::new(AtomicBool::new(false));
        let (sender, commands) = BoundedSender::new(CAPACITY);
        let worker = PlacementWorker {
            router,
            clock,
            policy,
            data_centre: data_centre.to_owned(),
            is_alert: Arc::clone(&is_alert),
            send_floor: Box::new(send_floor),
            send_notices: Box::new(send_notices),
            services: HashMap::new(),
            share: RouterShare::new(0, 1),
            sequence: 0,
            rng: SmallRng::seed_from_u64(router.0),
        };
        let thread = Worker::spawn("placement", move || worker.run(&commands))?;
        Ok((thread, Self { sender, is_alert }))
    }

    /// Counts a request against its organisation's limits; [`Placement::release`] must follow.
    ///
    /// Fails if the organisation is over its limits or the worker cannot be reached.
    pub async fn admit(&self, request: Arc<InboundRequest>) -> Result<(), Failure> {
        let asked = self
            .sender
            .ask(|reply| Command::Admit { request, reply })
            .await;
        asked.map_err(not_dispatched)?
    }

    /// Releases an admitted request that has ended from its organisation's limits.
    pub fn release(&self, request: &InboundRequest, elapsed: Duration) {
        self.sender.send_with_retry(Command::Release {
            service: request.id.service.clone(),
            organisation: request.id.organisation.clone(),
            elapsed,
        });
    }

    /// Chooses a sidecar for a request.
    ///
    /// Fails with the reason if none can be chosen.
    pub async fn place(&self, placement: PlacementRequest) -> Result<Assignment, Failure> {
        let asked = self
            .sender
            .ask(|reply| Command::Place { placement, reply })
            .await;
        asked.map_err(not_dispatched)?
    }

    /// Checks before a request is granted that backend servers do not crash when they run it.
    ///
    /// Fails if it is quarantined.
    pub async fn check(&self, request: &Arc<InboundRequest>) -> Result<(), Failure> {
        if !self.is_alert.load(Ordering::Relaxed) {
            return Ok(());
        }
        let request = Arc::clone(request);
        let asked = self
            .sender
            .ask(|reply| Command::Check { request, reply })
            .await;
        asked.map_err(not_dispatched)?
    }

    /// Reports that an attempt has been granted; [`Placement::finish_attempt`] must follow.
    pub fn record_grant(&self, request: &Arc<InboundRequest>, attempt: Attempt) {
        let granted = Command::Granted {
            request: Arc::clone(request),
            attempt,
        };
        // Sent now or never, so that the end of the attempt cannot overtake it.
        if let Err(failure) = self.sender.send(granted) {
            log::info!(attempt:% = attempt; "grant not counted in predicted times: {failure}");
        }
    }

    /// Reports that a backend server has answered a request within `elapsed` of its grant.
    pub fn record_answer(&self, request: &Arc<InboundRequest>, elapsed: Duration) {
        self.sender.send_with_retry(Command::Answered {
            request: Arc::clone(request),
            elapsed,
        });
    }

    /// Reports that an attempt has ended; `failure` is given if its sidecar did not run it.
    pub fn finish_attempt(&self, assignment: &Assignment, failure: Option<Failure>) {
        self.sender.send_with_retry(Command::FinishAttempt {
            service: assignment.service.clone(),
            instance: assignment.peer.incarnation.instance.clone(),
            attempt: assignment.attempt,
            failure,
        });
    }

    /// Returns the logged decisions on a request, oldest first.
    pub async fn decisions(&self, key: &str) -> Result<Vec<Decision>, Failure> {
        let key = key.to_owned();
        self.sender
            .ask(|reply| Command::Decisions { key, reply })
            .await
    }

    /// Reports a change in the state of a sidecar.
    pub fn send_event(&self, event: SidecarEvent) {
        self.sender
            .send_with_retry(Command::SidecarEvent(Box::new(event)));
    }

    /// Sets this router's position among the live routers, which determines its share of the
    /// limits.
    pub fn set_share(&self, share: RouterShare) {
        self.sender.send_with_retry(Command::Share(share));
    }
}

/// Placement dispatches nothing, so its failures prove that the request did not run.
fn not_dispatched(failure: Failure) -> Failure {
    Failure::not_run(failure.reason)
}

/// State of the placement worker.
struct PlacementWorker {
    router: Boot,
    clock: Clock,
    policy: Policy,
    data_centre: String,
    is_alert: Arc<AtomicBool>,
    send_floor: Box<dyn Fn(Vec<Peer>, Notice) + Send>,
    send_notices: Box<dyn Fn(notice_relay::Message) + Send>,
    services: HashMap<String, Service>,
    share: RouterShare,
    sequence: u64,
    rng: SmallRng,
}

impl PlacementWorker {
    fn run(mut self, commands: &Receiver<Command>) {
        // Ends when all senders are gone.
        while let Ok(command) = commands.recv() {
            self.handle(command);
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Admit { request, reply } => {
                let admitted = self.service(&request.id.service).admit(&request, now);
                // A relay is not cancelled while it waits for this reply, so it always releases an
                // admitted request.
                let _ = reply.send(admitted);
            }
            Command::Release {
                service,
                organisation,
                elapsed,
            } => self.service(&service).release(&organisation, elapsed),
            Command::Place { placement, reply } => {
                let placed = self.place(&placement, now);
                if let Err(Ok(assignment)) = reply.send(placed) {
                    // The relay no longer waits for the assignment.
                    self.service(&assignment.service)
                        .remove_attempt(assignment.attempt);
                }
            }
            Command::Check { request, reply } => {
                let service = self.service(&request.id.service);
                let checked = service.check_quarantine(&request, now);
                // The relay may have ended; then nobody needs the reply.
                let _ = reply.send(checked);
                self.after_judgement(&request.id.service, now);
            }
            Command::Granted { request, attempt } => {
                let service = self.service(&request.id.service);
                service.record_grant(&request, attempt, now);
            }
            Command::Answered { request, elapsed } => {
                let name = &request.id.service;
                self.service(name).record_answer(&request, elapsed, now);
                self.after_judgement(name, now);
            }
            Command::FinishAttempt {
                service,
                instance,
                attempt,
                failure,
            } => self
                .service(&service)
                .finish_attempt(&instance, attempt, failure),
            Command::Decisions { key, reply } => {
                let decisions = self
                    .services
                    .values()
                    .flat_map(|service| service.decisions(&key, now))
                    .collect();
                let _ = reply.send(decisions);
            }
            Command::SidecarEvent(event) => self.handle_sidecar_event(*event, now),
            Command::Share(share) => self.set_share(share),
        }
    }

    fn place(
        &mut self,
        placement: &PlacementRequest,
        now: Timestamp,
    ) -> Result<Assignment, Failure> {
        let attempt = Attempt {
            router: self.router,
            sequence: self.sequence,
        };
        self.sequence += 1;
        let Some(service) = self.services.get_mut(&placement.request.id.service) else {
            return Err(Failure::not_run(Reason::NoBackendServer));
        };
        let placed = service.place(placement, attempt, now, &mut self.rng);
        self.broadcast_floor(&placement.request.id.service, now);
        self.after_judgement(&placement.request.id.service, now);
        placed
    }

    fn handle_sidecar_event(&mut self, event: SidecarEvent, now: Timestamp) {
        match event {
            SidecarEvent::Report {
                report,
                address,
                data_centre,
            } => {
                let name = report.service.clone();
                let service = self.service(&name);
                service.apply_report(*report, address, data_centre, now);
                service.judge_crashes(now);
                self.broadcast_floor(&name, now);
                self.after_judgement(&name, now);
            }
            SidecarEvent::Leaving { service, instance } => {
                self.service(&service).mark_leaving(&instance)
            }
            SidecarEvent::Gone { service, instance } => {
                self.service(&service).remove_sidecar(&instance)
            }
        }
    }

    /// Sends the floor of the service to all its sidecars, if they may not know it.
    fn broadcast_floor(&mut self, name: &str, now: Timestamp) {
        let service = self.service(name);
        if let Some(notice) = service.floor_to_broadcast(now) {
            let peers = service.peers();
            (self.send_floor)(peers, notice);
        }
    }

    /// Tells sidecars what other routers of the service are to know of crashes.
    fn after_judgement(&mut self, name: &str, now: Timestamp) {
        let own = self.data_centre.clone();
        for message in self.service(name).notices_to_tell(&own, now) {
            (self.send_notices)(message);
        }
        let is_alert = self.services.values().any(Service::is_alert);
        self.is_alert.store(is_alert, Ordering::Relaxed);
    }

    fn set_share(&mut self, share: RouterShare) {
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
