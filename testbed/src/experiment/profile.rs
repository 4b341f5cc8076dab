//! The two deployments that are emulated.

use {
    crate::{
        deployment::{Layout, Service},
        engine::Hardware,
    },
    std::time::Duration,
};

/// Bytes of text per token of the emulated engines.
const TOKEN_BYTES: f64 = 4.0;

/// Part of the shared prefixes that is taken to be computed anew.
const UNCACHED_PART: f64 = 0.5;

/// One tier's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Tier, the most urgent first.
    pub tier: &'static str,
    /// Deadline of the tier in the experiment.
    pub deadline: Duration,
    /// Part of all requests.
    pub frequency: f64,
    /// Bytes of the prefix that requests on one subject share.
    pub shared_bytes: usize,
    /// Number of subjects, the first the most frequent.
    pub subjects: u32,
    /// Median of the bytes of a request's own part.
    pub median_bytes: f64,
    /// Most bytes of a request's own part.
    pub max_bytes: f64,
    /// Median of the tokens of an answer.
    pub median_output: f64,
    /// Most tokens of an answer, which the slower engines can still generate in time.
    pub max_output: f64,
    /// API keys of the organisations that ask, each with its part of the tier's requests.
    pub callers: &'static [(&'static str, f64)],
}

/// A deployment: engines, tiers and traffic.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Name in results and plots.
    pub name: &'static str,
    /// Service asked.
    pub service: &'static str,
    /// Model asked.
    pub model: &'static str,
    /// Engines.
    pub hardware: Vec<Hardware>,
    /// Traffic, one class a tier.
    pub classes: Vec<Class>,
    /// Replacements in the service's document.
    edits: Vec<(&'static str, &'static str)>,
}

impl Profile {
    /// Twenty engines of two generations before joiners and carvers.
    pub fn slibehuset() -> Self {
        Self {
            name: "slibehuset",
            service: "slibe-llm",
            model: "sharpening",
            hardware: two_generations(20),
            classes: vec![
                Class {
                    tier: "site",
                    deadline: Duration::from_secs(4),
                    frequency: 0.5,
                    shared_bytes: 1_024,
                    subjects: 20,
                    median_bytes: 200.0,
                    max_bytes: 2_000.0,
                    median_output: 30.0,
                    max_output: 100.0,
                    callers: &[("joiner-example-key", 0.75), ("slibe-example-key", 0.25)],
                },
                Class {
                    tier: "workshop",
                    deadline: Duration::from_secs(8),
                    frequency: 0.35,
                    shared_bytes: 4_096,
                    subjects: 50,
                    median_bytes: 1_200.0,
                    max_bytes: 8_000.0,
                    median_output: 60.0,
                    max_output: 180.0,
                    callers: &[
                        ("carver-example-key", 0.6),
                        ("slibe-example-key", 0.25),
                        ("workshop-example-key", 0.15),
                    ],
                },
                Class {
                    tier: "assessment",
                    deadline: Duration::from_secs(20),
                    frequency: 0.15,
                    shared_bytes: 16_384,
                    subjects: 100,
                    median_bytes: 6_000.0,
                    max_bytes: 40_000.0,
                    median_output: 150.0,
                    max_output: 400.0,
                    callers: &[
                        ("restoration-example-key", 0.7),
                        ("carver-example-key", 0.3),
                    ],
                },
            ],
            edits: vec![
                ("deadline_ms = 8_000", "deadline_ms = 4_000"),
                ("deadline_ms = 30_000", "deadline_ms = 8_000"),
                ("deadline_ms = 180_000", "deadline_ms = 20_000"),
                ("requests_per_second = 50.0", "requests_per_second = 5000.0"),
                ("concurrent = 200", "concurrent = 20000"),
            ],
        }
    }

