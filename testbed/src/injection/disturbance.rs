//! One fault and its repair.

use {
    crate::{
        deployment::{Deployment, Standin},
        process,
        proxy::{Direction, Fault, Proxy, Scope},
        store::Outage,
    },
    derive_more::Display,
    rand::{Rng as _, rngs::StdRng},
    std::time::Duration,
};

/// Longest graceful shutdown before the process is killed.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(10);

/// Answers of the store lost in one fault, at most.
const MAX_LOST_ANSWERS: u32 = 5;

/// Bytes that a truncated connection still carries, at most.
const MAX_TRUNCATED_BYTES: u64 = 20_000;

/// Most that a link is delayed, in milliseconds.
const MAX_DELAY_MS: u64 = 200;

/// How much slower an engine becomes, at most.
const MAX_SLOW_FACTOR: f64 = 10.0;

/// Length of a silence of a backend server, in milliseconds.
const MIN_SILENCE_MS: u64 = 600;
const MAX_SILENCE_MS: u64 = 1_500;

/// A kind of fault.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display(rename_all = "kebab-case")]
pub enum Kind {
    /// A router dies and is started anew.
    KillRouter,
    /// A sidecar dies and is started anew.
    KillSidecar,
    /// A router is paused.
    PauseRouter,
    /// A sidecar is paused.
    PauseSidecar,
    /// A router is shut down gracefully and started anew.
    ReplaceRouter,
    /// A sidecar is shut down gracefully and started anew.
    ReplaceSidecar,
    /// Open connections of a link go silent for good.
    SilenceLink,
    /// Open connections of a link are reset.
    CutLink,
    /// New connections of a link are reset after some bytes.
    TruncateLink,
    /// A link is slow.
    DelayLink,
    /// An engine is slow.
    SlowEngine,
    /// The store is down.
    StopStore,
    /// The store is slow.
    DelayStore,
    /// The store loses answers after the write took effect.
    LoseAnswers,
    /// A backend server falls silent for a while and goes on.
    SilenceBackend,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 15] = [
        Self::KillRouter,
        Self::KillSidecar,
        Self::PauseRouter,
        Self::PauseSidecar,
        Self::ReplaceRouter,
        Self::ReplaceSidecar,
        Self::SilenceLink,
        Self::CutLink,
        Self::TruncateLink,
        Self::DelayLink,
        Self::SlowEngine,
        Self::StopStore,
        Self::DelayStore,
        Self::LoseAnswers,
        Self::SilenceBackend,
    ];
}

/// What a fault happens to; no two faults happen to the same at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A router.
    Router(usize),
    /// A sidecar.
    Sidecar(usize),
    /// The link from the routers to a sidecar.
    PeerLink(usize),
    /// The link from a sidecar to its backend server.
    BackendLink(usize),
    /// The link from a router to the store.
    StoreLink(usize),
    /// An engine or a plain service.
    Backend(usize),
    /// The store.
    Store,
}

/// One drawn fault.
#[derive(Clone, Debug)]
pub struct Disturbance {
    kind: Kind,
    target: Target,
    direction: Direction,
    size: f64,
}

impl Disturbance {
    /// Draws a fault of this kind.
    pub fn draw(kind: Kind, deployment: &Deployment, generator: &mut StdRng) -> Self {
        let router = generator.random_range(0..deployment.routers.len());
        let sidecar = generator.random_range(0..deployment.sidecars.len());
        let target = match kind {
            Kind::KillRouter | Kind::PauseRouter | Kind::ReplaceRouter => Target::Router(router),
            Kind::KillSidecar | Kind::PauseSidecar | Kind::ReplaceSidecar => {
                Target::Sidecar(sidecar)
            }
            Kind::SlowEngine | Kind::SilenceBackend => Target::Backend(sidecar),
            Kind::StopStore | Kind::DelayStore | Kind::LoseAnswers => Target::Store,
            Kind::SilenceLink | Kind::CutLink | Kind::TruncateLink | Kind::DelayLink => {
                match generator.random_range(0..5) {
                    0 => Target::StoreLink(router),
                    1 | 2 => Target::PeerLink(sidecar),
                    _ => Target::BackendLink(sidecar),
                }
            }
        };
        let direction = match generator.random_range(0..3) {
            0 => Direction::ToTarget,
            1 => Direction::FromTarget,
            _ => Direction::Both,
        };
        Self {
            kind,
            target,
            direction,
            size: generator.random(),
        }
    }

    /// What the fault happens to.
    pub fn target(&self) -> Target {
        self.target
    }

