//! A site: one store, its configuration, and gateways.

use {
    super::Server,
    crate::{
        http,
        process::{self, Process},
        store::Store,
    },
    bytes::Bytes,
    hyper::Request,
    serde_json::{Value, json},
    std::{
        fs, io,
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        sync::atomic::{AtomicU32, Ordering},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::sleep,
};

/// Ports of a gateway; each has a loopback address of its own.
const CALLERS_PORT: u16 = 8_001;
const READINESS_PORT: u16 = 8_002;
const PEERS_PORT: u16 = 8_003;

/// Longest time for a gateway to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// How often a condition is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for an answer to a request of a test.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// The operator's configuration, to be changed and put again.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// What lies in the store.
    pub value: Value,
}

impl Default for Configuration {
    /// One engine service `engine` and one plain service `plain`; the organisation `o` has the key
    /// `key`. Routes: `/stream/`, `/resumable/`, `/booking/` and `/status/` on `site.example`.
    fn default() -> Self {
        let route = |name: &str, kind: &str, service: &str, attempts: u32, resumes: bool| {
            json!({
                "name": name, "host": "site.example", "prefix": format!("/{name}/"),
                "route_type": kind, "timeout_ms": 3000, "target_latency_ms": 400,
                "priority": 0, "service": service, "attempts": attempts, "anonymous": false,
                "stream_resume": resumes,
            })
        };
        let value = json!({
            "version": 1,
            "routes": [
                route("stream", "streaming", "engine", 1, false),
                route("resumable", "streaming", "engine", 3, true),
                route("booking", "non_idempotent", "plain", 2, false),
                route("status", "idempotent", "plain", 3, false),
            ],
            "services": [
                {"name": "engine", "health_check": "/health", "max_conns": 100,
                 "engine": {"slots": 8, "kv_capacity_tokens": 100_000, "stride": 1}},
                {"name": "plain", "health_check": "/health", "max_conns": 100},
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "o", "api_keys": ["key"], "priority": 1, "unit": "tokens",
                         "uncached_tokens": 1, "rate_per_s": 100_000, "burst": 100_000}],
        });
        Self { value }
    }
}

impl Configuration {
    /// The next version, with another value at a JSON pointer.
    pub fn with(mut self, pointer: &str, value: Value) -> Self {
        self.value["version"] = (self.value["version"].as_u64().unwrap_or_default() + 1).into();
        if let Some(place) = self.value.pointer_mut(pointer) {
            *place = value;
        }
        self
    }
}

/// A running site.
pub struct Site {
    /// Its store.
    pub store: Store,
    /// Where gateways reach the store.
    store_address: SocketAddr,
    /// Least number of gateways that coalesce their reads, if another than the default.
    coalesced_reads_from: Option<usize>,
    /// Functions that the settings of gateways call for.
    guarantees: Vec<&'static str>,
    folder: TempDir,
    memory_mb: u64,
    max_descriptors: usize,
}

/// A gateway of a site as a real process.
pub struct Gateway {
    /// The process.
    pub process: Process,
    /// Its settings file.
    pub settings: PathBuf,
    address: Ipv4Addr,
}

impl Site {
    /// Starts a store with a configuration.
    ///
    /// # Errors
    ///
    /// Fails when no port, thread or folder is available.
    pub fn new(configuration: &Configuration) -> io::Result<Self> {
        let store = Store::start()?;
        let site = Self {
            store_address: store.address(),
            store,
            coalesced_reads_from: None,
            guarantees: Vec::new(),
            folder: TempDir::new()?,
            memory_mb: 182,
            max_descriptors: 2_048,
        };
        site.configure(configuration);
        Ok(site)
    }

    /// Lets gateways that start from now on reach the store at another address, such as a proxy's.
    pub fn with_store_address(mut self, address: SocketAddr) -> Self {
        self.store_address = address;
        self
    }

    /// Lets gateways that start from now on coalesce their reads of the store from this number of connected
    /// gateways on.
    pub fn with_coalesced_reads_from(mut self, gateways: usize) -> Self {
        self.coalesced_reads_from = Some(gateways);
        self
    }

    /// Calls for a function in the settings of gateways that start from now on.
    pub fn with_guarantee(mut self, name: &'static str) -> Self {
        self.guarantees.push(name);
        self
    }

    /// Orders the rollout of a version of a service.
    pub fn order_rollout(&self, service: &str, to: &str, ramp_s: f64) {
        let order = json!({"service": service, "to": to, "ramp_s": ramp_s});
        self.put_rollout_order(service, &order);
    }

    /// Puts an order for a rollout as it is.
    pub fn put_rollout_order(&self, service: &str, order: &Value) {
        let key = format!("op/rollout/{service}");
        self.store.put(key, order.to_string().as_bytes());
    }

    /// The status of a rollout, if there is one.
    pub fn rollout_status(&self, service: &str) -> Option<Value> {
        let record = self.store.record(&format!("status/rollout/{service}"))?;
        serde_json::from_slice(&record.value).ok()
    }

    /// Sets the memory, in MB, and the file descriptors of gateways that start from now on.
    pub fn with_limits(mut self, memory_mb: u64, max_descriptors: usize) -> Self {
        self.memory_mb = memory_mb;
        self.max_descriptors = max_descriptors;
        self
    }

    /// Puts a configuration.
    pub fn configure(&self, configuration: &Configuration) {
        let text = configuration.value.to_string();
        self.store.put("op/config", text.as_bytes());
    }

    /// Registers a server as one that takes work.
    pub fn register(&self, server: &Server) {
        self.set_state(server, "ready");
    }

