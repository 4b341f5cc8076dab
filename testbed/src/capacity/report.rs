//! The measured series as a Markdown table and as JSON.

use {
    super::series::Series,
    derive_more::Display,
    serde::Serialize,
    serde_json::{Value, json},
};

/// All series of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Display)]
#[display("{}", self.markdown())]
pub struct Report {
    /// The series, in the order in which they were measured.
    pub series: Vec<Series>,
}

impl Report {
    /// A report of these series.
    pub fn new(series: Vec<Series>) -> Self {
        Self { series }
    }

    /// The report as a JSON array, each series with its line and its value at the target.
    pub fn json(&self) -> Value {
        self.series.iter().map(series_json).collect()
    }

    /// The report as a Markdown table.
    pub fn markdown(&self) -> String {
        let head = "| observed | by | quantity | measured | line | r² | deviation | target | \
                    there | budget | within |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
        let rows = self.series.iter().map(row);
        rows.fold(head.to_owned(), |table, row| table + &row)
    }
}

fn series_json(series: &Series) -> Value {
    json!({
        "series": series,
        "fit": series.fit(),
        "at_target": series.at_target(),
        "within_budget": series.is_within_budget(),
    })
}

fn row(series: &Series) -> String {
    let points: Vec<String> = series
        .points
        .iter()
        .map(|point| format!("{}: {}", number(point.x), number(point.y)))
        .collect();
    let (line, r2, deviation) = match series.fit() {
        Some(fit) => (
            format!("{} + {}·x", number(fit.intercept), number(fit.slope)),
            format!("{:.3}", fit.r2),
            number(fit.deviation),
        ),
        None => Default::default(),
    };
    let within = match series.is_within_budget() {
        Some(true) => "yes",
        Some(false) => "**no**",
        None => "",
    };
    let cells = [
        series.observed.clone(),
        series.size.clone(),
        series.quantity.clone(),
        points.join(", "),
        line,
        r2,
        deviation,
        number(series.target),
        series.at_target().map(number).unwrap_or_default(),
        series.budget.map(number).unwrap_or_default(),
        within.to_owned(),
    ];
    format!("| {} |\n", cells.join(" | "))
}

/// A number with about three significant digits.
pub fn number(value: f64) -> String {
    let digits = match value.abs() {
        0.0 => 0,
        size if size >= 100.0 => 0,
        size if size >= 10.0 => 1,
        size if size >= 1.0 => 2,
        size if size >= 0.1 => 3,
        _ => 4,
    };
    let text = format!("{value:.digits$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_owned(),
        false => text,
    }
}
