//! Plots: lines of figures over a parameter or over time, as SVG. It owns nothing but the drawing.
use plotters::prelude::*;

pub struct Line {
    pub name: String,
    /// x, y and half of y's interval.
    pub points: Vec<(f64, f64, f64)>,
}

pub fn svg(
    path: &std::path::Path,
    title: &str,
    x: &str,
    y: &str,
    lines: &[Line],
) -> Result<(), String> {
    let fault = |error: &dyn std::fmt::Display| error.to_string();
    let all = || lines.iter().flat_map(|line| &line.points);
    let ends = |of: &dyn Fn(&(f64, f64, f64)) -> f64| {
        let (low, high) = all()
            .map(of)
            .fold((f64::INFINITY, f64::NEG_INFINITY), |(l, h), v| {
                (l.min(v), h.max(v))
            });
        if high > low {
            (low, high)
        } else {
            (low - 0.5, low + 0.5)
        }
    };
    if all().next().is_none() {
        return Err("nothing to plot".to_owned());
    }
    let (left, right) = ends(&|p| p.0);
    let top = ends(&|p| p.1 + p.2).1.max(1e-9);
    let root = SVGBackend::new(path, (760, 460)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| fault(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .caption(title, ("sans-serif", 18))
        .x_label_area_size(42)
        .y_label_area_size(64)
        .build_cartesian_2d(left..right, 0.0..top * 1.05)
        .map_err(|e| fault(&e))?;
    chart
        .configure_mesh()
        .x_desc(x)
        .y_desc(y)
        .draw()
        .map_err(|e| fault(&e))?;
    for (n, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let points = line.points.iter().map(|p| (p.0, p.1));
        let series = chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(|e| fault(&e))?;
        series
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        let bars = line.points.iter().filter(|p| p.2 > 0.0);
        let bars =
            bars.map(|p| PathElement::new([(p.0, (p.1 - p.2).max(0.0)), (p.0, p.1 + p.2)], colour));
        chart.draw_series(bars).map_err(|e| fault(&e))?;
    }
    let labels = &mut chart.configure_series_labels();
    labels
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| fault(&e))?;
    root.present().map_err(|e| fault(&e))
}
