//! Kinds of requests by what they need of the store.

use {
    crate::{history::is_idempotent, load::Shot},
    derive_more::Display,
    hyper::Method,
    serde::Serialize,
    tamarackdale_core::document::{Document, example, tier::DisconnectPolicy},
};

/// Kind of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[display(rename_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An idempotent request to a model engine that needs nothing of the store.
    Question,
    /// An idempotent request to a model engine whose answer is kept for its caller: it is claimed
    /// if the store answers.
    Kept,
    /// An idempotent request to a plain service.
    Read,
    /// A non-idempotent request: it is claimed or not run.
    Booking,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Question, Self::Kept, Self::Read, Self::Booking];

    /// The kind of a request, by the example document of its service.
    pub fn of(shot: &Shot) -> Self {
        if !is_idempotent(shot) {
            return Self::Booking;
        }
        if shot.method == Method::GET {
            return Self::Read;
        }
        match goes_on_alone(shot) {
            true => Self::Kept,
            false => Self::Question,
        }
    }
}

fn goes_on_alone(shot: &Shot) -> bool {
    let mut examples = example::ALL.iter();
    let example = examples.find(|example| example.service == shot.service);
    let document = example.and_then(|example| Document::parse(example.text).ok());
    let tier = shot.tier.as_deref();
    document
        .as_ref()
        .and_then(|document| document.tier(tier?))
        .is_some_and(|(_, tier)| tier.disconnect == DisconnectPolicy::Finish)
}
