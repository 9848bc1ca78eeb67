//! Least-squares line through measured points.

use serde::{Deserialize, Serialize};

/// One measurement.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// The value measured at this size.
    pub y: f64,
}

impl Point {
    /// Creates a point.
    pub const fn new(x: f64, y: f64) -> Self {
        Self { x, y }
    }
}

/// The least-squares line through points.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fit {
    /// The increase of the value per unit of size.
    pub slope: f64,
    /// The value at size zero.
    pub intercept: f64,
    /// The largest vertical distance of a point from the line.
    pub residual: f64,
}

impl Fit {
    /// Returns the least-squares line, or `None` if there are fewer than two points or all points
    /// have the same size.
    pub fn new(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let variance: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        if points.len() < 2 || variance == 0.0 {
            return None;
        }
        let slope = covariance / variance;
        let line = Self { slope, intercept: mean_y - slope * mean_x, residual: 0.0 };
        let distances = points.iter().map(|point| (point.y - line.value_at(point.x)).abs());
        Some(Self { residual: distances.fold(0.0, f64::max), ..line })
    }

    /// Returns the value of the line at a size.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
