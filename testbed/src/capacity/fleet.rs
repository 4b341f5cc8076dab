//! Real routers and sidecars around stand-ins, with counting relays on the observed links.
//!
//! The first router is the observed one: it has a list of its own, in which every sidecar stands
//! with a relay that no other router uses. Of the sidecars the mean is observed.

use {
    super::{processor, reading::Counters, relay::Relay},
    crate::{
        deployment::{BackendServer, Fault, START_LIMIT, Standin, wait_until_ready},
        engine::Engine,
        list::{Instance, List},
        plain::Plain,
        process::Process,
        store::{Call, Store},
    },
    std::net::SocketAddr,
};

const DATA_CENTRE: &str = "vejle-a";

/// Settings of every process. Requests go to all sidecars alike.
const ENVIRONMENT: &[(&str, &str)] = &[("TAMARACKDALE_PLACEMENT", "round-robin")];

/// A process of the system with relays on its links.
pub struct Node {
    /// Name of the instance.
    pub name: String,
    /// The process.
    pub process: Process,
    /// Address for callers, if it is a router.
    pub callers: Option<SocketAddr>,
    peers: Relay,
    /// For sidecars: the link from the observed router.
    observed: Option<Relay>,
    store: Relay,
    list: Relay,
    _backend_server: Option<Standin>,
}

/// What is observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// The first router, through which no request goes.
    Router,
    /// The second router, through which all requests go.
    Worker,
    /// The mean of all sidecars.
    Sidecar,
}

/// A running system; everything ends on drop.
pub struct Fleet {
    /// Routers; the first is the observed one.
    pub routers: Vec<Node>,
    /// Sidecars.
    pub sidecars: Vec<Node>,
    /// Killed sidecars, with the links to them.
    dead: Vec<Node>,
    /// The key-value service.
    pub store: Store,
    service: String,
    server: BackendServer,
    list: List,
    observed_list: List,
}

impl Fleet {
    /// A service with its document, before any process is started.
    ///
    /// # Errors
    ///
    /// Fails when a stand-in does not start.
    pub fn new(service: &str, document: &str, server: BackendServer) -> Result<Self, Fault> {
        let fleet = Self {
            routers: Vec::new(),
            sidecars: Vec::new(),
            dead: Vec::new(),
            store: Store::start()?,
            service: service.to_owned(),
            server,
            list: List::start()?,
            observed_list: List::start()?,
        };
        fleet.apply(document);
        Ok(fleet)
    }

    /// Writes the service's document; returns the store's revision.
    pub fn apply(&self, document: &str) -> i64 {
        let key = format!("tamarackdale/documents/{}", self.service);
        self.store.put(&key, document.as_bytes())
    }

    /// Starts routers until there are `count`.
    ///
    /// # Errors
    ///
    /// Fails when one does not start or does not become ready.
    pub async fn grow_routers(&mut self, count: usize) -> Result<(), Fault> {
        while self.routers.len() < count {
            let list = match self.routers.is_empty() {
                true => &self.observed_list,
                false => &self.list,
            };
            let name = format!("router-{}", self.routers.len());
            let flags = ["--listen", "127.0.0.1:0", "--services", &self.service];
            let node = self.start("router", &name, &flags, list, None).await?;
            self.enlist("router", &node);
            self.routers.push(node);
        }
        Ok(())
    }

    /// Starts sidecars until there are `count`, each with a backend server.
    ///
    /// # Errors
    ///
    /// Fails when one does not start or does not become ready.
    pub async fn grow_sidecars(&mut self, count: usize) -> Result<(), Fault> {
        while self.sidecars.len() < count {
            let server = match &self.server {
                BackendServer::Engine(model) => Standin::Engine(Engine::new(model.clone())?),
                BackendServer::Plain => Standin::Plain(Plain::new(&self.service)?),
            };
            let name = format!("{}-{}", self.service, self.sidecars.len());
            let url = format!("http://{}", server.address());
            let flags = ["--service", &self.service, "--backend-server", &url];
            let node = self
                .start("sidecar", &name, &flags, &self.list, Some(server))
                .await?;
            self.enlist("sidecar", &node);
            self.sidecars.push(node);
        }
        Ok(())
    }

    /// Lists instances of another service, without processes, until there are `count`.
    pub fn list_strangers(&self, count: usize) {
        for index in 0..count {
            let name = format!("other-service-{index}");
            self.observed_list.set(Instance {
                service: "other-service".to_owned(),
                ..instance("sidecar", &name, SocketAddr::from(([127, 0, 0, 1], 9)))
            });
        }
    }

    /// Replaces a listed instance of another service.
    pub fn change_stranger(&self) {
        let calls = self.observed_list.calls();
        let name = format!("other-service-new-{calls}");
        self.observed_list.remove("other-service-0");
        self.observed_list.set(Instance {
            service: "other-service".to_owned(),
            ..instance("sidecar", &name, SocketAddr::from(([127, 0, 0, 1], 9)))
        });
    }

