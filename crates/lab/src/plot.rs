//! Plots time series as an SVG file.

use plotters::prelude::*;
use std::path::Path;

/// A series for the plot: its name, and points (seconds, value).
pub type NamedSeries = (String, Vec<(f64, f64)>);

const COLOURS: [RGBColor; 10] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(227, 119, 194),
    RGBColor(127, 127, 127),
    RGBColor(188, 189, 34),
    RGBColor(23, 190, 207),
];

/// Draws the series over a common time axis and writes the plot to a file; `unit` labels the vertical axis.
pub fn draw(path: &Path, title: &str, unit: &str, series: &[NamedSeries]) -> Result<(), String> {
    let error = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let points = || series.iter().flat_map(|s| &s.1);
    let (max_seconds, max_value) = points().fold((1.0f64, 1.0f64), |m, p| (m.0.max(p.0), m.1.max(p.1)));
    let root = SVGBackend::new(path, (1000, 500)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| error(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..max_seconds, 0.0..max_value * 1.05)
        .map_err(|e| error(&e))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(unit)
        .light_line_style(WHITE)
        .draw()
        .map_err(|e| error(&e))?;
    for (index, (name, points)) in series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(1));
        let drawn = chart.draw_series(line).map_err(|e| error(&e))?;
        drawn
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    let mut legend = chart.configure_series_labels();
    legend
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .position(SeriesLabelPosition::UpperLeft);
    legend.draw().map_err(|e| error(&e))?;
    root.present().map_err(|e| error(&e))
}
