//! What becomes of the requests at a sidecar that dies.

use {
    crate::load::Record,
    serde::Serialize,
    serde_json::Value,
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
    tamarackdale_core::verdict::Verdict,
};

/// Resolution of the times in logs.
const LOG_RESOLUTION: Duration = Duration::from_millis(1);

/// Death of a sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Death {
    /// Name of the instance.
    pub instance: String,
    /// When it was killed, since the epoch.
    pub at: Duration,
}

/// What became of the requests at sidecars that died.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Toll {
    /// Requests that waited there without a grant.
    pub waiting: u64,
    /// Of those, answered whole elsewhere within their deadline.
    pub saved_in_time: u64,
    /// Of those, answered whole elsewhere too late.
    pub saved_late: u64,
    /// Of those, refused as not run.
    pub refused: u64,
    /// Of those, ended without an answer or a proof.
    pub waiting_lost: u64,
    /// Requests that had a grant and got no whole answer: they may have run.
    pub granted_lost: u64,
}

impl Death {
    /// The toll of this death. `lines` are the routers' logs; the times of the records count from
    /// `start`, since the epoch.
    pub fn toll(&self, lines: &[Value], records: &[Record], start: Duration) -> Toll {
        let offered = self.offered(lines);
        let moved = self.moved(lines);
        let mut toll = Toll::default();
        for record in records
            .iter()
            .filter(|record| start + record.ended > self.at)
        {
            let key = record.key.as_deref().unwrap_or_default();
            let Some(attempt) = offered.get(&(record.service.as_str(), key)) else {
                continue;
            };
            if moved.contains(attempt) {
                toll.add_waiting(record);
            } else if is_lost(record) {
                toll.granted_lost += 1;
            }
        }
        toll
    }

    /// The last attempt of each request, by service and key, that was offered to the sidecar
    /// before it died.
    fn offered<'a>(&self, lines: &'a [Value]) -> HashMap<(&'a str, &'a str), &'a str> {
        let is_offer = |line: &&Value| line["message"] == "routed" && self.is_here(line);
        let offers = lines.iter().filter(is_offer);
        offers
            .filter(|line| logged_at(line) <= self.at)
            .filter_map(|line| {
                let request = request(line["request"].as_str()?)?;
                Some((request, line["attempt"].as_str()?))
            })
            .collect()
    }

    /// Attempts that were moved because the sidecar was gone.
    fn moved<'a>(&self, lines: &'a [Value]) -> HashSet<&'a str> {
        let is_move = |line: &&Value| {
            line["message"] == "moved" && line["reason"] == "connection-lost" && self.is_here(line)
        };
        let moves = lines.iter().filter(is_move);
        moves
            .filter(|line| logged_at(line) + LOG_RESOLUTION > self.at)
            .filter_map(|line| line["attempt"].as_str())
            .collect()
    }

    /// Whether a line names an incarnation of the sidecar.
    fn is_here(&self, line: &Value) -> bool {
        let incarnation = line["sidecar"].as_str().unwrap_or_default();
        let instance = incarnation.split_once('/');
        instance.is_some_and(|(instance, _)| instance == self.instance)
    }
}

impl Toll {
    /// Takes in another toll.
    pub fn add(&mut self, other: Self) {
        self.waiting += other.waiting;
        self.saved_in_time += other.saved_in_time;
        self.saved_late += other.saved_late;
        self.refused += other.refused;
        self.waiting_lost += other.waiting_lost;
        self.granted_lost += other.granted_lost;
    }

    fn add_waiting(&mut self, record: &Record) {
        self.waiting += 1;
        let counter = match (record.whole, record.verdict) {
            (true, _) if record.is_in_time() => &mut self.saved_in_time,
            (true, _) => &mut self.saved_late,
            (false, Some(Verdict::NotRun)) => &mut self.refused,
            (false, _) => &mut self.waiting_lost,
        };
        *counter += 1;
    }
}

fn is_lost(record: &Record) -> bool {
    !record.whole && record.verdict != Some(Verdict::NotRun)
}

fn logged_at(line: &Value) -> Duration {
    Duration::from_millis(line["time_ms"].as_u64().unwrap_or_default())
}

/// Service and key of a request's name, `service/organisation/key`.
fn request(name: &str) -> Option<(&str, &str)> {
    let (service, rest) = name.split_once('/')?;
    let (_, key) = rest.split_once('/')?;
    Some((service, key))
}
