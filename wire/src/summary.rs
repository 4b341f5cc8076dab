//! Summaries exchanged by routers that send requests to backend servers directly.

use {
    crate::{health_report::HealthReport, poison::Poison, rollout::Report, statement::Statement},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc, time::Duration},
    tamarackdale_core::{
        admission,
        fleet::{self, Load, Speed},
        floor::Notice,
        quota, rollout, summary,
        tier::Rank,
        time::Timestamp,
        wait_queue::{Stage, Urgency},
    },
};

/// Request of a router that subscribes to the summaries of another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Introduction {
    /// IP address and port at which the subscriber serves its own summaries.
    pub address: String,
    /// Data centre of the subscriber. Empty from a router that does not state it.
    #[serde(default)]
    pub data_centre: String,
    /// Whether the subscriber reads the form of [`crate::compact`]. A router that does not state it gets
    /// the former one.
    #[serde(default)]
    pub reads_compact: bool,
}

/// Wire form of [`summary::Summary`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Frame {
    /// Random boot identifier of the sender.
    pub boot: u64,
    /// Work by backend server.
    pub entries: Vec<Entry>,
    /// Quota use by organisation.
    pub usages: Vec<Usage>,
    /// Whether the quota counts cover the whole window.
    pub is_complete: bool,
    /// Service, rank and stage of its most urgent waiting request.
    pub waits: Vec<(String, u8, u8)>,
    /// Service, its most urgent rank that was shed recently, and the milliseconds for which less
    /// urgent ranks are still refused.
    pub floors: Vec<(String, u8, u16)>,
    /// Observations of prompts' parts that may crash backend servers.
    #[serde(default)]
    pub poison: Vec<Poison>,
    /// Data centre of the sender; only in the first summary of a stream.
    #[serde(default)]
    pub data_centre: Option<String>,
    /// What backend servers have said of themselves to the sender.
    #[serde(default)]
    pub statements: Vec<Statement>,
    /// What only routers understand that have stated so: a longer array than expected is no valid message
    /// for others.
    #[serde(default, skip_serializing_if = "Extensions::is_empty")]
    pub extensions: Extensions,
}

/// Parts of a summary that routers of earlier versions do not know. A field that is added comes last.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Extensions {
    /// Failures of backend servers that the sender observed.
    #[serde(default)]
    pub health: Vec<HealthReport>,
    /// Work started lately.
    #[serde(default)]
    pub work: Vec<Work>,
    /// Rollouts that the sender knows.
    #[serde(default)]
    pub rollouts: Vec<Report>,
}

impl Extensions {
    /// Whether there is nothing in them.
    pub fn is_empty(&self) -> bool {
        self.health.is_empty() && self.work.is_empty() && self.rollouts.is_empty()
    }
}

/// Slot time of the work that the sender started for a service within the latest two seconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Work {
    /// Service.
    pub service: String,
    /// Slot time of all organisations, in seconds.
    pub total_s: f32,
    /// Hash of the name and slot time in seconds of those with the most.
    pub organisations: Vec<(u64, f32)>,
}

/// Quota use as it is saved in the store, so that it survives a restart of all routers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SavedQuotaUse {
    /// Units by organisation and age: the window is divided into equal parts, the newest first.
    pub used: HashMap<String, Vec<f64>>,
}

impl From<HashMap<String, quota::UsageHistory>> for SavedQuotaUse {
    fn from(used: HashMap<String, quota::UsageHistory>) -> Self {
        let used = used.into_iter();
        Self {
            used: used.map(|(name, history)| (name, history.0)).collect(),
        }
    }
}

impl From<SavedQuotaUse> for HashMap<String, quota::UsageHistory> {
    fn from(saved: SavedQuotaUse) -> Self {
        let used = saved.used.into_iter();
        used.map(|(name, parts)| (name, quota::UsageHistory(parts)))
            .filter(|(organisation, history)| {
                let is_valid = history.is_valid();
                if !is_valid {
                    log::warn!(
                        organisation = organisation.as_str();
                        "ignoring saved quota use that is no number of units"
                    );
                }
                is_valid
            })
            .collect()
    }
}

