//! The processes' decisions, from their logs, and a check of their order.

use {
    serde_json::Value,
    std::{collections::HashMap, time::Duration},
};

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A router chose a sidecar.
    Routed,
    /// A sidecar dispatched the request.
    Dispatched,
    /// A sidecar gave the request up, as it could not meet its deadline.
    GivenUp,
    /// A sidecar shed the request, as it waited below the floor or had to make room.
    Shed,
    /// A router found no sidecar.
    NotRouted,
    /// A router gave the final answer that the request was not served.
    Refused,
}

/// One decision on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When, since the epoch.
    pub at: Duration,
    /// What.
    pub decision: Decision,
    /// Rank of the request's tier.
    pub rank: u8,
    /// The request, or its attempt where the process knows no more.
    pub subject: String,
    /// Reason of a refusal.
    pub reason: String,
}

/// All decisions of a trial, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The decisions.
    pub events: Vec<Event>,
    /// The request of each attempt.
    pub requests: HashMap<String, String>,
}

/// Time for which a floor surely holds after the last shed.
const HOLD: Duration = Duration::from_millis(480);

impl History {
    /// The history in the log lines of all processes.
    pub fn of<'a>(lines: impl IntoIterator<Item = &'a Value>) -> Self {
        let mut history = Self::default();
        for line in lines {
            history.take(line);
        }
        history.events.sort_by_key(|event| event.at);
        history
    }

    fn take(&mut self, line: &Value) {
        let Some(decision) = line["message"].as_str().and_then(decision) else {
            return;
        };
        let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
        let (request, attempt) = (text("request"), text("attempt"));
        if decision == Decision::Routed {
            self.requests.insert(attempt.clone(), request.clone());
        }
        self.events.push(Event {
            at: Duration::from_millis(line["time_ms"].as_u64().unwrap_or_default()),
            decision,
            rank: line["rank"].as_u64().unwrap_or_default() as u8,
            subject: if request.is_empty() { attempt } else { request },
            reason: text("reason"),
        });
    }

    /// Number of final refusals for overload.
    pub fn sheds(&self) -> usize {
        self.events.iter().filter(|event| is_shed(event)).count()
    }

    /// Requests that were started although a request of a higher tier was shed for
    /// overload at least `settling` and at most the floor's hold before.
    pub fn inversions(&self, settling: Duration) -> Vec<&Event> {
        let mut sheds: Vec<&Event> = Vec::new();
        let mut inversions = Vec::new();
        for event in &self.events {
            if is_shed(event) {
                sheds.push(event);
                continue;
            }
            sheds.retain(|shed| event.at < shed.at + HOLD);
            let is_inverted =
                |shed: &&Event| shed.rank < event.rank && event.at > shed.at + settling;
            if event.decision == Decision::Dispatched && sheds.iter().any(is_inverted) {
                inversions.push(event);
            }
        }
        inversions
    }
}

fn is_shed(event: &Event) -> bool {
    event.decision == Decision::Refused && matches!(event.reason.as_str(), "overload" | "full")
}

fn decision(message: &str) -> Option<Decision> {
    match message {
        "routed" => Some(Decision::Routed),
        "dispatched" => Some(Decision::Dispatched),
        "given up" => Some(Decision::GivenUp),
        "shed" => Some(Decision::Shed),
        "not routed" => Some(Decision::NotRouted),
        "refused" => Some(Decision::Refused),
        _ => None,
    }
}
