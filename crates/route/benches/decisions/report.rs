//! Writes the tables and charts of the experiments.

use {
    plotters::prelude::{
        ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, SVGBackend, WHITE,
    },
    std::{fs, path::PathBuf},
};

const CHART_SIZE: (u32, u32) = (800, 480);

/// Median and worst of one measured value over all seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Spread {
    pub(crate) median: f64,
    pub(crate) worst: f64,
}

impl Spread {
    /// Summarizes values for which higher is worse.
    pub(crate) fn of_costs(values: impl Iterator<Item = f64>) -> Self {
        let mut values: Vec<_> = values.collect();
        values.sort_by(f64::total_cmp);
        let worst = values.last().copied().unwrap_or_default();
        Self { median: values.get(values.len() / 2).copied().unwrap_or_default(), worst }
    }

    /// Summarizes values for which lower is worse.
    pub(crate) fn of_gains(values: impl Iterator<Item = f64>) -> Self {
        let costs = Self::of_costs(values.map(|value| -value));
        Self { median: -costs.median, worst: -costs.worst }
    }

    /// Formats as `median (worst)` with `digits` decimal places.
    pub(crate) fn text(&self, digits: usize) -> String {
        format!("{:.digits$} ({:.digits$})", self.median, self.worst)
    }
}

/// One curve of a chart.
pub(crate) struct Curve {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// Title and axis labels of a chart.
pub(crate) struct ChartAxes {
    pub(crate) title: &'static str,
    pub(crate) x: &'static str,
    pub(crate) y: &'static str,
}

fn directory() -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/design/routing");
    fs::create_dir_all(&root).expect("create the docs directory");
    root
}

/// Prints a table and writes it to `<name>.md` in the docs directory.
pub(crate) fn write_table(name: &str, text: &str) {
    println!("{text}");
    fs::write(directory().join(format!("{name}.md")), text).expect("write the table");
}

/// Draws a chart into `<name>.svg` in the docs directory.
pub(crate) fn draw_chart(name: &str, axes: &ChartAxes, curves: &[Curve]) {
    let path = directory().join(format!("{name}.svg"));
    let points = || curves.iter().flat_map(|curve| curve.points.iter().copied());
    let maximum = |value: fn((f64, f64)) -> f64| points().map(value).fold(f64::MIN, f64::max);
    let (right, top) = (maximum(|(x, _)| x), maximum(|(_, y)| y) * 1.05);
    let area = SVGBackend::new(&path, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE).expect("draw the chart");
    let mut chart = ChartBuilder::on(&area)
        .caption(axes.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .expect("draw the chart");
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(axes.x).y_desc(axes.y).draw().expect("draw the chart");
    for (position, curve) in curves.iter().enumerate() {
        let color = Palette99::pick(position).stroke_width(2);
        let series = LineSeries::new(curve.points.iter().copied(), color);
        let drawn = chart.draw_series(series).expect("draw the chart");
        drawn.label(&curve.name).legend(move |(x, y)| {
            plotters::prelude::PathElement::new(vec![(x, y), (x + 20, y)], color)
        });
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).border_style(plotters::prelude::BLACK);
    labels.draw().expect("draw the chart");
    area.present().expect("write the chart");
}
