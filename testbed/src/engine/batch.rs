//! Continuous batching.

use {
    super::{
        cache::Cache,
        hardware::Hardware,
        prompt::BLOCK_TOKENS,
        run::{Live, Outcome, Progress, Run},
    },
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// A request as it reaches the batch.
pub(crate) struct Submission {
    pub(crate) marker: Option<String>,
    pub(crate) model: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) prefixes: Vec<u64>,
    pub(crate) output_tokens: u32,
    pub(crate) seed: u64,
}

/// All runs of one engine: those waiting for a place, those in the batch, those that ended.
pub(crate) struct Batch {
    hardware: Hardware,
    start: Instant,
    runs: Vec<Live>,
    by_id: HashMap<String, usize>,
    waiting: VecDeque<usize>,
    running: Vec<usize>,
    pub(crate) cache: Cache,
}

/// Work of one step of the batch.
pub(crate) struct Step {
    decode: Vec<usize>,
    prefill: Vec<(usize, u32)>,
}

impl Batch {
    pub(crate) fn new(hardware: Hardware) -> Self {
        Self {
            hardware,
            start: Instant::now(),
            runs: Vec::new(),
            by_id: HashMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: Cache::new(hardware.cache_blocks),
        }
    }

    /// Takes a request in, behind those that wait.
    pub(crate) fn submit(&mut self, submission: Submission) -> &Live {
        let index = self.runs.len();
        let record = Run {
            id: format!("resp_{index}"),
            marker: submission.marker,
            received: self.start.elapsed(),
            started: None,
            ended: None,
            prompt_tokens: submission.prompt_tokens,
            cached_tokens: 0,
            prefilled_tokens: 0,
            output_tokens: submission.output_tokens,
            decoded_tokens: 0,
            outcome: Outcome::Queued,
        };
        let progress = watch::Sender::new(Progress {
            decoded_tokens: 0,
            outcome: Outcome::Queued,
        });
        self.by_id.insert(record.id.clone(), index);
        self.waiting.push_back(index);
        self.runs.push(Live {
            record,
            model: submission.model,
            prefixes: submission.prefixes,
            seed: submission.seed,
            progress,
        });
        &self.runs[index]
    }

    /// The run with this identifier.
    pub(crate) fn find(&self, id: &str) -> Option<&Live> {
        self.by_id.get(id).map(|index| &self.runs[*index])
    }

    /// Cancels a run that has not ended; whether there is such a run at all.
    pub(crate) fn cancel(&mut self, id: &str) -> bool {
        let Some(&index) = self.by_id.get(id) else {
            return false;
        };
        if !self.runs[index].record.outcome.is_over() {
            self.end(index, Outcome::Cancelled);
        }
        true
    }

    /// Records of all runs, oldest first.
    pub(crate) fn records(&self) -> Vec<Run> {
        self.runs.iter().map(|run| run.record.clone()).collect()
    }

    /// Requests outside and inside the batch.
    pub(crate) fn load(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }

    /// Admits what fits and plans the next step, or `None` when there is nothing to do.
    pub(crate) fn plan(&mut self) -> Option<Step> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut budget = self.hardware.prefill_chunk;
        let mut step = Step {
            decode: Vec::new(),
            prefill: Vec::new(),
        };
        for &index in &self.running {
            let run = &self.runs[index];
            if run.is_prefilled() {
                step.decode.push(index);
                continue;
            }
            let record = &run.record;
            let left = record.prompt_tokens - record.cached_tokens - record.prefilled_tokens;
            let chunk = left.min(budget);
            budget -= chunk;
            if chunk > 0 {
                step.prefill.push((index, chunk));
            }
        }
        Some(step)
    }

    /// Time that a step takes at full speed.
    pub(crate) fn step_time(&self, step: &Step) -> Duration {
        let prefill_tokens = step.prefill.iter().map(|(_, chunk)| chunk).sum();
        self.hardware.step_time(step.decode.len(), prefill_tokens)
    }

    /// Applies a step once its time has passed; runs cancelled meanwhile are left alone.
    pub(crate) fn apply(&mut self, step: Step) {
        for (index, chunk) in step.prefill {
            self.prefill(index, chunk);
        }
        for index in step.decode {
            self.decode(index);
        }
    }

    fn admit(&mut self) {
        while self.running.len() < self.hardware.max_batch {
            let Some(index) = self.waiting.pop_front() else {
                return;
            };
            let run = &mut self.runs[index];
            let held = self.cache.hit(&run.prefixes) as u32 * BLOCK_TOKENS;
            // The last prompt token is always computed: it yields the first token of the answer.
            run.record.cached_tokens = held.min(run.record.prompt_tokens.saturating_sub(1));
            run.record.started = Some(self.start.elapsed());
            run.record.outcome = Outcome::Running;
            run.publish();
            self.running.push(index);
        }
    }

    fn prefill(&mut self, index: usize, chunk: u32) {
        let run = &mut self.runs[index];
        if run.record.outcome.is_over() {
            return;
        }
        run.record.prefilled_tokens += chunk;
        if run.is_prefilled() {
            self.cache.store(&run.prefixes);
        }
    }

    fn decode(&mut self, index: usize) {
        let run = &mut self.runs[index];
        if run.record.outcome.is_over() {
            return;
        }
        if run.record.decoded_tokens < run.record.output_tokens {
            run.record.decoded_tokens += 1;
        }
        if run.record.decoded_tokens == run.record.output_tokens {
            self.end(index, Outcome::Completed);
        } else {
            run.publish();
        }
    }

    fn end(&mut self, index: usize, outcome: Outcome) {
        let run = &mut self.runs[index];
        run.record.outcome = outcome;
        run.record.ended = Some(self.start.elapsed());
        run.publish();
        self.waiting.retain(|other| *other != index);
        self.running.retain(|other| *other != index);
    }
}
