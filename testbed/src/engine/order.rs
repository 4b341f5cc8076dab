//! Orders to load and unload models.

use std::collections::BTreeSet;

/// What an engine does with an order whose fencing token is older than one it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// Refuses it.
    #[default]
    Obeyed,
    /// Carries it out all the same.
    Ignored,
}

/// An order that an engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The model.
    pub model: String,
    /// Whether the model was to be loaded, or unloaded.
    pub load: bool,
    /// Fencing token.
    pub fence: u64,
    /// Whether the engine carried it out.
    pub accepted: bool,
}

/// The models of one engine and the orders that changed them.
#[derive(Default)]
pub(crate) struct Registry {
    fencing: Fencing,
    highest_fence: u64,
    loaded: BTreeSet<String>,
    orders: Vec<Order>,
}

impl Registry {
    pub(crate) fn new(fencing: Fencing, models: &[String]) -> Self {
        Self {
            fencing,
            loaded: models.iter().cloned().collect(),
            ..Self::default()
        }
    }

    /// Whether requests for `model` are served.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.loaded.contains(model)
    }

    /// Models loaded.
    pub(crate) fn models(&self) -> Vec<String> {
        self.loaded.iter().cloned().collect()
    }

    /// Orders received, oldest first.
    pub(crate) fn orders(&self) -> Vec<Order> {
        self.orders.clone()
    }

    /// Judges an order by its fencing token and records it; whether it is to be carried out.
    pub(crate) fn receive(&mut self, model: &str, load: bool, fence: u64) -> bool {
        let stale = fence < self.highest_fence;
        let accepted = !stale || self.fencing == Fencing::Ignored;
        self.highest_fence = self.highest_fence.max(fence);
        self.orders.push(Order {
            model: model.to_owned(),
            load,
            fence,
            accepted,
        });
        accepted
    }

    /// Carries out an accepted order.
    pub(crate) fn carry_out(&mut self, model: &str, load: bool) {
        if load {
            self.loaded.insert(model.to_owned());
        } else {
            self.loaded.remove(model);
        }
    }
}