/// Work at one backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// Identifier of the backend server.
    pub id: String,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    pub prompt: u32,
    /// Milliseconds per output token, per prompt token, of overhead until the first event, and of
    /// occupancy per request.
    pub speed: Option<[Option<f32>; 4]>,
}

/// Quota use of one organisation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Usage {
    /// Name of the organisation.
    pub organisation: String,
    /// Units admitted since the sender started, and those of them whose requests did not run.
    pub totals: (f64, f64),
    /// Units that the sender knows to have been admitted within the window, by age; only in the
    /// first summary of a stream.
    pub known: Option<Vec<f64>>,
}

impl Frame {
    /// A frame without content.
    pub fn empty() -> Self {
        Self::new(0, &summary::Summary::default(), Timestamp::from_millis(0))
    }

    /// Converts a summary of the process with the boot identifier `boot`, at the time `now` of its
    /// clock.
    pub fn new(boot: u64, summary: &summary::Summary, now: Timestamp) -> Self {
        let waits = summary.waits.iter().map(|(service, urgency)| {
            let stage = stage_number(urgency.stage);
            (service.clone(), urgency.rank.0, stage)
        });
        let floors = summary.floors.iter().map(|(service, notice)| {
            let remaining_ms = u16::try_from(notice.remaining.as_millis()).unwrap_or(u16::MAX);
            (service.clone(), notice.rank.0, remaining_ms)
        });
        Self {
            boot,
            entries: summary.entries.iter().map(Entry::from).collect(),
            usages: summary.usages.iter().map(Usage::from).collect(),
            is_complete: summary.is_complete,
            waits: waits.collect(),
            floors: floors.collect(),
            poison: summary
                .poison
                .iter()
                .map(|notice| Poison::new(notice, now))
                .collect(),
            data_centre: None,
            statements: summary
                .statements
                .iter()
                .map(|report| Statement::new(report, now))
                .collect(),
            extensions: Extensions {
                health: summary
                    .health
                    .iter()
                    .map(|report| HealthReport::new(report, now))
                    .collect(),
                work: summary.work.iter().map(Work::from).collect(),
                rollouts: summary.rollouts.iter().map(Report::from).collect(),
            },
        }
    }

    /// Leaves out what only routers understand that have stated so.
    pub fn without_extensions(mut self) -> Self {
        self.extensions = Extensions::default();
        self
    }

    /// States the data centre of the sender.
    pub fn with_data_centre(mut self, data_centre: &str) -> Self {
        self.data_centre = Some(data_centre.to_owned());
        self
    }
}

impl Frame {
    /// The summary on the clock of the receiver, which received it at `now`.
    pub fn into_summary(self, now: Timestamp) -> summary::Summary {
        let frame = self;
        let waits = frame.waits.into_iter().map(|(service, rank, stage)| {
            let urgency = Urgency {
                rank: Rank(rank),
                stage: stage_from_number(stage),
            };
            (service, urgency)
        });
        let floors = frame.floors.into_iter();
        let floors = floors.map(|(service, number, remaining_ms)| {
            let notice = Notice {
                rank: Rank(number),
                remaining: Duration::from_millis(remaining_ms.into()),
            };
            (service, notice)
        });
        let usages = frame.usages.into_iter().map(quota::Usage::from);
        let poison = frame.poison.into_iter();
        let statements = frame.statements.into_iter();
        let health = frame.extensions.health.into_iter();
        let rollouts = frame.extensions.rollouts.into_iter();
        let rollouts: Vec<_> = rollouts.map(rollout::Report::try_from).collect();
        summary::Summary {
            entries: frame.entries.into_iter().map(Into::into).collect(),
            usages: usages.filter(is_valid).collect(),
            is_complete: frame.is_complete,
            waits: waits.collect(),
            floors: floors.collect(),
            poison: poison
                .filter_map(|observed| observed.into_notice(now))
                .map(Arc::new)
                .collect(),
            statements: statements
                .map(|statement| statement.into_report(now))
                .collect(),
            work: frame.extensions.work.into_iter().map(Into::into).collect(),
            health: health.map(|report| report.into_report(now)).collect(),
            invalid_rollouts: rollouts.iter().filter(|report| report.is_err()).count(),
            rollouts: rollouts.into_iter().flatten().collect(),
        }
    }
}

