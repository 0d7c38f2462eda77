//! Results of an experiment and their output.

use serde_json::{Map, Value};

use crate::{cli::Options, exit::Code, plot};

/// Figures of one experiment.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Figures by name.
    pub figures: Map<String, Value>,
    /// Whether all invariants held.
    pub is_sound: bool,
}

impl Report {
    /// Creates a report from the figures of an audit.
    pub fn of(figures: &trial::Figures) -> Report {
        let Ok(Value::Object(map)) = serde_json::to_value(figures) else {
            return Report { figures: Map::new(), is_sound: figures.is_sound() };
        };
        Report { figures: map, is_sound: figures.is_sound() }
    }

    /// Adds a figure.
    pub fn add(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_owned(), value.into());
    }

    /// Adds a figure rounded to two decimal places.
    pub fn add_rounded(&mut self, name: &str, value: f64) {
        self.add(name, (value * 100.0).round() / 100.0);
    }
}

/// Prints and plots a report as the options request.
pub fn print(name: &str, report: &Report, options: &Options) -> Result<Code, String> {
    if !options.json {
        println!("{name}");
        print_values("  ", &report.figures);
    }
    if let Some(path) = &options.plot {
        plot::draw(path, name, &report.figures)?;
    }
    if options.json {
        println!("{}", Value::Object(report.figures.clone()));
    }
    Ok(if report.is_sound { Code::Success } else { Code::InvariantViolated })
}

fn print_values(indent: &str, values: &Map<String, Value>) {
    for (name, value) in values {
        match value {
            Value::Object(inner) => {
                println!("{indent}{name}");
                print_values(&format!("{indent}  "), inner);
            }
            Value::Array(rows) => {
                println!("{indent}{name}");
                rows.iter().for_each(|row| println!("{indent}  {row}"));
            }
            _ => println!("{indent}{name:<28} {value}"),
        }
    }
}
