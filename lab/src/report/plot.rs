//! A plot over the seconds of a run as SVG, with the faults as bands in the background.

use super::{Band, Report};
use plotters::{
    coord::{Shift, types::RangedCoordf64},
    prelude::*,
};
use std::{fmt::Display, io};

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (960, 260);
/// Upper end of the vertical axis as a multiple of the largest value.
const HEADROOM: f64 = 1.08;
/// Minimum width of a band, in seconds, so that instantaneous faults are visible.
const MIN_BAND_S: f64 = 0.15;
/// Number of rows over which the names of faults are distributed, so that they do not overlap.
const BAND_ROWS: usize = 4;

/// A curve of a plot.
pub(super) struct Series {
    pub name: String,
    pub colour: RGBColor,
    /// Times in seconds, with the values.
    pub points: Vec<(f64, f64)>,
}

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws a plot of the series.
///
/// # Errors
/// The plot can't be drawn.
pub(super) fn svg(report: &Report, series: &[Series]) -> io::Result<String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        draw(&root, report, series)?;
        root.present().map_err(draw_error)?;
    }
    Ok(svg)
}

fn draw(root: &DrawingArea<SVGBackend<'_>, Shift>, report: &Report, series: &[Series]) -> io::Result<()> {
    let end = report.verdict.seconds.len().max(1) as f64;
    let values = series.iter().flat_map(|series| &series.points).map(|point| point.1);
    let max = values.fold(1e-9, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(root)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..max)
        .map_err(draw_error)?;
    draw_bands(&mut chart, &report.bands, max)?;
    chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw().map_err(draw_error)?;
    draw_band_names(&mut chart, &report.bands, max)?;
    for series in series {
        draw_series(&mut chart, series)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.7))
        .position(SeriesLabelPosition::UpperRight)
        .draw()
        .map_err(draw_error)
}

fn draw_bands(chart: &mut Chart<'_, '_>, bands: &[Band], max: f64) -> io::Result<()> {
    let rectangles = bands.iter().map(|band| {
        let end = band.to_s.max(band.from_s + MIN_BAND_S);
        Rectangle::new([(band.from_s, 0.0), (end, max)], RED.mix(0.10).filled())
    });
    chart.draw_series(rectangles).map_err(draw_error)?;
    Ok(())
}

fn draw_band_names(chart: &mut Chart<'_, '_>, bands: &[Band], max: f64) -> io::Result<()> {
    let names = bands.iter().enumerate().map(|(number, band)| {
        let height = max * (0.97 - 0.08 * (number % BAND_ROWS) as f64);
        Text::new(band.kind.clone(), (band.from_s, height), ("sans-serif", 11).into_font())
    });
    chart.draw_series(names).map_err(draw_error)?;
    Ok(())
}

fn draw_series(chart: &mut Chart<'_, '_>, series: &Series) -> io::Result<()> {
    let colour = series.colour;
    chart
        .draw_series(LineSeries::new(series.points.iter().copied(), colour.stroke_width(2)))
        .map_err(draw_error)?
        .label(series.name.clone())
        .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    Ok(())
}

fn draw_error(error: impl Display) -> io::Error {
    io::Error::other(format!("can't draw the plot: {error}"))
}
