//! Parameters of the model: its parts, faults, safeguards and messages.

use {
    std::hash::{Hash, Hasher},
    tamarackdale_core::{
        attempt::Resumption,
        claim::{Action, Event},
        failure::Failure,
        id::{Attempt, Boot},
        time::Timestamp,
    },
};

/// A rule of the protocol that a test can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    GrantBeforeDispatch,
    OneGrant,
    VoidBeforeTakeover,
    BootId,
    Nonce,
    CompareAndSwap,
    Lifetime,
}

/// Parameters of an exploration.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    pub sidecars: usize,
    /// Maximum number of attempts of each router.
    pub offers: [usize; 2],
    pub claimed: bool,
    pub disabled: Option<Safeguard>,
    pub faults: Faults,
}

impl Model {
    pub fn has(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }
}

/// Number of faults of each kind that may still occur.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct Faults {
    pub restarts: u8,
    pub duplicates: u8,
    pub timeouts: u8,
    pub inquiries: u8,
    pub sheds: u8,
    pub sweeps: u8,
    pub aborts: u8,
    pub pauses: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    Enqueue {
        sidecar: usize,
        attempt: Attempt,
        boot: Boot,
    },
    Ready(Attempt),
    Failed(Attempt, Failure),
    Grant {
        sidecar: usize,
        attempt: Attempt,
        boot: Boot,
    },
    Granted(Attempt, Result<(), Failure>),
    Resume {
        sidecar: usize,
        attempt: Attempt,
        boot: Boot,
        router: usize,
        call: u8,
    },
    Resumed {
        router: usize,
        call: u8,
        resumption: Resumption,
    },
    Call {
        router: usize,
        call: u8,
        action: Action,
        sent: Timestamp,
    },
    Response {
        router: usize,
        call: u8,
        event: Event,
    },
}

/// Messages in flight, without an order.
#[derive(Clone, Debug, Default)]
pub struct Network(pub Vec<Message>);

impl Hash for Network {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let sum = self.0.iter().fold(0u64, |sum, message| {
            let mut hasher = FastHasher::default();
            message.hash(&mut hasher);
            sum.wrapping_add(hasher.finish())
        });
        state.write_u64(sum);
    }
}

/// A hasher that is fast in unoptimised builds.
#[derive(Default)]
pub struct FastHasher(u64);

impl Hasher for FastHasher {
    fn write(&mut self, bytes: &[u8]) {
        bytes
            .iter()
            .for_each(|byte| self.write_u64(u64::from(*byte)));
    }

    fn write_u64(&mut self, value: u64) {
        let mixed = (self.0.rotate_left(23) ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.0 = mixed ^ (mixed >> 32);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
