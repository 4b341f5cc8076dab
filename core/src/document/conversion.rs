//! Conversion of the validated source into a document.

use {
    super::{
        Action, Document, Fencing, Hash, Kind, Model, Organisation, Tier, source,
        tier::{DisconnectPolicy, LatePolicy},
    },
    std::{collections::HashMap, time::Duration},
    toml::Spanned,
};

/// Weight of an organisation without a configured one.
const DEFAULT_WEIGHT: u32 = 1;

impl From<source::Document> for Document {
    /// Converts a source that has passed [`super::validation`]; values out of range saturate.
    fn from(source: source::Document) -> Self {
        let document = Self {
            service: source.service.into_inner(),
            kind: source.kind.into_inner().into(),
            tiers: source.tiers.into_iter().map(Tier::from).collect(),
            organisations: source
                .organisations
                .into_iter()
                .map(Organisation::from)
                .collect(),
            actions: source.actions.into_iter().map(Action::from).collect(),
            fencing: source.backend_servers.fencing.into(),
            models: source.models.into_iter().map(Model::from).collect(),
            organisations_by_key: HashMap::new(),
        };
        document.with_key_index()
    }
}

impl From<source::Kind> for Kind {
    fn from(kind: source::Kind) -> Self {
        match kind {
            source::Kind::Model => Self::Model,
            source::Kind::Plain => Self::Plain,
        }
    }
}

impl From<source::Fencing> for Fencing {
    fn from(fencing: source::Fencing) -> Self {
        match fencing {
            source::Fencing::Obeyed => Self::Obeyed,
            source::Fencing::Ignored => Self::Ignored,
        }
    }
}

impl From<source::Late> for LatePolicy {
    fn from(late: source::Late) -> Self {
        match late {
            source::Late::Drop => Self::Drop,
            source::Late::Finish => Self::Finish,
        }
    }
}

impl From<source::Disconnect> for DisconnectPolicy {
    fn from(disconnect: source::Disconnect) -> Self {
        match disconnect {
            source::Disconnect::Cancel => Self::Cancel,
            source::Disconnect::Finish => Self::Finish,
        }
    }
}

impl From<source::Tier> for Tier {
    fn from(tier: source::Tier) -> Self {
        Self {
            name: tier.name.into_inner(),
            deadline: Duration::from_millis(count(&tier.deadline_ms).into()),
            late: tier.late.into(),
            disconnect: tier.disconnect.into(),
        }
    }
}

impl From<source::Organisation> for Organisation {
    fn from(organisation: source::Organisation) -> Self {
        Self {
            name: organisation.name.into_inner(),
            key_hashes: organisation
                .key_hashes
                .into_inner()
                .iter()
                .filter_map(|hash| hash.get_ref().parse::<Hash>().ok())
                .collect(),
            weight: organisation.weight.as_ref().map_or(DEFAULT_WEIGHT, count),
            tiers: organisation
                .tiers
                .into_inner()
                .into_iter()
                .map(Spanned::into_inner)
                .collect(),
            requests_per_second: organisation.requests_per_second.map(Spanned::into_inner),
            concurrent: organisation.concurrent.as_ref().map(count),
        }
    }
}

impl From<source::Action> for Action {
    fn from(action: source::Action) -> Self {
        Self {
            method: action.method.into_inner(),
            path: action.path.into_inner(),
        }
    }
}

impl From<source::Model> for Model {
    fn from(model: source::Model) -> Self {
        Self {
            name: model.name.into_inner(),
            replicas: count(&model.replicas),
        }
    }
}

fn count(number: &Spanned<i64>) -> u32 {
    u32::try_from(*number.get_ref()).unwrap_or(u32::MAX)
}
