//! Cost of one more unit of load, as the slope of a line through measured points, and its plot.

use std::fmt::Write;
use std::fs;

use stallhoist_measure::LineFit;

/// Measured points `(load, cost)` whose fitted slope is the cost of one unit of load.
pub(crate) struct Slope {
    pub(crate) name: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) points: Vec<(f64, f64)>,
}

impl Slope {
    pub(crate) fn fit(&self) -> LineFit {
        LineFit::through(&self.points)
    }
}

/// Writes an SVG plot of the points and their fitted line to `docs/plots`.
pub(crate) fn plot(slope: &Slope, x_title: &str, file: &str) {
    let (width, height, margin) = (640.0, 360.0, 60.0);
    let largest = |values: Vec<f64>| values.into_iter().fold(f64::EPSILON, f64::max);
    let max_x = largest(slope.points.iter().map(|(x, _)| *x).collect());
    let max_y = largest(slope.points.iter().map(|(_, y)| *y).collect()) * 1.1;
    let at = |x: f64, y: f64| {
        let px = margin + x / max_x * (width - 2.0 * margin);
        let py = height - margin - y / max_y * (height - 2.0 * margin);
        (px, py)
    };
    let fit = slope.fit();
    let (x1, y1) = at(0.0, fit.at(0.0).max(0.0));
    let (x2, y2) = at(max_x, fit.at(max_x));
    let (left, bottom) = at(0.0, 0.0);
    let (right, top) = at(max_x, max_y);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <path d=\"M{left} {top} V{bottom} H{right}\" stroke=\"black\" fill=\"none\"/>\n\
         <line x1=\"{x1}\" y1=\"{y1}\" x2=\"{x2}\" y2=\"{y2}\" stroke=\"steelblue\"/>\n"
    );
    for (x, y) in &slope.points {
        let (cx, cy) = at(*x, *y);
        let _ = writeln!(svg, "<circle cx=\"{cx}\" cy=\"{cy}\" r=\"4\" fill=\"crimson\"/>");
        let _ = writeln!(svg, "<text x=\"{}\" y=\"{}\">{y:.0}</text>", cx + 6.0, cy - 6.0);
    }
    let _ = writeln!(
        svg,
        "<text x=\"{margin}\" y=\"24\">{}: {:.2} {} each, from {:.0}</text>\n\
         <text x=\"{}\" y=\"{}\">{x_title}, 0 to {max_x:.0}</text>\n</svg>",
        slope.name,
        fit.slope,
        slope.unit,
        fit.base,
        width / 2.0,
        height - 20.0
    );
    fs::create_dir_all("docs/plots").expect("the folder can be made");
    fs::write(format!("docs/plots/{file}"), svg).expect("the plot can be written");
}
