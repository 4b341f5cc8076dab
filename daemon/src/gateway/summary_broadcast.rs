//! Broadcasts this gateway's summaries to the streams of its peers.

use {
    bytes::Bytes,
    std::sync::{Mutex, MutexGuard, PoisonError},
    tamarackdale_core::{cell::Scope, load_throttle::LoadThrottle},
    tamarackdale_wire::{
        codec,
        compact::{self, NameTable},
        summary::Frame as Message,
    },
    tokio::sync::broadcast,
};

/// Number of summaries that a slow reader may lag behind before it gets a full summary instead.
const CAPACITY: usize = 8;

/// Form in which a peer reads summaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// MessagePack, as gateways of the previous version read it.
    Former,
    /// That of [`tamarackdale_wire::compact`].
    Compact,
}

/// An encoded summary.
#[derive(Clone, Debug)]
pub struct Item {
    /// The summary with its length prefix.
    pub bytes: Bytes,
    /// Generation of the table of names to which it refers.
    pub generation: u64,
}

/// Senders of the summaries, one per group of peers.
#[derive(Default)]
pub struct SummaryBroadcast {
    near: Group,
    far: Group,
    far_loads: Mutex<LoadThrottle>,
}

/// A group of peers that get the same summaries.
struct Group {
    former: broadcast::Sender<Item>,
    compact: broadcast::Sender<Item>,
    names: Mutex<NameTable>,
}

impl Default for Group {
    fn default() -> Self {
        let (former, _) = broadcast::channel(CAPACITY);
        let (compact, _) = broadcast::channel(CAPACITY);
        Self {
            former,
            compact,
            names: Mutex::default(),
        }
    }
}

impl Group {
    fn sender(&self, form: Form) -> &broadcast::Sender<Item> {
        match form {
            Form::Former => &self.former,
            Form::Compact => &self.compact,
        }
    }

    fn names(&self) -> MutexGuard<'_, NameTable> {
        self.names.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SummaryBroadcast {
    /// Subscribes to the summaries for one group of peers.
    pub fn subscribe(&self, scope: Scope, form: Form) -> broadcast::Receiver<Item> {
        self.group(scope).sender(form).subscribe()
    }

    /// Whether any peer of the group is subscribed.
    pub fn has_subscribers(&self, scope: Scope) -> bool {
        let group = self.group(scope);
        group.former.receiver_count() + group.compact.receiver_count() > 0
    }

    /// Sends a summary of changes to one group of peers.
    pub fn send(&self, scope: Scope, message: &Message) -> Result<(), codec::Error> {
        let group = self.group(scope);
        for form in [Form::Former, Form::Compact] {
            let sender = group.sender(form);
            if sender.receiver_count() > 0 {
                let item = encode(group, form, message, compact::encode_changes)?;
                // Sending fails only if the last peer has left meanwhile.
                let _ = sender.send(item);
            }
        }
        Ok(())
    }

    /// Encodes a full summary for one peer of a group.
    pub fn full(&self, scope: Scope, form: Form, message: &Message) -> Result<Item, codec::Error> {
        encode(self.group(scope), form, message, compact::encode_full)
    }

    /// The loads that peers of other cells were told.
    pub fn far_loads(&self) -> MutexGuard<'_, LoadThrottle> {
        self.far_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn group(&self, scope: Scope) -> &Group {
        match scope {
            Scope::Near => &self.near,
            Scope::Far => &self.far,
        }
    }
}

/// Encodes a message in a form, or in the former one if it cannot be encoded in that.
fn encode(
    group: &Group,
    form: Form,
    message: &Message,
    encode_compact: impl Fn(&Message, &mut NameTable) -> Option<Bytes>,
) -> Result<Item, codec::Error> {
    let (payload, generation) = match form {
        Form::Former => (None, 0),
        Form::Compact => {
            let mut names = group.names();
            let payload = encode_compact(message, &mut names);
            (payload, names.generation())
        }
    };
    let bytes = match (payload, form) {
        (Some(payload), _) => codec::frame_item(payload)?,
        (None, Form::Compact) => codec::encode_item(message)?,
        (None, Form::Former) => codec::encode_item(&message.clone().without_extensions())?,
    };
    Ok(Item { bytes, generation })
}
