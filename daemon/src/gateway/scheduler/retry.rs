//! A retry out of the shared retry budget.

use {super::Scheduler, std::sync::Arc};

/// A retry that returns to the budget unless it is spent.
pub struct Retry {
    scheduler: Arc<Scheduler>,
    service: String,
    is_spent: bool,
}

impl Retry {
    /// Takes a retry from this gateway's part of the budget, if there is one left.
    pub fn take(scheduler: &Arc<Scheduler>, service: &str) -> Option<Self> {
        scheduler.take_retry(service).then(|| Self {
            scheduler: Arc::clone(scheduler),
            service: service.to_owned(),
            is_spent: false,
        })
    }

    /// The request is sent.
    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        if !self.is_spent {
            self.scheduler.return_retry(&self.service);
        }
    }
}
