//! State that routers exchange many times a second, if they send to backend servers directly.

use {
    crate::{
        admission::Work,
        fleet::{Contribution, containment, statement},
        floor::Notice,
        poison,
        quota::Usage,
        rollout,
        wait_queue::Urgency,
    },
    std::{collections::HashMap, sync::Arc},
};

/// State of a router: all of it, or the changes since the last summary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Work at each backend server, sorted by identifier.
    pub entries: Vec<Contribution>,
    /// Usage of quotas.
    pub usages: Vec<Usage>,
    /// Whether the usage covers the whole quota window.
    pub is_complete: bool,
    /// Urgency of the most urgent waiting request, by service.
    pub waits: Vec<(String, Urgency)>,
    /// Most urgent rank that the router has shed recently, by service.
    pub floors: Vec<(String, Notice)>,
    /// What this router observed of requests that may crash backend servers, and whom it blames, oldest
    /// first.
    pub poison: Vec<Arc<poison::Notice>>,
    /// What backend servers have said of themselves to this router.
    pub statements: Vec<statement::Report>,
    /// Work started lately by organisation, by service; only of services for which requests wait.
    pub work: Vec<(String, Work)>,
    /// Failures of backend servers that this router observed.
    pub health: Vec<containment::Report>,
    /// Rollouts that the router knows.
    pub rollouts: Vec<rollout::Report>,
    /// Number of a peer's rollouts that were left out because they are out of range.
    pub invalid_rollouts: usize,
}

impl Summary {
    fn entry(&self, id: &str) -> Option<&Contribution> {
        let index = self
            .entries
            .binary_search_by(|entry| entry.id.as_str().cmp(id));
        self.entries.get(index.ok()?)
    }

    /// Whether there is nothing in it that a peer must hear of at once.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
            && self.usages.is_empty()
            && self.floors.is_empty()
            && self.poison.is_empty()
            && self.statements.is_empty()
            && self.health.is_empty()
            && self.rollouts.is_empty()
    }
}

/// Computes what has changed between the summaries sent to a group of peers.
#[derive(Debug, Default)]
pub struct ChangeTracker {
    previous: Summary,
    /// For each backend server, the number of measurements at which its speed was last sent.
    sent_speeds: HashMap<String, u64>,
}

impl ChangeTracker {
    /// Creates a tracker of a group that has received nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the changes since the last call, or `None` if there are none. With `with_speeds`,
    /// they include the speeds of the backend servers that were measured since these were last
    /// included.
    pub fn changes(&mut self, current: Summary, with_speeds: bool) -> Option<Summary> {
        let mut entries = Vec::new();
        for entry in &current.entries {
            let before = self.previous.entry(&entry.id);
            let has_changed = before.is_none_or(|before| before.load != entry.load);
            let sent = self.sent_speeds.get(&entry.id).copied().unwrap_or_default();
            let speed = entry
                .speed
                .filter(|_| with_speeds && entry.measurements != sent);
            if speed.is_some() {
                self.sent_speeds
                    .insert(entry.id.clone(), entry.measurements);
            }
            if has_changed || speed.is_some() {
                entries.push(Contribution {
                    speed,
                    ..entry.clone()
                });
            }
        }
        let before = |organisation: &str| {
            let mut usages = self.previous.usages.iter();
            usages.find(|usage| usage.organisation == organisation)
        };
        let usages = current.usages.iter();
        let usages = usages.filter(|usage| before(&usage.organisation) != Some(*usage));
        let poison = poison::news(&self.previous.poison, &current.poison).to_vec();
        let statements = current.statements.iter();
        let statements = statements.filter(|report| !self.previous.statements.contains(report));
        let health = current.health.iter();
        let health = health.filter(|report| !self.previous.health.contains(report));
        let changes = Summary {
            entries,
            usages: usages.cloned().collect(),
            is_complete: current.is_complete,
            waits: current.waits.clone(),
            floors: current.floors.clone(),
            poison,
            statements: statements.cloned().collect(),
            work: match self.previous.work == current.work {
                true => Vec::new(),
                false => current.work.clone(),
            },
            health: health.cloned().collect(),
            rollouts: rollout::report::changes(&self.previous.rollouts, &current.rollouts),
            invalid_rollouts: 0,
        };
        let is_unchanged =
            changes.is_empty() && changes.work.is_empty() && self.previous.waits == current.waits;
        if with_speeds {
            self.sent_speeds.retain(|id, _| current.entry(id).is_some());
        }
        self.previous = current;
        (!is_unchanged).then_some(changes)
    }

    /// A summary without changes, which shows a peer that this router is running.
    pub fn heartbeat(&self) -> Summary {
        Summary {
            is_complete: self.previous.is_complete,
            waits: self.previous.waits.clone(),
            floors: self.previous.floors.clone(),
            ..Summary::default()
        }
    }
}
