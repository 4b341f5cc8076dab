//! Plots of outcomes against the offered load, one curve a policy.

use {
    plotters::prelude::*,
    std::{error::Error, path::Path},
};

const SIZE: (u32, u32) = (640, 420);
const COLOURS: [RGBColor; 6] = [RED, BLUE, GREEN, MAGENTA, CYAN, BLACK];

/// One curve of a figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Curve {
    /// Name in the legend.
    pub name: String,
    /// Points in ascending order of their first coordinate.
    pub points: Vec<(f64, f64)>,
}

/// A figure with the offered load as its first axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Title.
    pub title: String,
    /// What the second axis shows, with its unit.
    pub measure: String,
    /// The curves.
    pub curves: Vec<Curve>,
}

impl Figure {
    /// Draws the figure as SVG.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn draw(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let root = SVGBackend::new(path, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let (max_load, max_value) = self.extent();
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..max_load, 0.0..max_value)?;
        chart
            .configure_mesh()
            .x_desc("offered load / capacity")
            .y_desc(&self.measure)
            .draw()?;
        for (curve, colour) in self.curves.iter().zip(COLOURS.iter().cycle()) {
            chart
                .draw_series(LineSeries::new(curve.points.iter().copied(), colour))?
                .label(&curve.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    }

    fn extent(&self) -> (f64, f64) {
        let points = self.curves.iter().flat_map(|curve| &curve.points);
        let (load, value) = points.fold((0.0_f64, 0.0_f64), |(load, value), point| {
            (load.max(point.0), value.max(point.1))
        });
        ((load * 1.05).max(0.1), (value * 1.1).max(0.01))
    }
}