/// Whether a peer's use is one; if not, it is left out.
fn is_valid(usage: &quota::Usage) -> bool {
    let is_valid = usage.is_valid();
    if !is_valid {
        let organisation = usage.organisation.as_str();
        log::warn!(organisation; "ignoring a peer's quota use that is no number of units");
    }
    is_valid
}

fn stage_number(stage: Stage) -> u8 {
    match stage {
        Stage::OnTime => 0,
        Stage::Retry => 1,
        Stage::Late => 2,
        Stage::Resumed => 3,
    }
}

/// The stage with this number. An unknown number, which a newer router may send, counts as the last
/// stage.
fn stage_from_number(number: u8) -> Stage {
    match number {
        0 => Stage::OnTime,
        1 => Stage::Retry,
        3 => Stage::Resumed,
        _ => Stage::Late,
    }
}

impl From<&fleet::Contribution> for Entry {
    fn from(entry: &fleet::Contribution) -> Self {
        // The values are averages of noisy samples, so the precision of f32 is enough.
        let to_f32 = |value: Option<f64>| value.map(|value| value as f32);
        Self {
            id: entry.id.clone(),
            requests: entry.load.requests,
            prompt: entry.load.prompt_tokens,
            speed: entry.speed.map(|speed| {
                [
                    to_f32(speed.decode_ms),
                    to_f32(speed.prefill_ms),
                    to_f32(speed.overhead_ms),
                    to_f32(speed.occupancy_ms),
                ]
            }),
        }
    }
}

impl From<Entry> for fleet::Contribution {
    fn from(entry: Entry) -> Self {
        let to_f64 = |value: Option<f32>| value.map(f64::from);
        Self {
            id: entry.id,
            load: Load {
                requests: entry.requests,
                prompt_tokens: entry.prompt,
            },
            speed: entry
                .speed
                .map(|[decode, prefill, overhead, occupancy]| Speed {
                    decode_ms: to_f64(decode),
                    prefill_ms: to_f64(prefill),
                    overhead_ms: to_f64(overhead),
                    occupancy_ms: to_f64(occupancy),
                }),
            measurements: 0,
        }
    }
}

impl From<&(String, admission::Work)> for Work {
    fn from((service, work): &(String, admission::Work)) -> Self {
        let organisations = work.organisations.iter();
        Self {
            service: service.clone(),
            total_s: work.total_s as f32,
            organisations: organisations
                .map(|(organisation, slot_s)| (*organisation, *slot_s as f32))
                .collect(),
        }
    }
}

impl From<Work> for (String, admission::Work) {
    fn from(work: Work) -> Self {
        let organisations = work.organisations.into_iter();
        let organisations = organisations
            .map(|(organisation, slot_s)| (organisation, f64::from(slot_s)))
            .collect();
        let total_s = f64::from(work.total_s);
        (
            work.service,
            admission::Work {
                total_s,
                organisations,
            },
        )
    }
}

impl From<&quota::Usage> for Usage {
    fn from(usage: &quota::Usage) -> Self {
        Self {
            organisation: usage.organisation.clone(),
            totals: (usage.admitted, usage.refunded),
            known: usage.history.as_ref().map(|history| history.0.clone()),
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
