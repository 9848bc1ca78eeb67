//! What was measured, as it is committed in JSON.

use crate::fit::{Fit, Point};
use eyre::{OptionExt, Result};
use serde::{Deserialize, Serialize};
use std::fs;

/// Holds all series of one measurement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The cores of the machine.
    pub cores: usize,
    /// The machine's load average over a minute when the measurement ended.
    pub load_average: f64,
    /// The series.
    pub series: Vec<Series>,
}

impl Report {
    /// Creates the report of series measured on this machine.
    pub fn new(series: Vec<Series>) -> Self {
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        let loads = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let first = loads.split(' ').next().and_then(|load| load.parse().ok());
        Self { cores, load_average: first.unwrap_or_default(), series }
    }

    /// Returns a series.
    ///
    /// # Errors
    ///
    /// Returns an error that names a series which the report lacks.
    pub fn series(&self, id: &str) -> Result<&Series> {
        let found = self.series.iter().find(|series| series.id == id);
        found.ok_or_else(|| eyre::eyre!("the report has no series {id}"))
    }

    /// Returns what was measured at a size, or the value of the line if that was not.
    ///
    /// # Errors
    ///
    /// Returns an error that names a series which the report lacks.
    pub fn measured(&self, id: &str, x: f64) -> Result<f64> {
        let series = self.series(id)?;
        let point = series.points.iter().find(|point| point.x == x);
        Ok(point.map_or_else(|| series.fit.at(x), |point| point.y))
    }

    /// Returns the value of a series' line at a size.
    ///
    /// # Errors
    ///
    /// Returns an error that names a series which the report lacks.
    pub fn at(&self, id: &str, x: f64) -> Result<f64> {
        Ok(self.series(id)?.fit.at(x))
    }

    /// Returns the slope of a series' line.
    ///
    /// # Errors
    ///
    /// Returns an error that names a series which the report lacks.
    pub fn slope(&self, id: &str) -> Result<f64> {
        Ok(self.series(id)?.fit.slope)
    }
}

/// Describes a series.
#[derive(Clone, Copy, Debug)]
pub struct About {
    /// The name by which others refer to it.
    pub id: &'static str,
    /// What is measured, with its unit.
    pub measure: &'static str,
    /// The size that is varied.
    pub size: &'static str,
    /// The command.
    pub command: &'static str,
    /// What the figure does not hold.
    pub leaves_out: &'static str,
}

impl About {
    /// Fits a line through the points of the series.
    ///
    /// # Errors
    ///
    /// Returns an error if the points tell no line.
    pub fn fit(&self, points: Vec<Point>) -> Result<Series> {
        let fit = Fit::new(&points).ok_or_eyre("too few points")?;
        Ok(Series {
            id: self.id.to_owned(),
            measure: self.measure.to_owned(),
            size: self.size.to_owned(),
            command: self.command.to_owned(),
            leaves_out: self.leaves_out.to_owned(),
            points,
            fit,
        })
    }
}

/// Holds one measured series with its line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Series {
    /// The name by which others refer to it.
    pub id: String,
    /// What is measured, with its unit.
    pub measure: String,
    /// The size that is varied.
    pub size: String,
    /// The command.
    pub command: String,
    /// What the figure does not hold.
    pub leaves_out: String,
    /// The points.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Fit,
}
