//! Promises about single requests.

use {
    super::{Execution, History, Name, Submission, Violation},
    std::collections::BTreeMap,
    tamarackdale_core::verdict::Verdict,
};

/// Both sides' records of one request.
#[derive(Default)]
struct Record<'a> {
    submissions: Vec<&'a Submission>,
    executions: Vec<&'a Execution>,
}

/// Checks every request by itself.
pub(super) fn requests(history: &History) -> Vec<Violation> {
    let mut records: BTreeMap<&Name, Record<'_>> = BTreeMap::new();
    for submission in &history.submissions {
        let record = records.entry(&submission.request).or_default();
        record.submissions.push(submission);
    }
    for execution in &history.executions {
        let record = records.entry(&execution.request).or_default();
        record.executions.push(execution);
    }
    records
        .into_iter()
        .flat_map(|(request, record)| record.violations(request))
        .collect()
}

impl Record<'_> {
    fn violations(&self, request: &Name) -> Vec<Violation> {
        if self.submissions.is_empty() {
            let request = request.clone();
            return vec![Violation::Unsubmitted { request }];
        }
        let mut violations: Vec<Violation> = self.too_many_runs(request).into_iter().collect();
        violations.extend(self.wrong_answers(request));
        violations
    }

    fn too_many_runs(&self, request: &Name) -> Option<Violation> {
        let request = request.clone();
        let runs = self.executions.len();
        let submissions = self.submissions.len();
        let not_run = self.count(|submission| submission.verdict == Some(Verdict::NotRun));
        let once = self.count(|submission| !submission.idempotent) > 0;
        if once && runs > 1 {
            return Some(Violation::RanAgain { request, runs });
        }
        if runs > submissions {
            return Some(Violation::DispatchedAgain {
                request,
                submissions,
                runs,
            });
        }
        // Each submission runs at most once, so those that were not reported as not run bound
        // the number of runs.
        (runs > submissions - not_run).then_some(Violation::NotRunRan {
            request,
            submissions,
            not_run,
            runs,
        })
    }

    fn wrong_answers(&self, request: &Name) -> impl Iterator<Item = Violation> {
        let is_wrong = |submission: &&&Submission| {
            let ran = submission.verdict == Some(Verdict::Ran);
            let nowhere = ran && self.executions.is_empty();
            nowhere || submission.answer.is_some_and(|answer| !self.gave(answer))
        };
        let wrong = self.submissions.iter().filter(is_wrong).count();
        std::iter::repeat_with(|| Violation::WrongAnswer {
            request: request.clone(),
        })
        .take(wrong)
    }

    /// Whether a run gave this answer, as far as the backend server records it.
    fn gave(&self, answer: u64) -> bool {
        self.executions
            .iter()
            .any(|execution| execution.output.is_none_or(|output| output == answer))
    }

    fn count(&self, matches: impl Fn(&Submission) -> bool) -> usize {
        let matching = self
            .submissions
            .iter()
            .filter(|submission| matches(submission));
        matching.count()
    }
}
