//! Problems of a document, shown in its text.

use {
    crate::outcome::{Code, Outcome},
    derive_more::{Display, Error},
    miette::{Diagnostic, GraphicalReportHandler, LabeledSpan, NamedSource, SourceCode},
    serde::Serialize,
    std::fmt,
    tamarackdale_core::document::{Problem, Problems},
};

/// One problem with the text that it lies in.
#[derive(Debug, Display, Error)]
#[display("{}", problem.message)]
struct Located<'a> {
    #[error(not(source))]
    problem: &'a Problem,
    text: &'a NamedSource<String>,
}

impl Diagnostic for Located<'_> {
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
struct Listing {
    error: &'static str,
    exit_code: u8,
    problems: Vec<Item>,
}

#[derive(Serialize)]
struct Item {
    message: String,
    line: usize,
    column: usize,
    help: Option<String>,
}

/// The outcome for a wrong document.
pub fn outcome(file: &str, text: &str, problems: &Problems) -> Outcome {
    let source = NamedSource::new(file, text.to_owned());
    let shown: String = problems
        .0
        .iter()
        .map(|problem| render(problem, &source))
        .collect();
    let listing = Listing {
        error: "the document is wrong",
        exit_code: Code::Invalid.number(),
        problems: problems
            .0
            .iter()
            .map(|problem| item(text, problem))
            .collect(),
    };
    Outcome::new(Code::Invalid, shown, &listing)
}

fn render(problem: &Problem, source: &NamedSource<String>) -> String {
    let mut shown = String::new();
    let located = Located {
        problem,
        text: source,
    };
    match GraphicalReportHandler::new().render_report(&mut shown, &located) {
        Ok(()) => shown,
        Err(_) => format!("{problem}\n"),
    }
}

fn item(text: &str, problem: &Problem) -> Item {
    let before = text.get(..problem.span.start).unwrap_or_default();
    let column = before
        .rsplit('\n')
        .next()
        .unwrap_or_default()
        .chars()
        .count();
    Item {
        message: problem.message.clone(),
        line: before.matches('\n').count() + 1,
        column: column + 1,
        help: problem.help.clone(),
    }
}
