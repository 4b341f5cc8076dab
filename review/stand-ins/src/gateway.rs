//! Gateways: the project's own program, started as the deploy file says.

use {
    crate::{caller, lock, record::Record},
    std::{
        collections::BTreeMap,
        env, fs,
        io::{self, ErrorKind},
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::{
            Mutex,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Longest time for a gateway to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

const FRONTEND_PORT: u16 = 8_221;
const READINESS_PORT: u16 = 8_224;
const ADMIN_PORT: u16 = 8_229;

/// The signals that are sent.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Hangup = 1,
    Kill = 9,
    Terminate = 15,
    Continue = 18,
    Stop = 19,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one.
pub fn finish(code: i32) -> ! {
    for process in lock(&STARTED).drain(..) {
        send(process, Signal::Continue);
        send(process, Signal::Kill);
    }
    thread::sleep(Duration::from_millis(200));
    std::process::exit(code)
}

fn send(process: i32, signal: Signal) {
    // Only processes that this program has started and not waited for.
    unsafe { kill(process, signal as i32) };
}

/// The settings of a small deployment, as the pages show them, and the folder for its files.
pub struct Site {
    folder: PathBuf,
    store: SocketAddr,
    /// Values that replace those of the pages, by name.
    pub changes: BTreeMap<&'static str, String>,
}

/// A gateway process.
pub struct Gateway {
    child: Child,
    process: i32,
    address: Ipv4Addr,
    settings: PathBuf,
    name: String,
    record: Record,
}

impl Site {
    /// A site with its store. Files go into the folder that `FOLDER` names.
    pub fn new(store: SocketAddr) -> io::Result<Self> {
        let folder = env::var("FOLDER").map_err(|_| io::Error::other("FOLDER is not set"))?;
        Ok(Self {
            folder: PathBuf::from(folder),
            store,
            changes: BTreeMap::new(),
        })
    }

    /// Sets a value of the settings.
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.changes.insert(name, value.to_owned());
        self
    }

    /// Text of the settings file of the gateway at an address.
    pub fn settings(&self, name: &str, address: Ipv4Addr) -> String {
        let value = |name: &str, usual: &str| {
            let changed = self.changes.get(name).map(String::as_str);
            format!("{name} = {}\n", changed.unwrap_or(usual))
        };
        let bounds: String = BOUNDS
            .iter()
            .map(|(name, usual)| value(name, usual))
            .collect();
        let limits: String = LIMITS
            .iter()
            .map(|(name, usual)| value(name, usual))
            .collect();
        let store = self.store;
        format!(
            r#"node_name = "{name}"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "{address}"
zone = "vejle-a"
region = "dk-vest"
port_range = [7600,7615]
seeds = []
bootstrap = true
counts_for_quorum = false
discovery = "platform"
ingress = "vip"
heartbeat_ms = 1200
guarantees = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
vejle-a = "dk-vest"
[bind]
frontend = "{address}:{FRONTEND_PORT}"
readiness = "{address}:{READINESS_PORT}"
admin = "{address}:{ADMIN_PORT}"
[limits]
{limits}[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
{bounds}[platform_api]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        )
    }

    /// Starts a gateway on a loopback address of its own, without waiting for it.
    pub fn start(&self, name: &str, record: &Record) -> io::Result<Gateway> {
        let address = own_address();
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(name, address))?;
        let child = start(&settings, &self.folder.join(format!("{name}.log")))?;
        let process = child.id() as i32;
        lock(&STARTED).push(process);
        record.add(format!("{name} starts at {address}"));
        Ok(Gateway {
            child,
            process,
            address,
            settings,
            name: name.to_owned(),
            record: record.clone(),
        })
    }
}

/// Bounds of a small deployment.
const BOUNDS: [(&str, &str); 20] = [
    ("seed_lag_s", "3"),
    ("addr_reuse_s", "2"),
    ("stable_ms", "3000"),
    ("ack_ms", "4000"),
    ("sync_s", "4"),
    ("drain_ms", "2000"),
    ("grace_s", "8"),
    ("loss_slack_ms", "200"),
    ("converge_ms", "2000"),
    ("downgrade_ms", "250"),
    ("skew_max_ms", "5000"),
    ("strict_revoke", "true"),
    ("revoke_ms", "5000"),
    ("retry_budget", "0.2"),
    ("budget_window_s", "10"),
    ("retry_extra", "116"),
    ("quota_window_s", "8"),
    ("quota_overrun", "0.1"),
    ("quota_slack", "140000"),
    ("recovery_s", "12"),
];

/// Limits of a small machine.
const LIMITS: [(&str, &str); 6] = [
    ("cpu_quota", "0.13"),
    ("cpu_cores", "1"),
    ("memory_mb", "182"),
    ("max_fds", "2870"),
    ("link_mbps", "700.0"),
    ("disk_mb", "0"),
];

fn start(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/tamarackdaled");
    command
        .arg("gateway")
        .env_clear()
        .env("TAMARACKDALE_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = env::var(name) {
            command.env(name, value);
        }
    }
    command.spawn()
}

/// A loopback address that no other gateway has.
fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::SeqCst) as u8;
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + number % 100, high, low.clamp(2, 250))
}

