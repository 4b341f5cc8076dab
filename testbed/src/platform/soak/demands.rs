//! Backend servers that name a limit or crash at certain requests during a soak, and what gateways
//! owe them.

use {
    super::load::{DEADLY, DEADLY_KINDS, deadly_body},
    crate::platform::{CrashPoint, Server},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::time::{Duration, Instant},
};

/// Offset of the seed, so that the draws of the other faults stay the same for a seed.
const SEED_OFFSET: u64 = 2 << 32;

/// Servers that name a limit: one of each service. They leave by their registrations, not by a new
/// start, which would end the limit.
const LIMITED: [usize; 2] = [0, 1];

/// Limits that are named, in requests per second.
const LIMITS: std::ops::Range<f64> = 1.0..6.0;

/// Time from the first statement of a limit, or from the third crash, until gateways must heed it:
/// `stable_ms` of the platform.
const KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Window in which the requests at a limited server are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Crashes after which a request must be known.
const CRASHES: usize = 3;

/// Most times that a request may reach servers after that.
const MAX_LATER_RUNS: usize = 3;

/// Requests that a gateway which starts or wakes may send to a limited server before it is told: 22 a
/// second, for the 200 ms until the first answer or summary. The platform's rule excuses all of them.
const UNTOLD_REQUESTS: usize = 5;

/// What the servers demand in one soak.
pub(super) struct Demands {
    name_at: Duration,
    limits: [f64; 2],
    named: Option<Instant>,
}

impl Demands {
    pub(super) fn draw(seed: u64, length: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed + SEED_OFFSET);
        Self {
            name_at: length.mul_f64(random.random_range(0.02..0.2)),
            limits: LIMITED.map(|_| random.random_range(LIMITS)),
            named: None,
        }
    }

    /// Lets the servers crash at the deadly requests of the load.
    pub(super) fn arm(servers: &[Server]) {
        let points = [
            CrashPoint::BeforeHead,
            CrashPoint::AfterHead,
            CrashPoint::AfterFirstEvent,
        ];
        for (number, server) in servers.iter().enumerate() {
            server.set_deadly(DEADLY, points[number / 2 % points.len()]);
        }
    }

    /// Lets the limits be named when that is due, `elapsed` after the start of the soak, and describes
    /// them.
    pub(super) fn step(&mut self, servers: &[Server], elapsed: Duration) -> Option<String> {
        if self.named.is_some() || elapsed < self.name_at {
            return None;
        }
        for (number, limit) in LIMITED.into_iter().zip(self.limits) {
            servers[number].set_limit(Some(&limit.to_string()));
        }
        self.named = Some(Instant::now());
        Some(format!("limits {:?} named", self.limits))
    }

    /// Violations by the gateways, which were disturbed at `disturbed`.
    pub(super) fn check(&self, servers: &[Server], disturbed: &[Instant]) -> Vec<String> {
        let mut violations = Vec::new();
        if let Some(named) = self.named {
            for (number, limit) in LIMITED.into_iter().zip(self.limits) {
                let bound = named + KNOWN_AFTER;
                let excused = disturbed.iter().filter(|at| **at > bound - WINDOW).count();
                let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
                let allowed = allowed as usize + excused * UNTOLD_REQUESTS;
                let most = servers[number].most_arrivals(WINDOW, bound);
                if most > allowed {
                    let id = servers[number].id();
                    violations.push(format!(
                        "{id} got {most} requests in a window at a limit of {limit}, allowed {allowed}"
                    ));
                }
            }
        }
        let deadly = DEADLY_KINDS.iter();
        violations.extend(deadly.filter_map(|kind| check_deadly(servers, kind, disturbed)));
        violations
    }
}

fn check_deadly(servers: &[Server], kind: &str, disturbed: &[Instant]) -> Option<String> {
    let body = deadly_body(kind);
    let runs = servers.iter().flat_map(Server::runs);
    let mut runs: Vec<Instant> = runs
        .filter(|run| run.body == body)
        .map(|run| run.at)
        .collect();
    runs.sort();
    let known = *runs.get(CRASHES - 1)? + KNOWN_AFTER;
    let later = runs.iter().filter(|at| **at > known).count();
    // A gateway that starts or wakes may not have heard from its peers yet.
    let excused = disturbed.iter().filter(|at| **at > known - KNOWN_AFTER);
    let allowed = MAX_LATER_RUNS + excused.count();
    (later > allowed).then(|| {
        let all = runs.len();
        format!("{body} ran {all} times, {later} of them late, allowed {allowed}")
    })
}
