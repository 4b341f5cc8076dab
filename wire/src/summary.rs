//! Summaries between routers that send to backend servers themselves.

use {
    serde::{Deserialize, Serialize},
    tamarackdale_core::{
        fleet::{Load, Speed},
        quota, summary,
        tier::Rank,
    },
};

/// What a router says when it subscribes to another's summaries.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Introduction {
    /// Where its own summaries are to be had, as IP address and port.
    pub address: String,
}

/// One summary as it travels.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Frame {
    /// Random number of the sender's start.
    pub boot: u64,
    /// Work by backend server.
    pub entries: Vec<Entry>,
    /// Use of quotas.
    pub usages: Vec<Usage>,
    /// Most urgent rank that was shed of late, by service.
    pub floors: Vec<(String, u8)>,
}

/// Work at one backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// Identifier of the backend server.
    pub id: String,
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens of requests without a first event.
    pub prompt: u32,
    /// Milliseconds for a token of output, for a token of prompt, to a first event beside that, and
    /// for a request.
    pub speed: Option<[Option<f32>; 4]>,
}

/// Use of one organisation's quota.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Usage {
    /// Name of the organisation.
    pub organisation: String,
    /// Units admitted since the sender's start.
    pub total: f64,
    /// Units that the sender knows to be admitted within the window.
    pub used: f64,
}

impl Frame {
    /// A summary of the process that started as `boot`.
    pub fn new(boot: u64, summary: &summary::Summary) -> Self {
        let floors = summary.floors.iter();
        Self {
            boot,
            entries: summary.entries.iter().map(Entry::from).collect(),
            usages: summary.usages.iter().map(Usage::from).collect(),
            floors: floors.map(|(name, rank)| (name.clone(), rank.0)).collect(),
        }
    }
}

impl From<Frame> for summary::Summary {
    fn from(frame: Frame) -> Self {
        let floors = frame.floors.into_iter();
        Self {
            entries: frame.entries.into_iter().map(Into::into).collect(),
            usages: frame.usages.into_iter().map(Into::into).collect(),
            floors: floors.map(|(name, rank)| (name, Rank(rank))).collect(),
        }
    }
}

impl From<&summary::Entry> for Entry {
    fn from(entry: &summary::Entry) -> Self {
        // Averages of noisy samples need no more precision.
        let short = |value: Option<f64>| value.map(|value| value as f32);
        Self {
            id: entry.id.clone(),
            requests: entry.load.requests,
            prompt: entry.load.prompt,
            speed: entry.speed.map(|speed| {
                [
                    short(speed.decode_ms),
                    short(speed.prefill_ms),
                    short(speed.overhead_ms),
                    short(speed.stay_ms),
                ]
            }),
        }
    }
}

impl From<Entry> for summary::Entry {
    fn from(entry: Entry) -> Self {
        let long = |value: Option<f32>| value.map(f64::from);
        Self {
            id: entry.id,
            load: Load {
                requests: entry.requests,
                prompt: entry.prompt,
            },
            speed: entry.speed.map(|[decode, prefill, overhead, stay]| Speed {
                decode_ms: long(decode),
                prefill_ms: long(prefill),
                overhead_ms: long(overhead),
                stay_ms: long(stay),
            }),
        }
    }
}

impl From<&quota::Usage> for Usage {
    fn from(usage: &quota::Usage) -> Self {
        Self {
            organisation: usage.organisation.clone(),
            total: usage.total,
            used: usage.used,
        }
    }
}

impl From<Usage> for quota::Usage {
    fn from(usage: Usage) -> Self {
        Self {
            organisation: usage.organisation,
            total: usage.total,
            used: usage.used,
        }
    }
}
