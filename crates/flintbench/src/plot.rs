//! Bar charts of an experiment's figures as SVG.

use std::path::Path;

use plotters::prelude::*;
use serde_json::{Map, Value};

/// Size of the picture, in pixels.
const PICTURE_SIZE: (u32, u32) = (960, 540);

/// Draws the figures in the JSON file `figures` into `picture`, titled with the name of the JSON
/// file.
pub fn draw_file(figures: &Path, picture: Option<&Path>) -> Result<(), String> {
    let picture = picture.ok_or("`--figures` requires `--plot`")?;
    let read_error =
        |error: &dyn std::fmt::Display| format!("cannot read {}: {error}", figures.display());
    let text = std::fs::read_to_string(figures).map_err(|error| read_error(&error))?;
    let object = serde_json::from_str(&text).map_err(|error| read_error(&error))?;
    let title = figures.file_stem().unwrap_or_default().to_string_lossy();
    draw(picture, &title, &object)
}

/// Draws a bar for each number in a report; numbers in nested objects are prefixed with the
/// object's name.
pub fn draw(path: &Path, title: &str, figures: &Map<String, Value>) -> Result<(), String> {
    let bars = bars(figures);
    let max = bars.iter().map(|(_, value)| *value).fold(0.0, f64::max);
    let min = bars.iter().map(|(_, value)| *value).fold(0.0, f64::min);
    let max = if max > min { max } else { 1.0 };
    let root = SVGBackend::new(path, PICTURE_SIZE).into_drawing_area();
    let result = (|| -> Result<(), Box<dyn std::error::Error>> {
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 24))
            .margin(16)
            .x_label_area_size(24)
            .y_label_area_size(240)
            .build_cartesian_2d(min * 1.1..max * 1.1, 0..bars.len())?;
        let label =
            |index: &usize| bars.get(*index).map_or(String::new(), |(name, _)| name.clone());
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(bars.len())
            .y_label_formatter(&label)
            .draw()?;
        chart.draw_series(bars.iter().enumerate().map(|(index, (_, value))| {
            Rectangle::new([(0.0, index), (*value, index + 1)], BLUE.mix(0.6).filled())
        }))?;
        root.present()?;
        Ok(())
    })();
    result.map_err(|error| format!("cannot draw {}: {error}", path.display()))
}

fn bars(figures: &Map<String, Value>) -> Vec<(String, f64)> {
    let mut bars = Vec::new();
    for (name, value) in figures {
        match value {
            Value::Number(number) => bars.push((name.clone(), number.as_f64().unwrap_or(0.0))),
            Value::Object(inner) => {
                let inner_bars = self::bars(inner).into_iter();
                bars.extend(inner_bars.map(|(inner, value)| (format!("{name}: {inner}"), value)));
            }
            _ => {}
        }
    }
    bars
}
