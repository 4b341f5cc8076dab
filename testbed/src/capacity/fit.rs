//! Least-squares fit of a straight line.

use serde::Serialize;

/// One measurement: a quantity at a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// The quantity.
    pub y: f64,
}

impl Point {
    /// The quantity `y` at the size `x`.
    pub fn new(x: f64, y: f64) -> Self {
        Self { x, y }
    }
}

/// A straight line through points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Quantity at size zero.
    pub intercept: f64,
    /// Quantity for each unit of size.
    pub slope: f64,
    /// Part of the quantity's variance that the line explains, 0 to 1.
    pub r2: f64,
    /// Standard deviation of the points from the line.
    pub deviation: f64,
}

impl Fit {
    /// The line with the least squares of deviations, or `None` if the points do not determine one.
    pub fn of(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let sum = |term: &dyn Fn(&Point) -> f64| points.iter().map(term).sum::<f64>();
        let xx = sum(&|point| (point.x - mean_x).powi(2));
        if points.len() < 2 || xx == 0.0 {
            return None;
        }
        let xy = sum(&|point| (point.x - mean_x) * (point.y - mean_y));
        let slope = xy / xx;
        let intercept = mean_y - slope * mean_x;
        let total = sum(&|point| (point.y - mean_y).powi(2));
        let residual = sum(&|point| (point.y - intercept - slope * point.x).powi(2));
        let freedom = (count - 2.0).max(1.0);
        Some(Self {
            intercept,
            slope,
            r2: match total > 0.0 {
                true => 1.0 - residual / total,
                false => 1.0,
            },
            deviation: (residual / freedom).sqrt(),
        })
    }

    /// The line's quantity at a size.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
