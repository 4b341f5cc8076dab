//! The site of a soak and its active faults.

use {
    super::{EVENTS, Fault, millis},
    crate::{
        platform::{Behaviour, Configuration, Gateway, Server, Site},
        proxy::{self, Direction, Proxy, Scope},
        store::Outage,
    },
    rand::{Rng as _, rngs::StdRng, seq::IndexedRandom as _},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const GATEWAYS: usize = 3;
const SERVERS_PER_SERVICE: usize = 3;

/// Servers that are there from the start. Engines and plain servers take turns.
const OLDER: usize = SERVERS_PER_SERVICE * 2;

/// Engines of another version that a release brings.
const NEWER: usize = SERVERS_PER_SERVICE;

/// Time between two events of a stream: streams are under way for a quarter of a second, so that faults
/// and changes meet them.
const EVENT_PAUSE: Duration = Duration::from_millis(30);

/// Maximum number of active faults.
const MOST_AT_ONCE: usize = 3;

/// Shortest and longest duration of a fault, in milliseconds.
const FAULT_LENGTH_MS: std::ops::Range<u64> = 200..1_500;

/// Pause that full servers ask for, in seconds: shorter than most faults.
const PAUSE_S: &str = "0.3";

/// Target of a fault; it has one fault at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A backend server or its registration.
    Server(usize),
    /// The link to a backend server.
    Link(usize),
    /// The store.
    Store,
    /// The link to the store.
    StoreLink,
    /// The link of one gateway to the store.
    OwnStoreLink(usize),
    /// A gateway.
    Gateway(usize),
}

/// Time after which a gateway that is shutting down is looked at again.
const SHUTDOWN_POLL: Duration = Duration::from_millis(300);

/// An active fault.
struct Active {
    target: Target,
    end: Instant,
}

/// How a server stands in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Not there yet, or gone. It serves whoever asks it all the same.
    Absent,
    /// It takes work.
    Ready,
    /// It is about to leave.
    Draining,
}

/// A time in which something could not be relied on.
struct Harm {
    target: Target,
    start: Instant,
    end: Option<Instant>,
}

/// The site with its active faults.
pub struct World {
    site: Site,
    servers: Vec<Server>,
    links: Vec<Proxy>,
    store_link: Proxy,
    /// Links of each gateway alone, which lead to the one of all.
    own_store_links: Vec<Proxy>,
    /// When gateways got SIGTERM.
    terminations: Vec<(usize, Instant)>,
    gateways: Vec<Gateway>,
    /// Numbers of the gateways that got SIGTERM and have not been started again.
    terminated: BTreeSet<usize>,
    active: Vec<Active>,
    /// When a fault of a gateway began or ended.
    disturbed_gateways: Vec<Instant>,
    configuration: Configuration,
    /// Each change of a server's presence.
    presence: Vec<(Instant, usize, Presence)>,
    harms: Vec<Harm>,
    /// Gateways that ended though nobody had ended them, and how.
    ended: Vec<String>,
}

impl World {
    /// Starts a site whose gateways are ready.
    pub async fn new() -> Result<Self, Fault> {
        let mut site = Site::new(&Configuration::default())?;
        let store_link = Proxy::new(site.store.address())?;
        let (mut servers, mut links) = (Vec::new(), Vec::new());
        for number in 0..OLDER + NEWER {
            let (service, version) = match number {
                OLDER.. => ("engine", "v2"),
                _ => (["engine", "plain"][number % 2], "v1"),
            };
            let server = Server::new(&format!("{service}-{number}"), service)?;
            let server = server.with_version(version);
            let link = Proxy::new(server.address())?;
            let server = server.with_advertised(link.address());
            server.set_events(EVENTS);
            if service == "engine" {
                server.set_latency(EVENT_PAUSE);
            }
            server.set_retry_after(PAUSE_S);
            if number < OLDER {
                site.register(&server);
            }
            servers.push(server);
            links.push(link);
        }
        let (mut gateways, mut own_store_links) = (Vec::new(), Vec::new());
        for number in 0..GATEWAYS {
            let link = Proxy::new(store_link.address())?;
            site = site.with_store_address(link.address());
            own_store_links.push(link);
            gateways.push(site.gateway(&format!("gateway-{number}"))?);
        }
        for gateway in &gateways {
            gateway.wait_ready(true).await;
        }
        let now = Instant::now();
        let ready = (0..OLDER).map(|number| (now, number, Presence::Ready));
        Ok(Self {
            presence: ready.collect(),
            configuration: Configuration::default(),
            harms: Vec::new(),
            ended: Vec::new(),
            site,
            servers,
            links,
            store_link,
            own_store_links,
            terminations: Vec::new(),
            gateways,
            terminated: BTreeSet::new(),
            active: Vec::new(),
            disturbed_gateways: Vec::new(),
        })
    }