    /// Registers a server with a state.
    pub fn set_state(&self, server: &Server, state: &str) {
        let (key, value) = server.registration(state);
        self.store.put(&key, &value);
    }

    /// Starts a gateway in the data centre `a`, without waiting for it.
    ///
    /// # Errors
    ///
    /// Fails when the settings cannot be written or the binary is missing.
    pub fn gateway(&self, name: &str) -> Result<Gateway, process::Fault> {
        self.gateway_in(name, "a")
    }

    /// Starts a gateway in a data centre, without waiting for it.
    ///
    /// # Errors
    ///
    /// Fails when the settings cannot be written or the binary is missing.
    pub fn gateway_in(&self, name: &str, data_centre: &str) -> Result<Gateway, process::Fault> {
        self.gateway_at(name, data_centre, self.store_address)
    }

    /// Starts a gateway in a data centre that reaches the store at an address of its own, without waiting
    /// for it.
    ///
    /// # Errors
    ///
    /// Fails when the settings cannot be written or the binary is missing.
    pub fn gateway_at(
        &self,
        name: &str,
        data_centre: &str,
        store: SocketAddr,
    ) -> Result<Gateway, process::Fault> {
        let address = own_address();
        let settings = self.folder.path().join(format!("{name}.toml"));
        fs::write(&settings, self.settings(name, data_centre, address, store))?;
        Ok(Gateway {
            process: start(name, &settings)?,
            settings,
            address,
        })
    }

    /// Starts gateways in the data centre `a` and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Fails when one cannot be started or does not become ready.
    pub async fn ready_gateways(&self, count: usize) -> Result<Vec<Gateway>, process::Fault> {
        let gateways: Vec<Gateway> = (0..count)
            .map(|number| self.gateway(&format!("gateway-{number}")))
            .collect::<Result<_, _>>()?;
        for gateway in &gateways {
            if !gateway.wait_ready(true).await {
                let error = io::Error::other("a gateway does not become ready");
                return Err(error.into());
            }
        }
        Ok(gateways)
    }

    fn settings(
        &self,
        name: &str,
        data_centre: &str,
        address: Ipv4Addr,
        store: SocketAddr,
    ) -> String {
        let least = self.coalesced_reads_from;
        let least = least.map(|least| format!("coalesced_reads_from = {least}"));
        let least = least.unwrap_or_default();
        let guarantees = &self.guarantees;
        let (memory_mb, max_descriptors) = (self.memory_mb, self.max_descriptors);
        format!(
            r#"node_name = "{name}"
guarantees = {guarantees:?}
zone = "{data_centre}"
ip = "{address}"
port_range = [{PEERS_PORT}, {PEERS_PORT}]
bootstrap = true
[bind]
frontend = "{address}:{CALLERS_PORT}"
readiness = "{address}:{READINESS_PORT}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_descriptors}
[bounds]
grace_s = 6
converge_ms = 1000
drain_ms = 2000
revoke_ms = 3000
retry_budget = 0.2
budget_window_s = 10
retry_extra = 100
quota_window_s = 8
quota_overrun = 0.1
quota_slack = 1000
[platform_api]
address = "{store}"
{least}
"#
        )
    }
}

fn start(name: &str, settings: &Path) -> Result<Process, process::Fault> {
    let path = settings.to_string_lossy().into_owned();
    Process::with_environment(
        name,
        "tamarackdaled",
        &["gateway".to_owned()],
        &[("TAMARACKDALE_NODE_FILE", &path)],
    )
}

/// An address of this process's own in the loopback network.
fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    // Tests run as several processes at once, and each starts a few gateways.
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + (number % 200) as u8, high, low.max(2))
}

impl Gateway {
    /// Starts the process again, at the same addresses, after it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the binary is missing.
    pub fn restart(&mut self) -> Result<(), process::Fault> {
        let name = self.process.name().to_owned();
        // The whole site does not start for the first time any more.
        let text = fs::read_to_string(&self.settings)?;
        fs::write(
            &self.settings,
            text.replace("bootstrap = true", "bootstrap = false"),
        )?;
        self.process = start(&name, &self.settings)?;
        Ok(())
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.address.into(), CALLERS_PORT)
    }

    /// Where other gateways connect.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.address.into(), PEERS_PORT)
    }

    /// Waits until the gateway says that it is ready, or that it is not.
    pub async fn wait_ready(&self, expected: bool) -> bool {
        let start = Instant::now();
        while start.elapsed() < READY_LIMIT {
            if self.is_ready().await == expected {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Whether the gateway says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.address.into(), READINESS_PORT);
        let request = Request::get("/ready").body(Bytes::new());
        let request = request.expect("the request is well formed");
        let answer = http::call(address, request, Duration::from_secs(1)).await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a request with the key `key` and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the answer breaks off or does not come.
    pub async fn call(&self, path: &str, id: &str) -> Result<http::Answer, http::Fault> {
        http::call(self.callers(), request(path, id), CALL_LIMIT).await
    }
}

/// A caller's request; one to a stream states its tokens.
pub fn request(path: &str, id: &str) -> Request<Bytes> {
    let mut builder = Request::post(path)
        .header("host", "site.example")
        .header("attempt-id", id)
        .header("time-budget", "3000")
        .header("authorization", "Bearer key");
    if path.starts_with("/stream") || path.starts_with("/resumable") {
        builder = builder
            .header("token-usage", "50,20")
            .header("length-hint", "10");
    }
    let body = Bytes::from_static(b"a request's body");
    builder.body(body).expect("the request is well formed")
}