    /// Ten engines of two generations before residents and clerks.
    pub fn hsinchu() -> Self {
        Self {
            name: "hsinchu",
            service: "tamarack-pool",
            model: "roofs",
            hardware: two_generations(10),
            classes: vec![
                Class {
                    tier: "resident",
                    deadline: Duration::from_secs(4),
                    frequency: 0.55,
                    shared_bytes: 1_024,
                    subjects: 30,
                    median_bytes: 200.0,
                    max_bytes: 2_000.0,
                    median_output: 30.0,
                    max_output: 100.0,
                    callers: &[
                        ("resident-example-key", 0.8),
                        ("caretaker-example-key", 0.2),
                    ],
                },
                Class {
                    tier: "clerk",
                    deadline: Duration::from_secs(10),
                    frequency: 0.35,
                    shared_bytes: 4_096,
                    subjects: 60,
                    median_bytes: 4_000.0,
                    max_bytes: 16_000.0,
                    median_output: 90.0,
                    max_output: 240.0,
                    callers: &[("clerk-example-key", 0.7), ("snow-example-key", 0.3)],
                },
                Class {
                    tier: "archive",
                    deadline: Duration::from_secs(20),
                    frequency: 0.1,
                    shared_bytes: 16_384,
                    subjects: 60,
                    median_bytes: 8_000.0,
                    max_bytes: 40_000.0,
                    median_output: 120.0,
                    max_output: 400.0,
                    callers: &[("township-example-key", 1.0)],
                },
            ],
            edits: vec![
                ("deadline_ms = 6_000", "deadline_ms = 4_000"),
                ("deadline_ms = 60_000", "deadline_ms = 10_000"),
                ("deadline_ms = 300_000", "deadline_ms = 20_000"),
                ("concurrent = 20", "concurrent = 20000"),
            ],
        }
    }

    /// The profile of this name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "slibehuset" => Some(Self::slibehuset()),
            "hsinchu" => Some(Self::hsinchu()),
            _ => None,
        }
    }

    /// The processes of the deployment, with two routers.
    pub fn layout(&self) -> Layout {
        let service = match self.service {
            "slibe-llm" => Service::slibe_llm(&self.hardware),
            _ => Service::tamarack_pool(&self.hardware),
        };
        let layout = Layout::new(vec![service]);
        self.edits.iter().fold(layout, |layout, (from, to)| {
            layout.with_edit(self.service, from, to)
        })
    }

    /// Requests per second that keep all engines busy with full batches, if half of the shared
    /// prefixes are found cached.
    pub fn capacity(&self) -> f64 {
        self.hardware
            .iter()
            .map(|hardware| self.capacity_of(hardware))
            .sum()
    }

    fn capacity_of(&self, hardware: &Hardware) -> f64 {
        let batch = hardware.max_batch;
        let token_s = hardware.step_time(batch, 0).as_secs_f64() / batch as f64;
        let request_s = |class: &Class| {
            let bytes = class.shared_bytes as f64 * UNCACHED_PART + class.mean_bytes();
            let prefill_s = bytes / TOKEN_BYTES / hardware.prefill_rate;
            class.frequency * (prefill_s + class.mean_output() * token_s)
        };
        1.0 / self.classes.iter().map(request_s).sum::<f64>()
    }
}

impl Class {
    /// Spread of the sizes: a hundredfold between the first and the last hundredth.
    pub const SPREAD: f64 = 0.99;

    /// Mean of the bytes of a request's own part.
    pub fn mean_bytes(&self) -> f64 {
        self.median_bytes * Self::mean_factor()
    }

    /// Mean of the tokens of an answer.
    pub fn mean_output(&self) -> f64 {
        self.median_output * Self::mean_factor()
    }

    /// Ratio of mean and median of a log-normal distribution.
    fn mean_factor() -> f64 {
        (Self::SPREAD * Self::SPREAD / 2.0).exp()
    }
}

/// As many engines of the older generation as of the newer, in turn.
fn two_generations(count: usize) -> Vec<Hardware> {
    let older = Hardware::older().with_max_batch(8);
    let newer = Hardware::newer().with_max_batch(16);
    [older, newer].into_iter().cycle().take(count).collect()
}