    /// Brings the fault about.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be signalled.
    pub fn inject(&self, deployment: &mut Deployment) -> Result<(), process::Fault> {
        match (self.kind, self.target) {
            (Kind::KillRouter, Target::Router(index)) => deployment.routers[index].kill(),
            (Kind::KillSidecar, Target::Sidecar(index)) => deployment.sidecars[index].kill(),
            (Kind::PauseRouter, Target::Router(index)) => deployment.routers[index].process.pause(),
            (Kind::PauseSidecar, Target::Sidecar(index)) => {
                deployment.sidecars[index].process.pause()
            }
            (Kind::ReplaceRouter, Target::Router(index)) => {
                deployment.routers[index].process.terminate()
            }
            (Kind::ReplaceSidecar, Target::Sidecar(index)) => {
                deployment.sidecars[index].process.terminate()
            }
            (Kind::SlowEngine, Target::Backend(index)) => {
                self.set_slow_factor(deployment, index, 1.0 + self.size * (MAX_SLOW_FACTOR - 1.0));
                Ok(())
            }
            (Kind::SilenceBackend, Target::Backend(index)) => {
                self.silence(deployment, index);
                Ok(())
            }
            (_, Target::Store) => {
                self.disturb_store(deployment);
                Ok(())
            }
            _ => {
                self.disturb_link(deployment);
                Ok(())
            }
        }
    }

    /// Ends the fault; a process that died or shut down is started anew.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be signalled or started.
    pub async fn repair(&self, deployment: &mut Deployment) -> Result<(), process::Fault> {
        match (self.kind, self.target) {
            (Kind::PauseRouter, Target::Router(index)) => {
                deployment.routers[index].process.resume_execution()
            }
            (Kind::PauseSidecar, Target::Sidecar(index)) => {
                deployment.sidecars[index].process.resume_execution()
            }
            (_, Target::Router(index)) => {
                let router = &mut deployment.routers[index];
                if router.process.wait(SHUTDOWN_LIMIT).await.is_err() {
                    router.kill()?;
                }
                router.restart(&deployment.list)
            }
            (_, Target::Sidecar(index)) => {
                let sidecar = &mut deployment.sidecars[index];
                if sidecar.process.wait(SHUTDOWN_LIMIT).await.is_err() {
                    sidecar.kill()?;
                }
                sidecar.restart(&deployment.list)
            }
            (_, Target::Backend(index)) => {
                self.set_slow_factor(deployment, index, 1.0);
                Ok(())
            }
            (_, Target::Store) => {
                deployment.store.resume();
                deployment.store.set_delay(Duration::ZERO);
                deployment.store.lose_answers(0);
                Ok(())
            }
            _ => {
                self.repair_link(deployment);
                Ok(())
            }
        }
    }

    fn set_slow_factor(&self, deployment: &Deployment, index: usize, factor: f64) {
        if let Standin::Engine(engine) = &deployment.sidecars[index].backend_server {
            engine.set_slow_factor(factor);
        }
    }

    fn silence(&self, deployment: &Deployment, index: usize) {
        let range = (MAX_SILENCE_MS - MIN_SILENCE_MS) as f64;
        let length = Duration::from_millis(MIN_SILENCE_MS + (self.size * range) as u64);
        match &deployment.sidecars[index].backend_server {
            Standin::Engine(engine) => engine.fall_silent(length),
            Standin::Plain(plain) => plain.fall_silent(length),
        }
    }

    fn disturb_store(&self, deployment: &Deployment) {
        let store = &deployment.store;
        match self.kind {
            Kind::StopStore if self.size < 0.5 => store.stop(Outage::Refuse),
            Kind::StopStore => store.stop(Outage::Hang),
            Kind::DelayStore => store.set_delay(self.delay()),
            _ => store.lose_answers(1 + (self.size * f64::from(MAX_LOST_ANSWERS)) as u32),
        }
    }

    fn disturb_link(&self, deployment: &Deployment) {
        let Some(link) = self.link(deployment) else {
            return;
        };
        match self.kind {
            Kind::SilenceLink => link.inject(Scope::Open, self.direction, Fault::silence()),
            Kind::CutLink => link.cut(),
            Kind::DelayLink => link.inject(Scope::All, self.direction, Fault::delay(self.delay())),
            _ => {
                let bytes = (self.size * MAX_TRUNCATED_BYTES as f64) as u64;
                link.inject(Scope::New, self.direction, Fault::truncate(bytes));
            }
        }
    }

    /// Connections that went silent stay so; all other faults of the link end.
    fn repair_link(&self, deployment: &Deployment) {
        if let Some(link) = self.link(deployment) {
            let scope = match self.kind {
                Kind::DelayLink => Scope::All,
                _ => Scope::New,
            };
            link.inject(scope, Direction::Both, Fault::none());
        }
    }

    fn link<'a>(&self, deployment: &'a Deployment) -> Option<&'a Proxy> {
        match self.target {
            Target::PeerLink(index) => deployment.sidecars[index].peer_proxy.as_ref(),
            Target::BackendLink(index) => deployment.sidecars[index].backend_proxy.as_ref(),
            Target::StoreLink(index) => deployment.routers[index].store_proxy.as_ref(),
            _ => None,
        }
    }

    fn delay(&self) -> Duration {
        Duration::from_millis((self.size * MAX_DELAY_MS as f64) as u64)
    }
}
