//! The membership duty: follows the instance list and the sidecars' reports.

pub mod follower;

use {
    self::follower::Order,
    super::placement::{Placement, command::Sighting},
    crate::{signal::Shutdown, worker::Worker},
    std::{
        collections::{HashMap, HashSet},
        io,
        time::Duration,
    },
    tamarackdale_core::{
        id::{Boot, Instance},
        limit::Share,
        subscription,
    },
    tamarackdale_store::list::{self, Member, Role},
    tokio::{sync::mpsc, task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Time between two readings of the instance list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes per second that a router spends on the reports of all its sidecars together.
const REPORT_BYTES_PER_S: usize = 8_000;

/// Settings of the duty.
pub struct Settings {
    /// Boot of this process.
    pub boot: Boot,
    /// Address of the instance list.
    pub instance_list: String,
    /// This instance.
    pub instance: Instance,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Services whose sidecars are followed.
    pub services: Vec<String>,
}

/// Starts the duty, which tells placement what it sees. The returned token is set once every
/// sidecar of the first list has sent a report or failed to.
///
/// Fails when the thread cannot be started.
pub fn spawn(
    settings: Settings,
    placement: Placement,
    shutdown: &Shutdown,
) -> io::Result<(Worker, CancellationToken)> {
    let ended = shutdown.aborting.clone();
    let acquainted = CancellationToken::new();
    let announced = acquainted.clone();
    let (trying, mut all_tried) = mpsc::channel(1);
    let duty = Worker::spawn_async("membership", async move {
        let client = list::Client::new(&settings.instance_list);
        let mut roster = Roster {
            settings,
            placement,
            listed: Vec::new(),
            chosen: Vec::new(),
            followed: HashMap::new(),
            subscriptions: JoinSet::new(),
            trying: Some(trying),
        };
        // Nothing is sent; the channel ends when the last first attempt has ended.
        roster.subscriptions.spawn(async move {
            all_tried.recv().await;
            announced.cancel();
        });
        tokio::select! {
            () = roster.follow(&client) => {}
            () = ended.cancelled() => {}
        }
        roster.subscriptions.shutdown().await;
    })?;
    Ok((duty, acquainted))
}

struct Followed {
    member: Member,
    order: Order,
    ended: CancellationToken,
}

struct Roster {
    settings: Settings,
    placement: Placement,
    /// The list as last read.
    listed: Vec<Member>,
    /// The sidecars to follow, of the list as last read.
    chosen: Vec<Member>,
    followed: HashMap<Instance, Followed>,
    subscriptions: JoinSet<()>,
    /// Cloned by each subscription of the first list, until its first attempt has ended.
    trying: Option<mpsc::Sender<()>>,
}

impl Roster {
    async fn follow(&mut self, client: &list::Client) {
        loop {
            match client.fetch().await {
                Ok(members) => {
                    self.take(members);
                    self.trying = None;
                }
                Err(error) => log::warn!("instance list not read: {error}"),
            }
            while self.subscriptions.try_join_next().is_some() {}
            sleep(POLL_INTERVAL).await;
        }
    }

    fn take(&mut self, members: Vec<Member>) {
        self.take_routers(&members);
        if members != self.listed {
            self.chosen = self.choose(&members);
            self.listed = members;
        }
        let sidecars = self.chosen.clone();
        self.drop_missing(&sidecars);
        let order = Order {
            router: self.settings.boot,
            bytes_per_s: (REPORT_BYTES_PER_S / sidecars.len().max(1)) as u32,
        };
        for member in sidecars {
            self.take_sidecar(member, order);
        }
    }

    /// The sidecars to follow, of all services.
    fn choose(&self, members: &[Member]) -> Vec<Member> {
        let own = subscription::Member {
            instance: &self.settings.instance.0,
            data_centre: &self.settings.data_centre,
        };
        let routers: Vec<_> = members
            .iter()
            .filter(|member| member.role == Role::Router && !member.leaving)
            .map(candidate)
            .collect();
        let mut chosen = HashSet::new();
        for service in &self.settings.services {
            let sidecars: Vec<_> = members
                .iter()
                .filter(|member| member.role == Role::Sidecar && member.service == *service)
                .map(candidate)
                .collect();
            let followed = subscription::followed(own, &routers, &sidecars);
            chosen.extend(followed.into_iter().map(str::to_owned));
        }
        members
            .iter()
            .filter(|member| member.role == Role::Sidecar && chosen.contains(&member.instance))
            .cloned()
            .collect()
    }

    fn take_routers(&self, members: &[Member]) {
        let mut routers: Vec<&str> = members
            .iter()
            .filter(|member| member.role == Role::Router && !member.leaving)
            .map(|member| member.instance.as_str())
            .collect();
        routers.sort_unstable();
        let own = self.settings.instance.0.as_str();
        let index = routers.iter().position(|name| *name == own).unwrap_or(0);
        let share = Share::new(index as u32, routers.len() as u32);
        self.placement.set_share(share);
    }

    fn drop_missing(&mut self, sidecars: &[Member]) {
        let listed: HashSet<&str> = sidecars
            .iter()
            .map(|member| member.instance.as_str())
            .collect();
        let placement = &self.placement;
        self.followed.retain(|instance, followed| {
            let is_listed = listed.contains(instance.0.as_str());
            if !is_listed {
                followed.ended.cancel();
                placement.sight(gone(&followed.member));
            }
            is_listed
        });
    }

    fn take_sidecar(&mut self, member: Member, order: Order) {
        let instance = Instance(member.instance.clone());
        if let Some(followed) = self.followed.get(&instance)
            && followed.member.address != member.address
        {
            // The instance was replaced under its name.
            followed.ended.cancel();
            self.placement.sight(gone(&followed.member));
            self.followed.remove(&instance);
        }
        if member.leaving {
            self.placement.sight(Sighting::Leaving {
                service: member.service.clone(),
                instance: instance.clone(),
            });
        }
        let present = self.followed.get(&instance);
        if present.is_some_and(|followed| followed.order.is_near(order)) {
            return;
        }
        let ended = self.subscribe(&member, order);
        let followed = Followed {
            member,
            order,
            ended,
        };
        if let Some(former) = self.followed.insert(instance, followed) {
            former.ended.cancel();
        }
    }

    fn subscribe(&mut self, member: &Member, order: Order) -> CancellationToken {
        let ended = CancellationToken::new();
        let placement = self.placement.clone();
        let subscription = follower::run(member.clone(), order, placement, self.trying.clone());
        let stop = ended.clone();
        self.subscriptions.spawn(async move {
            tokio::select! {
                () = subscription => {}
                () = stop.cancelled() => {}
            }
        });
        ended
    }
}

fn candidate(member: &Member) -> subscription::Member<'_> {
    subscription::Member {
        instance: &member.instance,
        data_centre: &member.data_centre,
    }
}

/// The sighting that a sidecar is not to be reached any more.
fn gone(member: &Member) -> Sighting {
    Sighting::Gone {
        service: member.service.clone(),
        instance: Instance(member.instance.clone()),
    }
}
