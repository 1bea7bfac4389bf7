//! Least-squares fit of a straight line, and the spread of repeated measurements.

use std::fmt;

/// A line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Increase of the value for each unit of the size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Maximum vertical distance of a point from the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points of a size and a value; returns `None` for fewer than two different
    /// sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let mut sum_of_squares = 0.0;
        let mut sum_of_products = 0.0;
        for (x, y) in points {
            sum_of_squares += (x - mean_x).powi(2);
            sum_of_products += (x - mean_x) * (y - mean_y);
        }
        if points.len() < 2 || sum_of_squares == 0.0 {
            return None;
        }
        let slope = sum_of_products / sum_of_squares;
        let mut line = Self {
            slope,
            intercept: mean_y - slope * mean_x,
            residual: 0.0,
        };
        let distances = points.iter().map(|&(x, y)| (y - line.at(x)).abs());
        line.residual = distances.fold(0.0, f64::max);
        Some(line)
    }

    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.4} + {:.6} each, residual {:.4}",
            self.intercept, self.slope, self.residual
        )
    }
}

/// Minimum, median and maximum of a set of values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Minimum.
    pub min: f64,
    /// Upper median.
    pub median: f64,
    /// Maximum.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of values, or `None` if there are no values.
    pub fn of(values: &[f64]) -> Option<Self> {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        Some(Self {
            min: *sorted.first()?,
            median: sorted[sorted.len() / 2],
            max: *sorted.last()?,
        })
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} [{:.3}, {:.3}]", self.median, self.min, self.max)
    }
}
