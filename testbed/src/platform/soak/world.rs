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

/// Maximum number of active faults.
const MOST_AT_ONCE: usize = 3;

/// Shortest and longest duration of a fault, in milliseconds.
const FAULT_LENGTH_MS: std::ops::Range<u64> = 200..1_500;

/// Pause that full servers ask for, in seconds: shorter than most faults.
const PAUSE_S: &str = "0.3";

/// Target of a fault; it has one fault at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    /// A backend server or its registration.
    Server(usize),
    /// The link to a backend server.
    Link(usize),
    /// The store.
    Store,
    /// The link to the store.
    StoreLink,
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

/// The site with its active faults.
pub struct World {
    site: Site,
    servers: Vec<Server>,
    links: Vec<Proxy>,
    store_link: Proxy,
    gateways: Vec<Gateway>,
    /// Numbers of the gateways that got SIGTERM and have not been started again.
    terminated: BTreeSet<usize>,
    active: Vec<Active>,
    /// When a fault of a gateway began or ended.
    disturbed_gateways: Vec<Instant>,
}

impl World {
    /// Starts a site whose gateways are ready.
    pub async fn new() -> Result<Self, Fault> {
        let site = Site::new(&Configuration::default())?;
        let store_link = Proxy::new(site.store.address())?;
        let site = site.with_store_address(store_link.address());
        let (mut servers, mut links) = (Vec::new(), Vec::new());
        for number in 0..SERVERS_PER_SERVICE * 2 {
            let service = ["engine", "plain"][number % 2];
            let server = Server::new(&format!("{service}-{number}"), service)?;
            let link = Proxy::new(server.address())?;
            let server = server.with_advertised(link.address());
            server.set_events(EVENTS);
            server.set_retry_after(PAUSE_S);
            site.register(&server);
            servers.push(server);
            links.push(link);
        }
        let mut gateways = Vec::new();
        for number in 0..GATEWAYS {
            gateways.push(site.gateway(&format!("gateway-{number}"))?);
        }
        for gateway in &gateways {
            gateway.wait_ready(true).await;
        }
        Ok(Self {
            site,
            servers,
            links,
            store_link,
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
        self.site.configure(&Configuration::default());
        for (number, server) in self.servers.iter().enumerate() {
            let is_disturbed = |active: &Active| active.target == Target::Server(number);
            if !self.active.iter().any(is_disturbed) {
                self.site.register(server);
            }
        }
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
            0 | 1 => Target::Server(random.random_range(0..self.servers.len())),
            2 | 3 => Target::Link(random.random_range(0..self.links.len())),
            4 => Target::Store,
            5 => Target::StoreLink,
            _ => Target::Gateway(random.random_range(0..self.gateways.len())),
        };
        let length = millis(random, FAULT_LENGTH_MS);
        let is_busy = self.active.iter().any(|active| active.target == target);
        if is_busy || self.active.len() >= MOST_AT_ONCE {
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

    fn disturb(&mut self, target: Target, random: &mut StdRng) -> Result<String, Fault> {
        match target {
            Target::Server(number) => Ok(self.spoil(number, random)),
            Target::Link(number) => Ok(disturb_link(&self.links[number], random)),
            Target::StoreLink => Ok(disturb_link(&self.store_link, random)),
            Target::Store => Ok(self.disturb_store(random)),
            Target::Gateway(number) => self.disturb_gateway(number, random),
        }
    }

    fn spoil(&self, number: usize, random: &mut StdRng) -> String {
        let server = &self.servers[number];
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
                server.set_behaviour(*behaviour);
                format!("{behaviour:?}")
            }
            _ if says_it_leaves(number) => {
                server.say_leaving();
                "says that it leaves".to_owned()
            }
            _ => {
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
        match target {
            Target::Server(number) => {
                let server = &self.servers[number];
                server.set_behaviour(Behaviour::Sound);
                if says_it_leaves(number) {
                    server.start_again();
                }
                self.site.register(server);
            }
            Target::Link(number) => self.links[number].heal(),
            Target::StoreLink => self.store_link.heal(),
            Target::Store => self.site.store.resume(),
            Target::Gateway(number) => self.revive(number)?,
        }
        Ok(())
    }

    fn disturb_gateway(&mut self, number: usize, random: &mut StdRng) -> Result<String, Fault> {
        self.disturbed_gateways.push(Instant::now());
        let process = &mut self.gateways[number].process;
        match random.random_range(0..3) {
            0 => process.pause()?,
            1 => {
                process.kill()?;
                return Ok("killed".to_owned());
            }
            _ => {
                process.terminate()?;
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
