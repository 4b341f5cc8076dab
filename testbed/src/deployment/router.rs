//! One router of a system.

use {
    super::{Fault, Layout, Platform, START_LIMIT},
    crate::{
        list::{Instance, List},
        process::{self, Process},
        proxy::Proxy,
    },
    std::net::SocketAddr,
};

/// A router process.
pub struct Router {
    /// Name of the instance.
    pub name: String,
    /// The process.
    pub process: Process,
    /// Address for callers, behind its proxy if there is one.
    pub callers: SocketAddr,
    /// Address for other processes of the system.
    pub peers: SocketAddr,
    /// Address for metrics and probes.
    pub admin: SocketAddr,
    /// The proxy on the links from callers, if the layout has proxies.
    pub entry_proxy: Option<Proxy>,
    /// The proxy on its link to the store, if the layout has proxies.
    pub store_proxy: Option<Proxy>,
    arguments: Vec<String>,
    data_centre: String,
}

impl Router {
    pub(crate) fn start(
        name: &str,
        layout: &Layout,
        platform: &Platform<'_>,
    ) -> Result<Self, Fault> {
        let store_proxy = proxy(platform.proxied, platform.store)?;
        let store = store_proxy.as_ref().map_or(platform.store, Proxy::address);
        let mut arguments = common_arguments("router", name, layout, store, platform);
        arguments.extend(["--listen".into(), "127.0.0.1:0".into()]);
        arguments.extend(["--services".into(), layout.service_names()]);
        arguments.extend(layout.router_flags.iter().cloned());
        let process = Process::new(name, "tamarackdaled", &arguments)?;
        let listener = process.wait_for_listener("callers", START_LIMIT)?;
        let entry_proxy = proxy(platform.proxied, listener)?;
        let router = Self {
            name: name.to_owned(),
            callers: entry_proxy.as_ref().map_or(listener, Proxy::address),
            peers: process.wait_for_listener("peers", START_LIMIT)?,
            admin: process.wait_for_listener("admin", START_LIMIT)?,
            process,
            entry_proxy,
            store_proxy,
            arguments,
            data_centre: layout.data_centre.clone(),
        };
        platform.list.set(router.instance());
        Ok(router)
    }

    /// Ends the process at once; its proxy then refuses connections as the dead process does.
    ///
    /// # Errors
    ///
    /// Fails when the operating system refuses.
    pub fn kill(&mut self) -> Result<(), process::Fault> {
        self.process.kill()?;
        if let Some(proxy) = &self.entry_proxy {
            proxy.refuse(true);
            proxy.cut();
        }
        Ok(())
    }

    /// Starts the router anew, after its process has ended; behind a proxy it keeps its address
    /// for callers.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn restart(&mut self, list: &List) -> Result<(), process::Fault> {
        self.process = Process::new(&self.name, "tamarackdaled", &self.arguments)?;
        let listener = self.process.wait_for_listener("callers", START_LIMIT)?;
        match &self.entry_proxy {
            Some(proxy) => proxy.lead_to(listener),
            None => self.callers = listener,
        }
        self.peers = self.process.wait_for_listener("peers", START_LIMIT)?;
        self.admin = self.process.wait_for_listener("admin", START_LIMIT)?;
        list.set(self.instance());
        Ok(())
    }

    fn instance(&self) -> Instance {
        Instance {
            name: self.name.clone(),
            address: self.peers,
            service: String::new(),
            role: "router".to_owned(),
            data_centre: self.data_centre.clone(),
            leaving: false,
        }
    }
}

/// Arguments that both roles have.
pub(crate) fn common_arguments(
    role: &str,
    name: &str,
    layout: &Layout,
    store: SocketAddr,
    platform: &Platform<'_>,
) -> Vec<String> {
    let flags = [
        ("--instance", name.to_owned()),
        ("--data-centre", layout.data_centre.clone()),
        ("--peer-listen", "127.0.0.1:0".to_owned()),
        ("--admin-listen", "127.0.0.1:0".to_owned()),
        ("--store", format!("http://{store}")),
        ("--instance-list", platform.list.url()),
    ];
    let mut arguments = vec![role.to_owned()];
    for (flag, value) in flags {
        arguments.extend([flag.to_owned(), value]);
    }
    arguments
}

/// A proxy before `target`, if there are to be any.
pub(crate) fn proxy(proxied: bool, target: SocketAddr) -> Result<Option<Proxy>, Fault> {
    if !proxied {
        return Ok(None);
    }
    Ok(Some(Proxy::new(target)?))
}
