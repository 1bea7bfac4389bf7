//! Least squares for a straight line, and the spread of repeats.

use std::fmt;

/// A line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Increase for one more of what was varied.
    pub slope: f64,
    /// Value at none.
    pub intercept: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
}

impl Line {
    /// The line through points of a size and a value; none for fewer than two sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let mut square = 0.0;
        let mut product = 0.0;
        for (x, y) in points {
            square += (x - mean_x).powi(2);
            product += (x - mean_x) * (y - mean_y);
        }
        if points.len() < 2 || square == 0.0 {
            return None;
        }
        let slope = product / square;
        let mut line = Self {
            slope,
            intercept: mean_y - slope * mean_x,
            residual: 0.0,
        };
        let distances = points.iter().map(|&(x, y)| (y - line.at(x)).abs());
        line.residual = distances.fold(0.0, f64::max);
        Some(line)
    }

    /// The value of the line at a size.
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

/// Least, middle and largest of some values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The least.
    pub least: f64,
    /// The upper median.
    pub median: f64,
    /// The largest.
    pub most: f64,
}

impl Spread {
    /// The spread of values; none where there are none.
    pub fn of(values: &[f64]) -> Option<Self> {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        Some(Self {
            least: *sorted.first()?,
            median: sorted[sorted.len() / 2],
            most: *sorted.last()?,
        })
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3} [{:.3}, {:.3}]",
            self.median, self.least, self.most
        )
    }
}
