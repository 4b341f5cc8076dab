//! Summaries between routers that send to backend servers themselves.

use {
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
    tamarackdale_core::{
        fleet::{Load, Speed},
        quota, summary,
        tier::Rank,
        wait_queue::{Stage, Urgency},
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
    /// Whether the counts of quotas cover the whole window.
    pub is_complete: bool,
    /// Rank and stage of the most urgent request that waits, by service.
    pub waits: Vec<(String, u8, u8)>,
    /// Most urgent rank that was shed of late, by service.
    pub floors: Vec<(String, u8)>,
}

/// Use of quotas as it is kept in the store over a start of all routers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Kept {
    /// Units by organisation and age; the window in equal parts, the newest first.
    pub used: HashMap<String, Vec<f64>>,
}

impl From<HashMap<String, quota::UsageHistory>> for Kept {
    fn from(used: HashMap<String, quota::UsageHistory>) -> Self {
        let used = used.into_iter();
        Self {
            used: used.map(|(name, kept)| (name, kept.0)).collect(),
        }
    }
}

impl From<Kept> for HashMap<String, quota::UsageHistory> {
    fn from(kept: Kept) -> Self {
        let used = kept.used.into_iter();
        used.map(|(name, parts)| (name, quota::UsageHistory(parts)))
            .collect()
    }
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
    /// Units admitted since the sender's start, and those of them whose requests did not run.
    pub totals: (f64, f64),
    /// Units that the sender knows to be admitted within the window, by age; only at first.
    pub known: Option<Vec<f64>>,
}

impl Frame {
    /// A summary of the process that started as `boot`.
    pub fn new(boot: u64, summary: &summary::Summary) -> Self {
        let waits = summary.waits.iter().map(|(service, urgency)| {
            let stage = stage_number(urgency.stage);
            (service.clone(), urgency.rank.0, stage)
        });
        let floors = summary.floors.iter();
        Self {
            boot,
            entries: summary.entries.iter().map(Entry::from).collect(),
            usages: summary.usages.iter().map(Usage::from).collect(),
            is_complete: summary.is_complete,
            waits: waits.collect(),
            floors: floors
                .map(|(service, rank)| (service.clone(), rank.0))
                .collect(),
        }
    }
}

impl From<Frame> for summary::Summary {
    fn from(frame: Frame) -> Self {
        let waits = frame.waits.into_iter().map(|(service, rank, stage)| {
            let urgency = Urgency {
                rank: Rank(rank),
                stage: stage_of(stage),
            };
            (service, urgency)
        });
        let floors = frame.floors.into_iter();
        Self {
            entries: frame.entries.into_iter().map(Into::into).collect(),
            usages: frame.usages.into_iter().map(Into::into).collect(),
            is_complete: frame.is_complete,
            waits: waits.collect(),
            floors: floors
                .map(|(service, number)| (service, Rank(number)))
                .collect(),
        }
    }
}

fn stage_number(stage: Stage) -> u8 {
    match stage {
        Stage::OnTime => 0,
        Stage::Retry => 1,
        Stage::Late => 2,
    }
}

/// The stage with this number; one that a newer router may send counts as the last.
fn stage_of(number: u8) -> Stage {
    match number {
        0 => Stage::OnTime,
        1 => Stage::Retry,
        _ => Stage::Late,
    }
}

impl From<&summary::Entry> for Entry {
    fn from(entry: &summary::Entry) -> Self {
        // Averages of noisy samples need no more precision.
        let short = |value: Option<f64>| value.map(|value| value as f32);
        Self {
            id: entry.id.clone(),
            requests: entry.load.requests,
            prompt: entry.load.prompt_tokens,
            speed: entry.speed.map(|speed| {
                [
                    short(speed.decode_ms),
                    short(speed.prefill_ms),
                    short(speed.overhead_ms),
                    short(speed.occupancy_ms),
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
                prompt_tokens: entry.prompt,
            },
            speed: entry.speed.map(|[decode, prefill, overhead, stay]| Speed {
                decode_ms: long(decode),
                prefill_ms: long(prefill),
                overhead_ms: long(overhead),
                occupancy_ms: long(stay),
            }),
        }
    }
}

impl From<&quota::Usage> for Usage {
    fn from(usage: &quota::Usage) -> Self {
        Self {
            organisation: usage.organisation.clone(),
            totals: (usage.admitted, usage.refunded),
            known: usage.history.as_ref().map(|known| known.0.clone()),
        }
    }
}

impl From<Usage> for quota::Usage {
    fn from(usage: Usage) -> Self {
        Self {
            organisation: usage.organisation,
            admitted: usage.totals.0,
            refunded: usage.totals.1,
            history: usage.known.map(quota::UsageHistory),
        }
    }
}
