//! One sidecar of a system, with its backend server.

use {
    super::{
        BackendServer, Fault, Layout, Platform, START_LIMIT,
        router::{common_arguments, proxy},
    },
    crate::{
        engine::Engine,
        list::{Instance, List},
        plain::Plain,
        process::{self, Process},
        proxy::Proxy,
    },
    std::net::SocketAddr,
};

/// The stand-in of a backend server.
pub enum Standin {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Plain(Plain),
}

impl Standin {
    /// Address that it serves.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Plain(plain) => plain.address(),
        }
    }
}

/// A sidecar process and its backend server.
pub struct Sidecar {
    /// Name of the instance.
    pub name: String,
    /// Service that the backend server belongs to.
    pub service: String,
    /// The process.
    pub process: Process,
    /// Address for other processes of the system, behind its proxy if there is one.
    pub peers: SocketAddr,
    /// Address for metrics and probes.
    pub admin: SocketAddr,
    /// The proxy on the links from the routers, if the layout has proxies.
    pub peer_proxy: Option<Proxy>,
    /// The proxy on the link to the backend server, if the layout has proxies.
    pub backend_proxy: Option<Proxy>,
    /// The backend server.
    pub backend_server: Standin,
    arguments: Vec<String>,
    data_centre: String,
}

impl Sidecar {
    pub(crate) fn start(
        name: &str,
        service: &str,
        server: &BackendServer,
        layout: &Layout,
        platform: &Platform<'_>,
    ) -> Result<Self, Fault> {
        let backend_server = match server {
            BackendServer::Engine(model) => Standin::Engine(Engine::new(model.clone())?),
            BackendServer::Plain => Standin::Plain(Plain::new(service)?),
        };
        let target = backend_server.address();
        let backend_proxy = proxy(platform.proxied, target)?;
        let target = backend_proxy.as_ref().map_or(target, Proxy::address);
        let mut arguments = common_arguments("sidecar", name, layout, platform.store, platform);
        arguments.extend(["--service".into(), service.to_owned()]);
        arguments.extend(["--backend-server".into(), format!("http://{target}")]);
        arguments.extend(layout.sidecar_flags.iter().cloned());
        let process = Process::new(name, "tamarackdaled", &arguments)?;
        let listener = process.wait_for_listener("peers", START_LIMIT)?;
        let peer_proxy = proxy(platform.proxied, listener)?;
        let sidecar = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            peers: peer_proxy.as_ref().map_or(listener, Proxy::address),
            admin: process.wait_for_listener("admin", START_LIMIT)?,
            process,
            peer_proxy,
            backend_proxy,
            backend_server,
            arguments,
            data_centre: layout.data_centre.clone(),
        };
        platform.list.set(sidecar.instance(false));
        Ok(sidecar)
    }

    /// Ends the process at once; its proxy then refuses connections as the dead process does.
    ///
    /// # Errors
    ///
    /// Fails when the operating system refuses.
    pub fn kill(&mut self) -> Result<(), process::Fault> {
        self.process.kill()?;
        if let Some(proxy) = &self.peer_proxy {
            proxy.refuse(true);
            proxy.cut();
        }
        Ok(())
    }

    /// Starts the sidecar anew, after its process has ended; behind a proxy it keeps its address.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn restart(&mut self, list: &List) -> Result<(), process::Fault> {
        self.process = Process::new(&self.name, "tamarackdaled", &self.arguments)?;
        let listener = self.process.wait_for_listener("peers", START_LIMIT)?;
        self.admin = self.process.wait_for_listener("admin", START_LIMIT)?;
        match &self.peer_proxy {
            Some(proxy) => proxy.lead_to(listener),
            None => self.peers = listener,
        }
        list.set(self.instance(false));
        Ok(())
    }

    /// The engine.
    ///
    /// # Panics
    ///
    /// Panics when the backend server is a plain service.
    pub fn engine(&self) -> &Engine {
        match &self.backend_server {
            Standin::Engine(engine) => engine,
            Standin::Plain(_) => panic!("{} is before a plain service", self.name),
        }
    }

    /// The plain service.
    ///
    /// # Panics
    ///
    /// Panics when the backend server is an engine.
    pub fn plain(&self) -> &Plain {
        match &self.backend_server {
            Standin::Plain(plain) => plain,
            Standin::Engine(_) => panic!("{} is before an engine", self.name),
        }
    }

    /// The proxy on the links from the routers.
    ///
    /// # Panics
    ///
    /// Panics when the layout has no proxies.
    pub fn peer_link(&self) -> &Proxy {
        self.peer_proxy.as_ref().expect("the layout has proxies")
    }

    /// The proxy on the link to the backend server.
    ///
    /// # Panics
    ///
    /// Panics when the layout has no proxies.
    pub fn backend_link(&self) -> &Proxy {
        self.backend_proxy.as_ref().expect("the layout has proxies")
    }

    fn instance(&self, leaving: bool) -> Instance {
        Instance {
            name: self.name.clone(),
            address: self.peers,
            service: self.service.clone(),
            role: "sidecar".to_owned(),
            data_centre: self.data_centre.clone(),
            leaving,
        }
    }
}
