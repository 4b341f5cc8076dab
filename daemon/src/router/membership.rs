//! The membership duty: follows the instance list and the sidecars' reports.

pub mod subscription;

use {
    super::placement::{Placement, command::Sighting},
    crate::{duty::Duty, signal::Shutdown},
    std::{
        collections::{HashMap, HashSet},
        io,
        time::Duration,
    },
    tamarackdale_core::{id::Instance, limit::Share},
    tamarackdale_platform::list::{self, Member, Role},
    tokio::{sync::mpsc, task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Time between two readings of the instance list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of the duty.
pub struct Settings {
    /// Address of the instance list.
    pub instance_list: String,
    /// This instance.
    pub instance: Instance,
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
) -> io::Result<(Duty, CancellationToken)> {
    let ended = shutdown.cutting.clone();
    let acquainted = CancellationToken::new();
    let announced = acquainted.clone();
    let (trying, mut all_tried) = mpsc::channel(1);
    let duty = Duty::spawn_async("membership", async move {
        let client = list::Client::new(&settings.instance_list);
        let mut roster = Roster {
            settings,
            placement,
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
    ended: CancellationToken,
}

struct Roster {
    settings: Settings,
    placement: Placement,
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
        let sidecars: Vec<Member> = members
            .into_iter()
            .filter(|member| member.role == Role::Sidecar)
            .filter(|member| self.settings.services.contains(&member.service))
            .collect();
        self.drop_missing(&sidecars);
        for member in sidecars {
            self.take_sidecar(member);
        }
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

    fn take_sidecar(&mut self, member: Member) {
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
        if !self.followed.contains_key(&instance) {
            let ended = self.subscribe(&member);
            self.followed.insert(instance, Followed { member, ended });
        }
    }

    fn subscribe(&mut self, member: &Member) -> CancellationToken {
        let ended = CancellationToken::new();
        let subscription =
            subscription::run(member.clone(), self.placement.clone(), self.trying.clone());
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

/// The sighting that a sidecar is not to be reached any more.
fn gone(member: &Member) -> Sighting {
    Sighting::Gone {
        service: member.service.clone(),
        instance: Instance(member.instance.clone()),
    }
}
