//! Stand-in for a model engine.
//!
//! The model: an engine works in steps. A step generates one token for every request of the batch
//! whose prompt is computed, and computes a bounded chunk of the prompts that are not, first come
//! first served. A step takes a base time, plus a share for each decoding request, plus the
//! chunk's prefill time ([`Hardware::step_time`]), so that the rates that a request sees fall as
//! the batch grows. Requests enter the batch as they come while it has room, whatever their tier.
//! A prompt's leading blocks that the prefix cache holds are not computed again
//! ([`prompt::prefixes`]); the cache holds a bounded number of blocks and evicts the least
//! recently used.
//!
//! The interface is that of docs/ARCHITECTURE.md, and besides:
//!
//! - `GET /v1/load`: `{"waiting", "running", "cached_blocks"}` as of some time ago;
//! - `GET /v1/cache/events`: server-sent events `cache.stored` and `cache.evicted` with the prefix
//!   hash, late and with gaps in their `sequence_number`;
//! - `GET /v1/models`, `POST /v1/models/load` and `POST /v1/models/unload` with
//!   `{"model", "fence"}`.
//!
//! A run goes on when its stream's connection is lost; only a cancel ends it early. The text is
//! a function of the request ([`answer::text`]).

pub mod answer;
mod api;
mod batch;
mod cache;
mod hardware;
mod order;
pub mod prompt;
mod run;

pub use {
    hardware::Hardware,
    order::{Fencing, Order},
    run::{Outcome, Run},
};

use {
    crate::{host::Host, silence::Silence},
    batch::Batch,
    order::Registry,
    serde_json::{Value, json},
    std::{
        collections::VecDeque,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, Once,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep, sleep_until},
    },
};

/// Longest time that a step's end is made up for when the machine is late.
const MAX_LATENESS: Duration = Duration::from_millis(50);

/// How often the load is sampled.
const LOAD_INTERVAL: Duration = Duration::from_millis(10);

/// Whether a response can be continued on another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// By its identifier.
    Offered,
    /// Its identifier is known, and requests for it are refused.
    Refused,
    /// The events of a stream do not name it.
    Unnamed,
}

/// Properties of an engine.
#[derive(Clone, Debug)]
pub struct Model {
    /// Speed and memory.
    pub hardware: Hardware,
    /// Age of the load report.
    pub load_lag: Duration,
    /// Age at which cache events are published.
    pub cache_event_lag: Duration,
    /// Every how many cache events one is lost; 0 for none.
    pub cache_event_gap: u64,
    /// What it does with old fencing tokens.
    pub fencing: Fencing,
    /// Whether a response can be continued on another connection.
    pub resumption: Resumption,
    /// Time to load or unload a model.
    pub load_time: Duration,
    /// Models loaded at the start.
    pub models: Vec<String>,
}

impl Model {
    /// An engine of this hardware with the model `default` loaded.
    pub fn new(hardware: Hardware) -> Self {
        Self {
            hardware,
            load_lag: Duration::from_millis(500),
            cache_event_lag: Duration::from_millis(200),
            cache_event_gap: 16,
            fencing: Fencing::Obeyed,
            resumption: Resumption::Offered,
            load_time: Duration::from_millis(100),
            models: vec!["default".to_owned()],
        }
    }

    /// Sets the models loaded at the start.
    pub fn with_models(mut self, models: &[&str]) -> Self {
        self.models = models.iter().map(|model| (*model).to_owned()).collect();
        self
    }

    /// Sets what the engine does with old fencing tokens.
    pub fn with_fencing(mut self, fencing: Fencing) -> Self {
        self.fencing = fencing;
        self
    }

    /// Sets whether a response can be continued on another connection.
    pub fn with_resumption(mut self, resumption: Resumption) -> Self {
        self.resumption = resumption;
        self
    }

    /// Sets the age of the load report.
    pub fn with_load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets how late cache events are, and every how many of them one is lost.
    pub fn with_cache_events(mut self, lag: Duration, gap: u64) -> Self {
        self.cache_event_lag = lag;
        self.cache_event_gap = gap;
        self
    }
}

