//! Plot of the bad answers passed on, by time since the version turned bad.

use crate::workload::Outcome;
use plotters::prelude::*;

/// Length of the horizontal axis, in seconds.
const SECONDS: f64 = 60.0;

/// Returns the mean cumulative number of bad answers passed on, for each tenth of a second.
fn curve(outcomes: &[Outcome]) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    for tenth in 0..=(SECONDS * 10.0) as u32 {
        let at = f64::from(tenth) / 10.0;
        let count: usize = outcomes
            .iter()
            .map(|outcome| outcome.times.iter().filter(|time| **time <= at).count())
            .sum();
        points.push((at, count as f64 / outcomes.len() as f64));
    }
    points
}

/// Writes the plot as SVG.
pub fn write(
    path: &str,
    canary: &[Outcome],
    judged: &[Outcome],
) -> Result<(), Box<dyn std::error::Error>> {
    let (canary, judged) = (curve(canary), curve(judged));
    let most = canary
        .iter()
        .chain(&judged)
        .map(|point| point.1)
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, (640, 360)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..SECONDS, 0.0..most * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the version turned bad")
        .y_desc("bad answers passed on, mean")
        .draw()?;
    for (points, colour) in [(canary, RED), (judged, BLUE)] {
        chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
    }
    area.present()?;
    Ok(())
}
