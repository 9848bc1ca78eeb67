//! The report of all measurements, committed as JSON.

use crate::fit::{Fit, Point};
use eyre::{OptionExt, Result};
use serde::{Deserialize, Serialize};
use std::fs;

/// All series of one run of the measurements.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The number of processor cores of the machine.
    pub cores: usize,
    /// The machine's one-minute load average when the measurement ended.
    pub load_average: f64,
    /// The measured series.
    pub series: Vec<Series>,
}

impl Report {
    /// Creates a report of series measured on this machine.
    pub fn new(series: Vec<Series>) -> Self {
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        let loads = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let first = loads.split(' ').next().and_then(|load| load.parse().ok());
        Self { cores, load_average: first.unwrap_or_default(), series }
    }

    /// Returns the series with an id.
    ///
    /// # Errors
    ///
    /// Returns an error with the id if the report has no such series.
    pub fn series(&self, id: &str) -> Result<&Series> {
        let found = self.series.iter().find(|series| series.id == id);
        found.ok_or_else(|| eyre::eyre!("the report has no series {id}"))
    }

    /// Returns the value measured at a size, or the fitted value if that size was not measured.
    ///
    /// # Errors
    ///
    /// Returns an error with the id if the report has no such series.
    pub fn measured_or_fitted(&self, id: &str, x: f64) -> Result<f64> {
        let series = self.series(id)?;
        let point = series.points.iter().find(|point| point.x == x);
        Ok(point.map_or_else(|| series.fit.value_at(x), |point| point.y))
    }

    /// Returns the fitted value of a series at a size.
    ///
    /// # Errors
    ///
    /// Returns an error with the id if the report has no such series.
    pub fn fitted(&self, id: &str, x: f64) -> Result<f64> {
        Ok(self.series(id)?.fit.value_at(x))
    }

    /// Returns the slope of the line fitted to a series.
    ///
    /// # Errors
    ///
    /// Returns an error with the id if the report has no such series.
    pub fn slope(&self, id: &str) -> Result<f64> {
        Ok(self.series(id)?.fit.slope)
    }
}

/// The description of a series.
#[derive(Clone, Copy, Debug)]
pub struct SeriesDescription {
    /// The name under which tables and plots refer to the series.
    pub id: &'static str,
    /// The measured quantity with its unit.
    pub measure: &'static str,
    /// The size that is varied.
    pub size: &'static str,
    /// The command that measures the series.
    pub command: &'static str,
    /// The costs that the values do not include.
    pub leaves_out: &'static str,
}

impl SeriesDescription {
    /// Returns the series of these points with its least-squares line.
    ///
    /// # Errors
    ///
    /// Returns an error if no line can be fitted to the points.
    pub fn fit(&self, points: Vec<Point>) -> Result<Series> {
        let fit = Fit::new(&points).ok_or_eyre("fewer than two sizes were measured")?;
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

/// One measured series with its fitted line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Series {
    /// The name under which tables and plots refer to the series.
    pub id: String,
    /// The measured quantity with its unit.
    pub measure: String,
    /// The size that is varied.
    pub size: String,
    /// The command that measures the series.
    pub command: String,
    /// The costs that the values do not include.
    pub leaves_out: String,
    /// The measured points.
    pub points: Vec<Point>,
    /// The line fitted to the points.
    pub fit: Fit,
}
