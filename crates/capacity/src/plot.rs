//! Plots as SVG.

use crate::fit::Point;
use eyre::{Result, eyre};
use plotters::prelude::{
    BLUE, ChartBuilder, Circle, IntoDrawingArea, LineSeries, Rectangle, SVGBackend, Text, WHITE,
};
use plotters::style::Color;

const SIZE: (u32, u32) = (640, 400);
const MARGIN: u32 = 16;
const LABEL_AREA: u32 = 70;
const FONT: (&str, u32) = ("sans-serif", 18);
const POINT_RADIUS: u32 = 4;
const NAME_FONT: (&str, u32) = ("sans-serif", 13);
const ROOM: f64 = 1.1;
const BAR_GAP: f64 = 0.15;
const BAR_OPACITY: f64 = 0.6;

/// Names a plot and its axes.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    /// The title.
    pub title: &'a str,
    /// What stands along the bottom.
    pub x: &'a str,
    /// What stands along the side.
    pub y: &'a str,
}

/// Draws points joined by lines.
///
/// # Errors
///
/// Returns the fault of the plotting library.
pub fn line(labels: Labels<'_>, points: &[Point]) -> Result<String> {
    let pairs: Vec<(f64, f64)> = points.iter().map(|point| (point.x, point.y)).collect();
    let top = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max) * ROOM;
    let max_x = top(&mut pairs.iter().map(|pair| pair.0));
    let max_y = top(&mut pairs.iter().map(|pair| pair.1));
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(fault)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(labels.title, FONT)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)
            .map_err(fault)?;
        chart.configure_mesh().x_desc(labels.x).y_desc(labels.y).draw().map_err(fault)?;
        chart.draw_series(LineSeries::new(pairs.iter().copied(), &BLUE)).map_err(fault)?;
        let circles = pairs.iter().map(|pair| Circle::new(*pair, POINT_RADIUS, BLUE.filled()));
        chart.draw_series(circles).map_err(fault)?;
        area.present().map_err(fault)?;
    }
    Ok(svg)
}

/// Draws one bar for each name.
///
/// # Errors
///
/// Returns the fault of the plotting library.
pub fn bars(labels: Labels<'_>, bars: &[(String, f64)]) -> Result<String> {
    let top = bars.iter().map(|bar| bar.1).fold(f64::MIN_POSITIVE, f64::max) * ROOM;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(fault)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(labels.title, FONT)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..bars.len() as f64, 0.0..top)
            .map_err(fault)?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh().x_labels(0).x_desc(labels.x).y_desc(labels.y);
        mesh.draw().map_err(fault)?;
        let places = || (0..bars.len()).map(|place| place as f64).zip(bars);
        let rectangles = places().map(|(left, (_, value))| {
            let corners = [(left + BAR_GAP, 0.0), (left + 1.0 - BAR_GAP, *value)];
            Rectangle::new(corners, BLUE.mix(BAR_OPACITY).filled())
        });
        chart.draw_series(rectangles).map_err(fault)?;
        let names = places().map(|(left, (name, value))| {
            Text::new(format!("{name}: {value:.1}"), (left + BAR_GAP, *value), NAME_FONT)
        });
        chart.draw_series(names).map_err(fault)?;
        area.present().map_err(fault)?;
    }
    Ok(svg)
}

fn fault(error: impl std::fmt::Display) -> eyre::Report {
    eyre!("cannot draw: {error}")
}
