//! Time that grants take.

use {
    crate::sample::{self, Sample},
    serde::Serialize,
    serde_json::Value,
    std::time::Duration,
};

/// Waits for grants, by whether the request needed a claim.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// Waits of requests that needed none.
    pub unclaimed: Sample,
    /// Waits of requests that had to be claimed.
    pub claimed: Sample,
}

/// Quantiles of waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Of requests that needed no claim.
    pub unclaimed: sample::Quantiles,
    /// Of requests that had to be claimed.
    pub claimed: sample::Quantiles,
}

impl Waits {
    /// Quantiles of both.
    pub fn quantiles(&self) -> Quantiles {
        Quantiles {
            unclaimed: self.unclaimed.quantiles(),
            claimed: self.claimed.quantiles(),
        }
    }

    /// The waits in the log lines of sidecars.
    pub fn of<'a>(lines: impl IntoIterator<Item = &'a Value>) -> Self {
        let waits: Vec<(bool, Duration)> = lines.into_iter().filter_map(wait).collect();
        let of_kind = |claimed: bool| {
            let matching = waits.iter().filter(|(found, _)| *found == claimed);
            matching.map(|(_, wait)| *wait).collect()
        };
        Self {
            unclaimed: of_kind(false),
            claimed: of_kind(true),
        }
    }
}

fn wait(line: &Value) -> Option<(bool, Duration)> {
    if line["message"] != "dispatched" {
        return None;
    }
    let micros = line["grant_wait_us"].as_u64()?;
    Some((
        line["needs_claim"].as_bool()?,
        Duration::from_micros(micros),
    ))
}
