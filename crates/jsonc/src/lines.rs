//! Line numbers of the keys of a file.

use std::collections::BTreeMap;

use jsonc_parser::{ast::Value, common::Ranged, parse_to_ast};

use crate::{Error, join, options};

/// Lines of keys and array elements by path, such as `peers[1].address`.
#[derive(Debug, Clone, Default)]
pub struct Lines {
    by_path: BTreeMap<String, usize>,
}

impl Lines {
    pub(crate) fn of(text: &str) -> Result<Lines, Error> {
        let parsed = parse_to_ast(text, &Default::default(), &options()).map_err(|error| {
            Error::Syntax { line: error.line_display(), reason: error.to_string() }
        })?;
        let starts: Vec<usize> = text.match_indices('\n').map(|(at, _)| at + 1).collect();
        let mut lines = Lines::default();
        if let Some(value) = parsed.value {
            lines.add(&value, "", &starts);
        }
        Ok(lines)
    }

    fn add(&mut self, value: &Value<'_>, path: &str, starts: &[usize]) {
        match value {
            Value::Object(object) => {
                for property in &object.properties {
                    let path = join(path, property.name.as_str());
                    let line = line_of(property.start(), starts);
                    self.by_path.insert(path.clone(), line);
                    self.add(&property.value, &path, starts);
                }
            }
            Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    let line = line_of(element.start(), starts);
                    self.by_path.insert(path.clone(), line);
                    self.add(element, &path, starts);
                }
            }
            _ => {}
        }
    }

    /// The line of a key, or of its nearest enclosing key if the file lacks it; else 1.
    pub fn line(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(line) = self.by_path.get(path) {
                return *line;
            }
            match path.rfind(['.', '[']) {
                Some(at) => path = &path[..at],
                None => return 1,
            }
        }
    }
}

fn line_of(offset: usize, starts: &[usize]) -> usize {
    starts.partition_point(|start| *start <= offset) + 1
}
