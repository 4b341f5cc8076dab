//! What a system consists of.

use {
    crate::engine::{Hardware, Model},
    tamarackdale_core::document::example::{self, Example},
};

/// A backend server to start.
#[derive(Clone, Debug)]
pub enum BackendServer {
    /// A model engine.
    Engine(Model),
    /// A plain service.
    Plain,
}

/// A service with its document and backend servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: String,
    /// The document, TOML.
    pub document: String,
    /// Backend servers, each with a sidecar.
    pub backend_servers: Vec<BackendServer>,
}

/// The parts of a system.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of routers.
    pub routers: usize,
    /// Services.
    pub services: Vec<Service>,
    /// Whether the links between processes, and to the store, lead through fault proxies.
    pub proxied: bool,
    /// Name of the data centre.
    pub data_centre: String,
    /// Further flags of every router.
    pub router_flags: Vec<String>,
    /// Further flags of every sidecar.
    pub sidecar_flags: Vec<String>,
}

impl Service {
    /// A service of model engines with an example's document.
    pub fn of_engines(example: &Example, models: Vec<Model>) -> Self {
        Self {
            name: example.service.to_owned(),
            document: example.text.to_owned(),
            backend_servers: models.into_iter().map(BackendServer::Engine).collect(),
        }
    }

    /// A plain service with an example's document and `count` backend servers.
    pub fn of_plain(example: &Example, count: usize) -> Self {
        Self {
            name: example.service.to_owned(),
            document: example.text.to_owned(),
            backend_servers: vec![BackendServer::Plain; count],
        }
    }

    /// The sharpening assistant on engines of this hardware.
    pub fn slibe_llm(hardware: &[Hardware]) -> Self {
        Self::of_engines(&example::SLIBE_LLM, engines(hardware, "sharpening"))
    }

    /// The workshop's orders on `count` plain services.
    pub fn ordre_app(count: usize) -> Self {
        Self::of_plain(&example::ORDRE_APP, count)
    }

    /// The snow clearance assistant on engines of this hardware.
    pub fn tamarack_pool(hardware: &[Hardware]) -> Self {
        Self::of_engines(&example::TAMARACK_POOL, engines(hardware, "roofs"))
    }

    /// The crew dispatch on `count` plain services.
    pub fn dispatch_app(count: usize) -> Self {
        Self::of_plain(&example::DISPATCH_APP, count)
    }
}

impl Layout {
    /// Two routers before these services, without fault proxies.
    pub fn new(services: Vec<Service>) -> Self {
        Self {
            routers: 2,
            services,
            proxied: false,
            data_centre: "vejle-a".to_owned(),
            router_flags: Vec::new(),
            sidecar_flags: Vec::new(),
        }
    }

    /// Both operators' services at today's sizes, on engines of both generations, before three
    /// routers.
    pub fn of_today() -> Self {
        let unlike = |count| {
            let generations = [Hardware::older(), Hardware::newer()];
            let hardware = generations.into_iter().cycle().take(count);
            hardware.collect::<Vec<_>>()
        };
        let services = vec![
            Service::slibe_llm(&unlike(20)),
            Service::ordre_app(3),
            Service::tamarack_pool(&unlike(10)),
            Service::dispatch_app(3),
        ];
        Self::new(services).with_routers(3)
    }

    /// Sets the number of routers.
    pub fn with_routers(mut self, count: usize) -> Self {
        self.routers = count;
        self
    }

    /// Replaces a part of a service's document.
    ///
    /// # Panics
    ///
    /// Panics when the document has no such part.
    pub fn with_edit(mut self, service: &str, from: &str, to: &str) -> Self {
        let found = self.services.iter_mut().find(|found| found.name == service);
        let found = found.expect("the layout has the service");
        assert!(
            found.document.contains(from),
            "{from:?} is not in the document"
        );
        found.document = found.document.replace(from, to);
        self
    }

    /// Puts fault proxies on the links.
    pub fn with_proxies(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Adds flags to every sidecar.
    pub fn with_sidecar_flags(mut self, flags: &[&str]) -> Self {
        self.sidecar_flags
            .extend(flags.iter().map(|flag| (*flag).to_owned()));
        self
    }

    /// Adds flags to every router.
    pub fn with_router_flags(mut self, flags: &[&str]) -> Self {
        self.router_flags
            .extend(flags.iter().map(|flag| (*flag).to_owned()));
        self
    }

    /// Names of the services, separated by commas.
    pub(crate) fn service_names(&self) -> String {
        let names: Vec<&str> = self
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        names.join(",")
    }
}

fn engines(hardware: &[Hardware], model: &str) -> Vec<Model> {
    hardware
        .iter()
        .map(|hardware| Model::new(*hardware).with_models(&[model]))
        .collect()
}
