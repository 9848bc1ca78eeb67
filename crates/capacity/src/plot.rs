//! Line plots and bar charts as SVG.

use crate::fit::Point;
use eyre::{Result, eyre};
use plotters::prelude::{
    BLUE, ChartBuilder, Circle, IntoDrawingArea, LineSeries, Rectangle, SVGBackend, Text, WHITE,
};
use plotters::style::Color;

const SIZE_PX: (u32, u32) = (640, 400);
const MARGIN_PX: u32 = 16;
const LABEL_AREA_PX: u32 = 70;
const TITLE_FONT: (&str, u32) = ("sans-serif", 18);
const POINT_RADIUS_PX: u32 = 4;
const BAR_LABEL_FONT: (&str, u32) = ("sans-serif", 13);
/// The end of an axis as a multiple of its largest value.
const AXIS_HEADROOM: f64 = 1.1;
/// The gap on each side of a bar, as a share of the space for one bar.
const BAR_GAP: f64 = 0.15;
const BAR_OPACITY: f64 = 0.6;

/// The texts of a plot.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    /// The title.
    pub title: &'a str,
    /// The label of the horizontal axis.
    pub x: &'a str,
    /// The label of the vertical axis.
    pub y: &'a str,
}

/// Draws points connected by lines.
///
/// # Errors
///
/// Returns an error of the plotting library.
pub fn line(labels: Labels<'_>, points: &[Point]) -> Result<String> {
    let coordinates: Vec<(f64, f64)> = points.iter().map(|point| (point.x, point.y)).collect();
    let axis_end =
        |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max) * AXIS_HEADROOM;
    let max_x = axis_end(&mut coordinates.iter().map(|point| point.0));
    let max_y = axis_end(&mut coordinates.iter().map(|point| point.1));
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(labels.title, TITLE_FONT)
            .margin(MARGIN_PX)
            .x_label_area_size(LABEL_AREA_PX)
            .y_label_area_size(LABEL_AREA_PX)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)
            .map_err(plot_error)?;
        chart.configure_mesh().x_desc(labels.x).y_desc(labels.y).draw().map_err(plot_error)?;
        chart
            .draw_series(LineSeries::new(coordinates.iter().copied(), &BLUE))
            .map_err(plot_error)?;
        let circles =
            coordinates.iter().map(|point| Circle::new(*point, POINT_RADIUS_PX, BLUE.filled()));
        chart.draw_series(circles).map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Draws one labelled bar per pair of name and value.
///
/// # Errors
///
/// Returns an error of the plotting library.
pub fn bars(labels: Labels<'_>, bars: &[(String, f64)]) -> Result<String> {
    let axis_end = bars.iter().map(|bar| bar.1).fold(f64::MIN_POSITIVE, f64::max) * AXIS_HEADROOM;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(labels.title, TITLE_FONT)
            .margin(MARGIN_PX)
            .x_label_area_size(LABEL_AREA_PX)
            .y_label_area_size(LABEL_AREA_PX)
            .build_cartesian_2d(0.0..bars.len() as f64, 0.0..axis_end)
            .map_err(plot_error)?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh().x_labels(0).x_desc(labels.x).y_desc(labels.y);
        mesh.draw().map_err(plot_error)?;
        let indexed_bars = || (0..bars.len()).map(|index| index as f64).zip(bars);
        let rectangles = indexed_bars().map(|(left, (_, value))| {
            let corners = [(left + BAR_GAP, 0.0), (left + 1.0 - BAR_GAP, *value)];
            Rectangle::new(corners, BLUE.mix(BAR_OPACITY).filled())
        });
        chart.draw_series(rectangles).map_err(plot_error)?;
        let bar_labels = indexed_bars().map(|(left, (name, value))| {
            Text::new(format!("{name}: {value:.1}"), (left + BAR_GAP, *value), BAR_LABEL_FONT)
        });
        chart.draw_series(bar_labels).map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

fn plot_error(error: impl std::fmt::Display) -> eyre::Report {
    eyre!("cannot draw the plot: {error}")
}
