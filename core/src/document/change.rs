//! Dangerous differences between two versions of a document.

use {
    super::{Action, Document, Fencing},
    derive_more::Display,
};

/// A difference that can cause requests to be refused or an action to run twice.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Danger {
    /// A tier that organisations may use is removed.
    #[display("tier {tier} is removed while used by {}", organisations.join(", "))]
    TierRemoved {
        /// Name of the tier.
        tier: String,
        /// Organisations that may use it in the old version.
        organisations: Vec<String>,
    },
    /// Requests that must not run twice are no longer covered by an action.
    #[display("non-idempotent action {_0} is removed, so its requests may run twice")]
    ActionRemoved(Action),
    /// An organisation is removed, together with its keys.
    #[display("organisation {_0} is removed, so its requests are refused")]
    OrganisationRemoved(String),
    /// Backend servers are now expected to check fencing tokens.
    #[display("backend servers are now expected to obey fencing tokens")]
    FencingTrusted,
}

/// The dangerous differences between two versions of a document.
pub fn dangers(old: &Document, new: &Document) -> Vec<Danger> {
    let mut dangers = Vec::new();
    dangers.extend(removed_tiers(old, new));
    dangers.extend(removed_actions(old, new));
    dangers.extend(removed_organisations(old, new));
    if old.fencing == Fencing::Ignored && new.fencing == Fencing::Obeyed {
        dangers.push(Danger::FencingTrusted);
    }
    dangers
}

fn removed_tiers(old: &Document, new: &Document) -> impl Iterator<Item = Danger> {
    old.tiers
        .iter()
        .filter(|tier| new.tier(&tier.name).is_none())
        .filter_map(|tier| {
            let organisations: Vec<String> = old
                .organisations
                .iter()
                .filter(|organisation| organisation.may_use(&tier.name))
                .map(|organisation| organisation.name.clone())
                .collect();
            let is_used = !organisations.is_empty();
            is_used.then(|| Danger::TierRemoved {
                tier: tier.name.clone(),
                organisations,
            })
        })
}

fn removed_actions(old: &Document, new: &Document) -> impl Iterator<Item = Danger> {
    old.actions
        .iter()
        .filter(|action| !new.actions.iter().any(|other| other.covers(action)))
        .cloned()
        .map(Danger::ActionRemoved)
}

fn removed_organisations(old: &Document, new: &Document) -> impl Iterator<Item = Danger> {
    old.organisations
        .iter()
        .filter(|organisation| new.organisation(&organisation.name).is_none())
        .map(|organisation| Danger::OrganisationRemoved(organisation.name.clone()))
}