impl Gateway {
    /// Where callers connect.
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(self.address.into(), FRONTEND_PORT)
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// The loopback address of the gateway.
    pub fn address(&self) -> Ipv4Addr {
        self.address
    }

    /// Replaces the settings file.
    pub fn write_settings(&self, text: &str) -> io::Result<()> {
        fs::write(&self.settings, text)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Instant {
        send(self.process, signal);
        self.record.add(format!("{} gets {signal:?}", self.name));
        Instant::now()
    }

    /// Whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.address.into(), READINESS_PORT);
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        caller::call(address, request, Duration::from_secs(1)).status() == 200
    }

    /// Waits until the gateway is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let start = Instant::now();
        while start.elapsed() < READY_LIMIT {
            if self.is_ready() {
                self.record.add(format!("{} is ready", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        let name = &self.name;
        Err(io::Error::new(
            ErrorKind::TimedOut,
            format!("{name} does not become ready"),
        ))
    }

    /// Starts the process again, at the same addresses, after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child.wait()?;
        lock(&STARTED).retain(|process| *process != self.process);
        let text = fs::read_to_string(&self.settings)?;
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, text)?;
        self.child = start(&self.settings, &self.settings.with_extension("log"))?;
        self.process = self.child.id() as i32;
        lock(&STARTED).push(self.process);
        self.record.add(format!("{} starts again", self.name));
        Ok(())
    }

    /// Most memory that the process has had so far, in kB.
    pub fn peak_memory_kb(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process))?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        number.ok_or(io::Error::other("the process has no memory any more"))
    }

    /// Whether the process has ended, and how.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten()?;
        lock(&STARTED).retain(|process| *process != self.process);
        Some(status)
    }
}

/// The operator's configuration: the plain service `app` on a route that may be repeated and one that may not, the
/// engines `llm` on a route of streams that may be resumed, and one tenant whose requests cost `unstated` tokens
/// where they state none.
pub fn configuration(version: u64, timeout_ms: u64, rate_per_s: u64, unstated: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u64| {
        let resumes = kind == "streaming";
        format!(
            r#"{{"name":"r-{name}","host":"site.example","prefix":"/{name}/","route_type":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":400,"priority":1,"service":"{service}","attempts":{attempts},"anonymous":false,"stream_resume":{resumes}}}"#
        )
    };
    let routes = [
        route("booking", "non_idempotent", "app", 1, timeout_ms),
        route("status", "idempotent", "app", 2, timeout_ms),
        route("advice", "streaming", "llm", 2, 12_000),
    ]
    .join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"app","health_check":"/health","max_conns":220,"protocol":"h1","tls":false}},{{"name":"llm","health_check":"/health","max_conns":740,"protocol":"h1","tls":false,"engine":{{"slots":10,"kv_capacity_tokens":629551,"stride":6,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant","api_keys":["key"],"priority":1,"unit":"tokens","uncached_tokens":{unstated},"rate_per_s":{rate_per_s},"burst":{rate_per_s}}}]}}"#
    )
}

/// Starts another stand-in of this package as a process.
pub fn start_stand_in(name: &str, arguments: &[&str]) -> io::Result<(Child, i32)> {
    let path = env::current_exe()?.with_file_name(name);
    let child = Command::new(path)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let process = child.id() as i32;
    lock(&STARTED).push(process);
    Ok((child, process))
}

/// Kills a stand-in that was started and waits for its end.
pub fn kill_stand_in(child: &mut Child, process: i32) -> io::Result<()> {
    send(process, Signal::Kill);
    child.wait()?;
    lock(&STARTED).retain(|known| *known != process);
    Ok(())
}

/// Runs a case for `limit` at most. It returns its verdict and whether the rule was broken. Writes the record and
/// ends this process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn run_case(limit: Duration, case: impl FnOnce(&Record) -> io::Result<(String, bool)>) -> ! {
    let record = Record::default();
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(limit);
        late.write("the case could not run: it took too long");
        finish(2);
    });
    match case(&record) {
        Ok((verdict, is_broken)) => {
            record.write(&verdict);
            finish(i32::from(is_broken))
        }
        Err(error) => {
            record.write(&format!("the case could not run: {error}"));
            finish(2)
        }
    }
}

/// Whether the run has its disruption: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}