/// A running engine; stopped and joined on drop.
pub struct Engine {
    state: Arc<State>,
    host: Host,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port or thread is available.
    pub fn new(model: Model) -> io::Result<Self> {
        let state = Arc::new(State::new(model));
        let shared = Arc::clone(&state);
        let host = Host::new("engine", move |request| {
            let shared = Arc::clone(&shared);
            shared.spawn_tasks();
            async move {
                let silence = shared.silence.clone();
                let response = api::handle(shared, request).await;
                Some(silence.hold(response).await)
            }
        })?;
        Ok(Self { state, host })
    }

    /// Address that the engine serves.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Makes every step take `factor` times as long; 1 is the hardware's own speed.
    pub fn set_slow_factor(&self, factor: f64) {
        self.state
            .slow_factor
            .store(factor.to_bits(), Ordering::Relaxed);
    }

    /// Lets the engine write nothing for that long: no response, no event. It works all the while, and
    /// nothing is lost.
    pub fn fall_silent(&self, length: Duration) {
        self.state.silence.begin(length);
    }

    /// Records of all runs, in the order in which they were received.
    pub fn runs(&self) -> Vec<Run> {
        self.state.batch().records()
    }

    /// Orders received, oldest first.
    pub fn orders(&self) -> Vec<Order> {
        self.state.registry().orders()
    }
}

/// What the engine's server, batch and owner share.
pub(crate) struct State {
    model: Model,
    slow_factor: AtomicU64,
    silence: Silence,
    batch: Mutex<Batch>,
    registry: Mutex<Registry>,
    loads: Mutex<VecDeque<(Instant, Value)>>,
    arrived: Notify,
    tasks: Once,
}

impl State {
    fn new(model: Model) -> Self {
        Self {
            slow_factor: AtomicU64::new(1_f64.to_bits()),
            silence: Silence::default(),
            batch: Mutex::new(Batch::new(model.hardware)),
            registry: Mutex::new(Registry::new(model.fencing, &model.models)),
            loads: Mutex::new(VecDeque::new()),
            arrived: Notify::new(),
            tasks: Once::new(),
            model,
        }
    }

    /// Spawns the tasks of the engine when its first request comes.
    fn spawn_tasks(self: &Arc<Self>) {
        self.tasks.call_once(|| {
            tokio::spawn(work(Arc::clone(self)));
            tokio::spawn(sample(Arc::clone(self)));
        });
    }

    fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().expect("no holder of the lock panics")
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().expect("no holder of the lock panics")
    }

    fn loads(&self) -> MutexGuard<'_, VecDeque<(Instant, Value)>> {
        self.loads.lock().expect("no holder of the lock panics")
    }

    fn slow_factor(&self) -> f64 {
        f64::from_bits(self.slow_factor.load(Ordering::Relaxed))
    }

    fn load(&self) -> Value {
        let batch = self.batch();
        let (waiting, running) = batch.load();
        json!({ "waiting": waiting, "running": running, "cached_blocks": batch.cache.len() })
    }

    fn sample_load(&self) {
        let load = self.load();
        let mut loads = self.loads();
        loads.push_back((Instant::now(), load));
        // One sample older than the lag is enough for the report.
        while loads
            .get(1)
            .is_some_and(|(at, _)| at.elapsed() >= self.model.load_lag)
        {
            loads.pop_front();
        }
    }

    /// The newest sample that is older than the lag, or an idle engine's.
    fn reported_load(&self) -> Value {
        let idle = json!({ "waiting": 0, "running": 0, "cached_blocks": 0 });
        self.loads()
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= self.model.load_lag)
            .map_or(idle, |(_, load)| load.clone())
    }
}

/// Runs the batch, step after step.
async fn work(state: Arc<State>) {
    let mut due = Instant::now();
    loop {
        let planned = {
            let mut batch = state.batch();
            batch.plan().map(|step| (batch.step_time(&step), step))
        };
        let Some((time, step)) = planned else {
            state.arrived.notified().await;
            due = Instant::now();
            continue;
        };
        let earliest = Instant::now().checked_sub(MAX_LATENESS);
        due = earliest.map_or(due, |earliest| due.max(earliest));
        due += time.mul_f64(state.slow_factor());
        wait(due).await;
        state.batch().apply(step);
    }
}

/// Waits until `due`; lets other tasks run also when that has passed.
async fn wait(due: Instant) {
    if due > Instant::now() {
        sleep_until(due).await;
    } else {
        tokio::task::yield_now().await;
    }
}

/// Samples the load for the reports that lag.
async fn sample(state: Arc<State>) {
    loop {
        state.sample_load();
        sleep(LOAD_INTERVAL).await;
    }
}