    /// Where callers connect.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(Gateway::callers).collect()
    }

    /// The site.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Writes the operator's configuration and the backend servers' registrations again, as they do
    /// after the store came back from an older copy.
    pub fn write_again(&self) {
        self.site.configure(&self.configuration);
        for number in 0..self.servers.len() {
            if !self.is_busy(Target::Server(number)) {
                self.write_registration(number);
            }
        }
    }

    fn write_registration(&self, number: usize) {
        let server = &self.servers[number];
        match self.presence(number) {
            Presence::Ready => self.site.register(server),
            Presence::Draining => self.site.set_state(server, "draining"),
            Presence::Absent => self.site.store.remove(&format!("servers/{}", server.id())),
        }
    }

    /// How a server stands in the registry.
    pub fn presence(&self, number: usize) -> Presence {
        self.presence_at(number, Instant::now())
    }

    fn presence_at(&self, number: usize, at: Instant) -> Presence {
        let mut changes = self.presence.iter().rev();
        let last = changes.find(|(since, server, _)| *server == number && *since <= at);
        last.map_or(Presence::Absent, |(_, _, presence)| *presence)
    }

    /// Lets a server come, leave or be gone.
    pub fn set_presence(&mut self, number: usize, presence: Presence) {
        self.presence.push((Instant::now(), number, presence));
        self.write_registration(number);
    }

    /// Numbers of the servers that a release brings.
    pub fn newer(&self) -> std::ops::Range<usize> {
        OLDER..OLDER + NEWER
    }

    /// Numbers of the engines that are there from the start.
    pub fn older_engines(&self) -> impl Iterator<Item = usize> + use<> {
        (0..OLDER).step_by(2)
    }

    /// Engines of a version that took work from `from` to `to`, with nothing wrong at them.
    pub fn sound_engines(&self, version: &str, from: Instant, to: Instant) -> usize {
        let is_sound = |number: &usize| {
            let is_ready = |at| self.presence_at(*number, at) == Presence::Ready;
            self.servers[*number].version() == version
                && is_ready(from)
                && is_ready(to)
                && !self.is_server_harmed(*number, from, to)
        };
        let engines = self.older_engines().chain(self.newer());
        engines.filter(is_sound).count()
    }

    /// Whether a server, or the link to it, could not be relied on between `from` and `to`.
    pub fn is_server_harmed(&self, number: usize, from: Instant, to: Instant) -> bool {
        let crashes = self.servers[number].crashes();
        crashes.iter().any(|at| (from..=to).contains(at))
            || self.is_harmed(Target::Server(number), from, to)
            || self.is_harmed(Target::Link(number), from, to)
    }

    /// Whether a target could not be relied on at some time between `from` and `to`.
    pub fn is_harmed(&self, target: Target, from: Instant, to: Instant) -> bool {
        self.harms.iter().any(|harm| {
            harm.target == target && harm.start <= to && harm.end.is_none_or(|end| end >= from)
        })
    }

    /// Gateways that ended though nobody had ended them, and how.
    pub fn ended(&self) -> &[String] {
        &self.ended
    }

    /// Puts a new configuration, with another value at a JSON pointer.
    pub fn configure(&mut self, pointer: &str, value: u64) -> bool {
        let next = self.configuration.clone();
        self.configuration = next.with(pointer, value.into());
        self.site.configure(&self.configuration);
        true
    }

    /// Tells a gateway that has started to read its settings again. Returns whether it has.
    pub fn reload(&mut self, number: usize) -> Result<bool, Fault> {
        let process = &mut self.gateways[number].process;
        // Before that, nothing of the gateway's own can have taken care of signals.
        let has_started = process
            .logs()
            .iter()
            .any(|line| line["message"] == "started");
        let is_told = process.is_running() && has_started;
        if is_told {
            process.hang_up()?;
        }
        Ok(is_told)
    }

    /// Tells a gateway to end, unless it has a fault or no other gateway would be left. It is started
    /// again once it has ended.
    pub fn terminate(&mut self, number: usize) -> Result<bool, Fault> {
        let target = Target::Gateway(number);
        let others = (0..self.gateways.len()).filter(|other| *other != number);
        let others = others.filter(|other| !self.is_busy(Target::Gateway(*other)));
        if self.is_busy(target) || others.count() == 0 {
            return Ok(false);
        }
        self.disturbed_gateways.push(Instant::now());
        self.gateways[number].process.terminate()?;
        self.terminations.push((number, Instant::now()));
        self.terminated.insert(number);
        let end = Instant::now() + SHUTDOWN_POLL;
        self.active.push(Active { target, end });
        Ok(true)
    }

    /// Whether a gateway got SIGTERM between `from` and `to`.
    pub fn is_terminated(&self, number: usize, from: Instant, to: Instant) -> bool {
        let mut terminations = self.terminations.iter();
        terminations.any(|(other, at)| *other == number && (from..=to).contains(at))
    }

    /// Cuts a gateway alone off from the store for `length`, and describes it.
    pub fn cut_off_from_store(&mut self, number: usize, length: Duration) -> Option<String> {
        let target = Target::OwnStoreLink(number);
        if self.is_busy(target) {
            return None;
        }
        self.harm(target);
        self.own_store_links[number].inject(Scope::All, Direction::Both, proxy::Fault::silence());
        let end = Instant::now() + length;
        self.active.push(Active { target, end });
        Some(format!("{target:?} is cut ({length:?})"))
    }

    /// Ends all gateways at once, but for those that have a fault, and starts them again soon.
    pub fn kill_all_gateways(&mut self) -> Result<bool, Fault> {
        for number in 0..self.gateways.len() {
            let target = Target::Gateway(number);
            if self.is_busy(target) {
                continue;
            }
            self.disturbed_gateways.push(Instant::now());
            self.harm(target);
            self.gateways[number].process.kill()?;
            let end = Instant::now() + SHUTDOWN_POLL;
            self.active.push(Active { target, end });
        }
        Ok(true)
    }

    /// Lets a server misbehave for `length` and describes it, unless it has a fault.
    pub fn spoil(
        &mut self,
        number: usize,
        behaviour: Behaviour,
        length: Duration,
    ) -> Option<String> {
        let target = Target::Server(number);
        if self.is_busy(target) {
            return None;
        }
        self.harm(target);
        self.servers[number].set_behaviour(behaviour);
        let end = Instant::now() + length;
        self.active.push(Active { target, end });
        Some(format!("{target:?} {behaviour:?} ({length:?})"))
    }

    fn is_busy(&self, target: Target) -> bool {
        self.active.iter().any(|active| active.target == target)
    }

    fn harm(&mut self, target: Target) {
        self.harms.push(Harm {
            target,
            start: Instant::now(),
            end: None,
        });
    }

    /// The backend servers.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// The gateways.
    pub fn gateways(&self) -> &[Gateway] {
        &self.gateways
    }

    /// When a fault of a gateway began or ended.
    pub fn disturbed_gateways(&self) -> &[Instant] {
        &self.disturbed_gateways
    }

    /// Starts one more fault and describes it, unless enough are active.
    pub fn begin(&mut self, random: &mut StdRng) -> Result<Option<String>, Fault> {
        let target = match random.random_range(0..8) {
            0 | 1 => Target::Server(random.random_range(0..OLDER)),
            2 | 3 => Target::Link(random.random_range(0..OLDER)),
            4 => Target::Store,
            5 => Target::StoreLink,
            _ => Target::Gateway(random.random_range(0..self.gateways.len())),
        };
        let length = millis(random, FAULT_LENGTH_MS);
        if self.is_busy(target) || self.active.len() >= MOST_AT_ONCE {
            return Ok(None);
        }
        let what = self.disturb(target, random)?;
        let end = Instant::now() + length;
        self.active.push(Active { target, end });
        let length = length.as_millis();
        Ok(Some(format!("{target:?} {what} ({length} ms)")))
    }

    /// Ends the faults whose duration has passed.
    pub fn end_due(&mut self) -> Result<(), Fault> {
        self.start_ended_gateways()?;
        self.end(|active| active.end <= Instant::now())
    }

    /// Ends all faults. Returns once each gateway that got SIGTERM has ended and was started
    /// again.
    pub async fn end_all(&mut self) -> Result<(), Fault> {
        loop {
            self.end(|_| true)?;
            if self.active.is_empty() {
                return Ok(());
            }
            sleep(SHUTDOWN_POLL).await;
        }
    }

    fn end(&mut self, is_over: impl Fn(&Active) -> bool) -> Result<(), Fault> {
        let over: Vec<Active> = self
            .active
            .extract_if(.., |active| is_over(active))
            .collect();
        for active in over {
            self.heal(active.target)?;
        }
        Ok(())
    }

    /// Notes gateways that have ended by themselves, and starts them again.
    fn start_ended_gateways(&mut self) -> Result<(), Fault> {
        for number in 0..self.gateways.len() {
            if self.is_busy(Target::Gateway(number)) {
                continue;
            }
            let gateway = &mut self.gateways[number];
            if let Some(status) = gateway.process.end() {
                let name = gateway.process.name();
                self.ended.push(format!("{name} ended by itself, {status}"));
                gateway.restart()?;
            }
        }
        Ok(())
    }

    fn disturb(&mut self, target: Target, random: &mut StdRng) -> Result<String, Fault> {
        if matches!(
            target,
            Target::Link(_) | Target::StoreLink | Target::OwnStoreLink(_) | Target::Store
        ) {
            self.harm(target);
        }
        match target {
            Target::Server(number) => Ok(self.disturb_server(number, random)),
            Target::Link(number) => Ok(disturb_link(&self.links[number], random)),
            Target::StoreLink => Ok(disturb_link(&self.store_link, random)),
            Target::OwnStoreLink(number) => Ok(disturb_link(&self.own_store_links[number], random)),
            Target::Store => Ok(self.disturb_store(random)),
            Target::Gateway(number) => self.disturb_gateway(number, random),
        }
    }

    fn disturb_server(&mut self, number: usize, random: &mut StdRng) -> String {
        let behaviours = [
            Behaviour::Full,
            Behaviour::LosesAnswers,
            Behaviour::MixesAnswers,
            Behaviour::Unsigned,
            Behaviour::BreaksOff,
            Behaviour::Fails,
            Behaviour::Silent,
        ];
        match behaviours.choose(random) {
            Some(behaviour) if random.random_bool(0.75) => {
                self.harm(Target::Server(number));
                self.servers[number].set_behaviour(*behaviour);
                format!("{behaviour:?}")
            }
            _ if says_it_leaves(number) => {
                self.servers[number].say_leaving();
                "says that it leaves".to_owned()
            }
            _ if self.presence(number) == Presence::Absent => "has left".to_owned(),
            _ => {
                let server = &self.servers[number];
                self.site.set_state(server, "draining");
                "drains".to_owned()
            }
        }
    }

    fn disturb_store(&self, random: &mut StdRng) -> String {
        let store = &self.site.store;
        match random.random_range(0..3) {
            0 => store.stop(Outage::Refuse),
            1 => store.stop(Outage::Hang),
            _ => {
                store.lose_answers(random.random_range(1..5));
                return "loses answers".to_owned();
            }
        }
        "away".to_owned()
    }

    fn heal(&mut self, target: Target) -> Result<(), Fault> {
        let harms = self.harms.iter_mut();
        for harm in harms.filter(|harm| harm.target == target && harm.end.is_none()) {
            harm.end = Some(Instant::now());
        }
        match target {
            Target::Server(number) => {
                let server = &self.servers[number];
                server.set_behaviour(Behaviour::Sound);
                if says_it_leaves(number) {
                    server.start_again();
                }
                self.write_registration(number);
            }
            Target::Link(number) => self.links[number].heal(),
            Target::StoreLink => self.store_link.heal(),
            Target::OwnStoreLink(number) => self.own_store_links[number].heal(),
            Target::Store => self.site.store.resume(),
            Target::Gateway(number) => self.revive(number)?,
        }
        Ok(())
    }

    fn disturb_gateway(&mut self, number: usize, random: &mut StdRng) -> Result<String, Fault> {
        self.disturbed_gateways.push(Instant::now());
        let draw = random.random_range(0..3);
        if draw < 2 {
            self.harm(Target::Gateway(number));
        }
        let process = &mut self.gateways[number].process;
        match draw {
            0 => process.pause()?,
            1 => {
                process.kill()?;
                return Ok("killed".to_owned());
            }
            _ => {
                process.terminate()?;
                self.terminations.push((number, Instant::now()));
                self.terminated.insert(number);
                return Ok("told to end".to_owned());
            }
        }
        Ok("paused".to_owned())
    }

    /// Resumes a paused gateway, or restarts one that has ended. One that got SIGTERM and still
    /// runs is looked at again later.
    fn revive(&mut self, number: usize) -> Result<(), Fault> {
        self.disturbed_gateways.push(Instant::now());
        let gateway = &mut self.gateways[number];
        if !gateway.process.is_running() {
            gateway.restart()?;
            self.terminated.remove(&number);
            return Ok(());
        }
        gateway.process.resume_execution()?;
        if self.terminated.contains(&number) {
            self.active.push(Active {
                target: Target::Gateway(number),
                end: Instant::now() + SHUTDOWN_POLL,
            });
        }
        Ok(())
    }
}

/// Whether a server that leaves says so in its responses and not by its registration: one of each
/// service.
fn says_it_leaves(number: usize) -> bool {
    (2..4).contains(&number)
}

fn disturb_link(link: &Proxy, random: &mut StdRng) -> String {
    let directions = [Direction::ToTarget, Direction::FromTarget, Direction::Both];
    let direction = *directions.choose(random).unwrap_or(&Direction::Both);
    let fault = match random.random_range(0..4) {
        0 => proxy::Fault::delay(millis(random, 5..200)),
        1 => proxy::Fault::silence(),
        2 => proxy::Fault::truncate(random.random_range(1..2_000)),
        _ => {
            link.cut();
            return "cut".to_owned();
        }
    };
    link.inject(Scope::All, direction, fault);
    format!("{direction:?} {fault:?}")
}