    /// Kills the last `count` sidecars; they stay listed. Gives their names.
    pub fn kill_sidecars(&mut self, count: usize) -> Vec<String> {
        let from = self.sidecars.len().saturating_sub(count);
        let mut killed = self.sidecars.split_off(from);
        for node in &mut killed {
            // Fails only if the process has ended, which is what is wanted.
            let _ = node.process.kill();
        }
        let names = killed.iter().map(|node| node.name.clone()).collect();
        self.dead.extend(killed);
        names
    }

    /// Takes an instance off the lists.
    pub fn delist(&self, name: &str) {
        self.list.remove(name);
        self.observed_list.remove(name);
    }

    /// What the observed process has used, and the calls that the platform has had.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn counters(&self, observed: Observed) -> Result<Counters, Fault> {
        let used = match observed {
            Observed::Router => self.routers[0].counters(self.sidecar_links(Node::observed_bytes)),
            Observed::Worker => self.routers[1].counters(self.sidecar_links(Node::peer_bytes)),
            Observed::Sidecar => self.mean_sidecar(),
        }?;
        let reads = [Call::Read, Call::Lease, Call::Watch];
        Ok(Counters {
            store_reads: reads.map(|call| self.store.calls(call)).iter().sum(),
            store_writes: self.store.calls(Call::Write),
            ..used
        })
    }

    fn mean_sidecar(&self) -> Result<Counters, Fault> {
        let mut sum = Counters::default();
        for node in &self.sidecars {
            sum = sum.plus(&node.counters(node.observed_bytes())?);
        }
        Ok(sum.divided_by(self.sidecars.len() as u32))
    }

    fn sidecar_links(&self, bytes: fn(&Node) -> u64) -> u64 {
        self.sidecars.iter().chain(&self.dead).map(bytes).sum()
    }

    async fn start(
        &self,
        role: &str,
        name: &str,
        flags: &[&str],
        list: &List,
        backend_server: Option<Standin>,
    ) -> Result<Node, Fault> {
        let store = Relay::start(self.store.address()).await?;
        let list = Relay::start(list.address()).await?;
        let (store_url, list_url) = (url(&store), url(&list));
        let common = [
            ("--instance", name),
            ("--data-centre", DATA_CENTRE),
            ("--peer-listen", "127.0.0.1:0"),
            ("--admin-listen", "127.0.0.1:0"),
            ("--store", &store_url),
            ("--instance-list", &list_url),
        ];
        let common = common.into_iter().flat_map(|(flag, value)| [flag, value]);
        let arguments: Vec<String> = [role]
            .into_iter()
            .chain(common)
            .chain(flags.iter().copied())
            .map(str::to_owned)
            .collect();
        let process = Process::with_environment(name, "tamarackdaled", &arguments, ENVIRONMENT)?;
        let listener = process.wait_for_listener("peers", START_LIMIT)?;
        let callers = match role {
            "router" => Some(process.wait_for_listener("callers", START_LIMIT)?),
            _ => None,
        };
        let observed = match role {
            "sidecar" => Some(Relay::start(listener).await?),
            _ => None,
        };
        wait_until_ready(name, process.wait_for_listener("admin", START_LIMIT)?).await?;
        Ok(Node {
            name: name.to_owned(),
            process,
            callers,
            peers: Relay::start(listener).await?,
            observed,
            store,
            list,
            _backend_server: backend_server,
        })
    }

    fn enlist(&self, role: &str, node: &Node) {
        let service = match role {
            "sidecar" => self.service.clone(),
            _ => String::new(),
        };
        let seen = node.observed.as_ref().unwrap_or(&node.peers).address();
        self.observed_list.set(Instance {
            service: service.clone(),
            ..instance(role, &node.name, seen)
        });
        self.list.set(Instance {
            service,
            ..instance(role, &node.name, node.peers.address())
        });
    }
}

impl Node {
    /// What it has used, besides the store's calls.
    fn counters(&self, other_bytes: u64) -> Result<Counters, Fault> {
        Ok(Counters {
            processor: processor::time(self.process.id())?,
            memory_bytes: self.process.usage()?.memory_bytes,
            link_bytes: other_bytes + self.own_bytes(),
            ..Counters::default()
        })
    }

    /// Bytes on its links to the platform and from peers.
    fn own_bytes(&self) -> u64 {
        self.peer_bytes() + self.store.bytes() + self.list.bytes()
    }

    /// Bytes on the links from all peers but the observed router.
    fn peer_bytes(&self) -> u64 {
        self.peers.bytes()
    }

    /// Bytes on the link between it and the observed router.
    fn observed_bytes(&self) -> u64 {
        self.observed.as_ref().map_or(0, Relay::bytes)
    }
}

fn url(relay: &Relay) -> String {
    format!("http://{}", relay.address())
}

fn instance(role: &str, name: &str, address: SocketAddr) -> Instance {
    Instance {
        name: name.to_owned(),
        address,
        service: String::new(),
        role: role.to_owned(),
        data_centre: DATA_CENTRE.to_owned(),
        leaving: false,
    }
}
