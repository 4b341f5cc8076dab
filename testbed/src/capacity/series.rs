//! A quantity measured at several sizes.

use {
    super::fit::{Fit, Point},
    serde::Serialize,
};

/// A quantity measured at several sizes, with the line through it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// What is observed.
    pub observed: String,
    /// The size that is changed.
    pub size: String,
    /// The quantity and its unit.
    pub quantity: String,
    /// The measurements.
    pub points: Vec<Point>,
    /// Size at the target.
    pub target: f64,
    /// Most that the quantity may be at the target, if the budget says.
    pub budget: Option<f64>,
}

impl Series {
    /// A quantity without measurements.
    pub fn new(observed: &str, size: &str, quantity: &str, target: f64) -> Self {
        Self {
            observed: observed.to_owned(),
            size: size.to_owned(),
            quantity: quantity.to_owned(),
            points: Vec::new(),
            target,
            budget: None,
        }
    }

    /// Sets the budget.
    pub fn with_budget(mut self, budget: f64) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Adds a measurement.
    pub fn push(&mut self, x: f64, y: f64) {
        self.points.push(Point::new(x, y));
    }

    /// The line through the measurements.
    pub fn fit(&self) -> Option<Fit> {
        Fit::of(&self.points)
    }

    /// The quantity at the target, if there is a line.
    pub fn at_target(&self) -> Option<f64> {
        Some(self.fit()?.at(self.target))
    }

    /// Whether the quantity at the target is within the budget, if both are known.
    pub fn is_within_budget(&self) -> Option<bool> {
        Some(self.at_target()? <= self.budget?)
    }
}
