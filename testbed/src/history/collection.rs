//! Collects and prints the history of a whole system's run.

use {
    super::{Execution, History, Submission},
    crate::{
        deployment::{Deployment, Sidecar, Standin},
        load::{Record, Shot},
    },
    std::fmt::{self, Display, Formatter},
    tamarackdale_core::document::{Document, example},
};

impl History {
    /// The history of these calls in a system with the example documents.
    pub fn of_run<'a>(
        deployment: &Deployment,
        calls: impl IntoIterator<Item = (&'a Shot, &'a Record)>,
    ) -> Self {
        let submission = |(shot, record)| Submission::of_record(record, shot, is_idempotent(shot));
        Self {
            submissions: calls.into_iter().filter_map(submission).collect(),
            executions: deployment.sidecars.iter().flat_map(executions).collect(),
            ..Self::new()
        }
    }
}

impl Display for History {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let violations = self.violations();
        write!(
            formatter,
            "{} submissions, {} executions, {} violations",
            self.submissions.len(),
            self.executions.len(),
            violations.len(),
        )?;
        violations
            .iter()
            .try_for_each(|violation| write!(formatter, "\n  {violation}"))
    }
}

/// Whether a request may run more than once, by the example document of its service.
pub fn is_idempotent(shot: &Shot) -> bool {
    example::ALL
        .iter()
        .find(|example| example.service == shot.service)
        .and_then(|example| Document::parse(example.text).ok())
        .is_some_and(|document| document.is_idempotent(shot.method.as_str(), &shot.path))
}

fn executions(sidecar: &Sidecar) -> Vec<Execution> {
    let service = &sidecar.service;
    match &sidecar.backend_server {
        Standin::Engine(engine) => {
            let runs = engine.runs();
            let executions = runs.iter().map(|run| Execution::of_run(service, run));
            executions.flatten().collect()
        }
        Standin::Plain(plain) => {
            let calls = plain.calls();
            let executions = calls.iter().map(|call| Execution::of_call(service, call));
            executions.flatten().collect()
        }
    }
}
