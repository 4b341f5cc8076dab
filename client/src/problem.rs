//! Rendering of a document's problems, with the lines that they concern.

use {
    crate::outcome::{Code, Outcome},
    derive_more::{Display, Error},
    miette::{Diagnostic, GraphicalReportHandler, LabeledSpan, NamedSource, SourceCode},
    serde::Serialize,
    std::fmt,
    tamarackdale_core::document::{Problem, Problems},
};

/// A problem together with the document's text, for `miette`.
#[derive(Debug, Display, Error)]
#[display("{}", problem.message)]
struct ProblemDiagnostic<'a> {
    #[error(not(source))]
    problem: &'a Problem,
    text: &'a NamedSource<String>,
}

impl Diagnostic for ProblemDiagnostic<'_> {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let help = self.problem.help.as_ref()?;
        Some(Box::new(help))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(self.text)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let span = self.problem.span.clone();
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), span);
        Some(Box::new(std::iter::once(label)))
    }
}

#[derive(Serialize)]
struct Report {
    error: &'static str,
    exit_code: u8,
    problems: Vec<ReportedProblem>,
}

#[derive(Serialize)]
struct ReportedProblem {
    message: String,
    line: usize,
    column: usize,
    help: Option<String>,
}

/// The outcome for an invalid document.
pub fn outcome(file: &str, text: &str, problems: &Problems) -> Outcome {
    let source = NamedSource::new(file, text.to_owned());
    let rendered: String = problems
        .0
        .iter()
        .map(|problem| render(problem, &source))
        .collect();
    let report = Report {
        error: "the document is wrong",
        exit_code: Code::Invalid.number(),
        problems: problems
            .0
            .iter()
            .map(|problem| reported(text, problem))
            .collect(),
    };
    Outcome::new(Code::Invalid, rendered, &report)
}

fn render(problem: &Problem, source: &NamedSource<String>) -> String {
    let mut rendered = String::new();
    let diagnostic = ProblemDiagnostic {
        problem,
        text: source,
    };
    match GraphicalReportHandler::new().render_report(&mut rendered, &diagnostic) {
        Ok(()) => rendered,
        Err(_) => format!("{problem}\n"),
    }
}

fn reported(text: &str, problem: &Problem) -> ReportedProblem {
    let before = text.get(..problem.span.start).unwrap_or_default();
    let column = before
        .rsplit('\n')
        .next()
        .unwrap_or_default()
        .chars()
        .count();
    ReportedProblem {
        message: problem.message.clone(),
        line: before.matches('\n').count() + 1,
        column: column + 1,
        help: problem.help.clone(),
    }
}
