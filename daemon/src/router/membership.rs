//! The membership worker: polls the instance list and subscribes to the reports of sidecars.

pub mod report_stream;

use {
    self::report_stream::ReportRequest,
    super::placement::{Placement, command::SidecarEvent},
    crate::{clock::Clock, signal::Shutdown, worker::Worker},
    std::{
        collections::{HashMap, HashSet},
        io,
        time::Duration,
    },
    tamarackdale_core::{
        id::{Boot, Instance},
        limit::RouterShare,
        subscription,
    },
    tamarackdale_store::list::{self, Member, Role},
    tokio::{sync::mpsc, task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Interval at which the instance list is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Bandwidth budget of a router for the reports of all its sidecars, in bytes per second.
const REPORT_BYTES_PER_S: usize = 8_000;

/// Settings of the membership worker.
pub struct Settings {
    /// Clock of the process.
    pub clock: Clock,
    /// Boot of this process.
    pub boot: Boot,
    /// Address of the instance list.
    pub instance_list: String,
    /// Name of this instance.
    pub instance: Instance,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Services whose sidecars are subscribed to.
    pub services: Vec<String>,
}

/// Starts the worker, which sends sidecar events to placement. The returned token is cancelled
/// once every sidecar selected from the first list has sent a report or failed to.
///
/// Fails if the thread cannot be started.
pub fn spawn(
    settings: Settings,
    placement: Placement,
    shutdown: &Shutdown,
) -> io::Result<(Worker, CancellationToken)> {
    let aborting = shutdown.aborting.clone();
    let reports_received = CancellationToken::new();
    let on_first_attempts_done = reports_received.clone();
    let (first_attempt_guard, mut first_attempts_done) = mpsc::channel(1);
    let worker = Worker::spawn_async("membership", async move {
        let client = list::Client::new(&settings.instance_list);
        let mut membership = Membership {
            settings,
            placement,
            listed: Vec::new(),
            selected: Vec::new(),
            subscriptions: HashMap::new(),
            tasks: JoinSet::new(),
            first_attempt_guard: Some(first_attempt_guard),
        };
        // Nothing is ever sent on this channel. It closes when the last guard is dropped, that is,
        // when every first attempt has ended.
        membership.tasks.spawn(async move {
            first_attempts_done.recv().await;
            on_first_attempts_done.cancel();
        });
        tokio::select! {
            () = membership.follow_list(&client) => {}
            () = aborting.cancelled() => {}
        }
        membership.tasks.shutdown().await;
    })?;
    Ok((worker, reports_received))
}

/// Subscription to the reports of one sidecar.
struct Subscription {
    member: Member,
    report_request: ReportRequest,
    cancelled: CancellationToken,
}

/// State of the membership worker.
struct Membership {
    settings: Settings,
    placement: Placement,
    /// The instance list as last read.
    listed: Vec<Member>,
    /// The sidecars of that list to subscribe to.
    selected: Vec<Member>,
    subscriptions: HashMap<Instance, Subscription>,
    tasks: JoinSet<()>,
    /// Each subscription of the first list holds a clone until its first attempt has ended.
    first_attempt_guard: Option<mpsc::Sender<()>>,
}

impl Membership {
    async fn follow_list(&mut self, client: &list::Client) {
        loop {
            match client.fetch().await {
                Ok(members) => {
                    self.apply_list(members);
                    self.first_attempt_guard = None;
                }
                Err(error) => log::warn!("failed to read the instance list: {error}"),
            }
            while self.tasks.try_join_next().is_some() {}
            sleep(POLL_INTERVAL).await;
        }
    }

    fn apply_list(&mut self, members: Vec<Member>) {
        self.update_share(&members);
        if members != self.listed {
            self.selected = self.select_sidecars(&members);
            self.listed = members;
        }
        let sidecars = self.selected.clone();
        self.remove_unlisted(&sidecars);
        let report_request = ReportRequest {
            router: self.settings.boot,
            bytes_per_s: (REPORT_BYTES_PER_S / sidecars.len().max(1)) as u32,
        };
        for member in sidecars {
            self.update_sidecar(member, report_request);
        }
    }

    /// Selects the sidecars to subscribe to, of all services.
    fn select_sidecars(&self, members: &[Member]) -> Vec<Member> {
        let own = subscription::Member {
            instance: &self.settings.instance.0,
            data_centre: &self.settings.data_centre,
        };
        let routers: Vec<_> = members
            .iter()
            .filter(|member| member.role == Role::Router && !member.leaving)
            .map(as_candidate)
            .collect();
        let mut selected = HashSet::new();
        for service in &self.settings.services {
            let sidecars: Vec<_> = members
                .iter()
                .filter(|member| member.role == Role::Sidecar && member.service == *service)
                .map(as_candidate)
                .collect();
            let followed = subscription::followed(own, &routers, &sidecars);
            selected.extend(followed.into_iter().map(str::to_owned));
        }
        members
            .iter()
            .filter(|member| member.role == Role::Sidecar && selected.contains(&member.instance))
            .cloned()
            .collect()
    }

    fn update_share(&self, members: &[Member]) {
        let mut routers: Vec<&str> = members
            .iter()
            .filter(|member| member.role == Role::Router && !member.leaving)
            .map(|member| member.instance.as_str())
            .collect();
        routers.sort_unstable();
        let own = self.settings.instance.0.as_str();
        let index = routers.iter().position(|name| *name == own).unwrap_or(0);
        let share = RouterShare::new(index as u32, routers.len() as u32);
        self.placement.set_share(share);
    }

    fn remove_unlisted(&mut self, sidecars: &[Member]) {
        let listed: HashSet<&str> = sidecars
            .iter()
            .map(|member| member.instance.as_str())
            .collect();
        let placement = &self.placement;
        self.subscriptions.retain(|instance, subscription| {
            let is_listed = listed.contains(instance.0.as_str());
            if !is_listed {
                subscription.cancelled.cancel();
                placement.send_event(gone_event(&subscription.member));
            }
            is_listed
        });
    }

    fn update_sidecar(&mut self, member: Member, report_request: ReportRequest) {
        let instance = Instance(member.instance.clone());
        if let Some(subscription) = self.subscriptions.get(&instance)
            && subscription.member.address != member.address
        {
            // Another process has taken over the name of the instance.
            subscription.cancelled.cancel();
            self.placement.send_event(gone_event(&subscription.member));
            self.subscriptions.remove(&instance);
        }
        if member.leaving {
            self.placement.send_event(SidecarEvent::Leaving {
                service: member.service.clone(),
                instance: instance.clone(),
            });
        }
        let current = self.subscriptions.get(&instance);
        if current
            .is_some_and(|subscription| subscription.report_request.is_close_to(report_request))
        {
            return;
        }
        let cancelled = self.subscribe(&member, report_request);
        let subscription = Subscription {
            member,
            report_request,
            cancelled,
        };
        if let Some(previous) = self.subscriptions.insert(instance, subscription) {
            previous.cancelled.cancel();
        }
    }

    fn subscribe(&mut self, member: &Member, report_request: ReportRequest) -> CancellationToken {
        let cancelled = CancellationToken::new();
        let placement = self.placement.clone();
        let subscription = report_stream::run(
            member.clone(),
            report_request,
            self.settings.clock,
            placement,
            self.first_attempt_guard.clone(),
        );
        let stop = cancelled.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = subscription => {}
                () = stop.cancelled() => {}
            }
        });
        cancelled
    }
}

fn as_candidate(member: &Member) -> subscription::Member<'_> {
    subscription::Member {
        instance: &member.instance,
        data_centre: &member.data_centre,
    }
}

/// Returns the event that a sidecar is no longer reachable or listed.
fn gone_event(member: &Member) -> SidecarEvent {
    SidecarEvent::Gone {
        service: member.service.clone(),
        instance: Instance(member.instance.clone()),
    }
}
