//! Line numbers of the keys of a file.

use std::collections::BTreeMap;

use jsonc_parser::{ast::Value, common::Ranged, parse_to_ast};

use crate::{Error, join, parse_options};

/// Lines of keys and array elements by path, such as `peers[1].address`.
#[derive(Debug, Clone, Default)]
pub struct LineIndex {
    by_path: BTreeMap<String, usize>,
}

impl LineIndex {
    pub(crate) fn new(text: &str) -> Result<LineIndex, Error> {
        let parsed =
            parse_to_ast(text, &Default::default(), &parse_options()).map_err(|error| {
                Error::Syntax { line: error.line_display(), reason: error.to_string() }
            })?;
        let line_starts: Vec<usize> = text.match_indices('\n').map(|(at, _)| at + 1).collect();
        let mut lines = LineIndex::default();
        if let Some(value) = parsed.value {
            lines.insert_keys(&value, "", &line_starts);
        }
        Ok(lines)
    }

    fn insert_keys(&mut self, value: &Value<'_>, path: &str, line_starts: &[usize]) {
        match value {
            Value::Object(object) => {
                for property in &object.properties {
                    let path = join(path, property.name.as_str());
                    let line = line_of(property.start(), line_starts);
                    self.by_path.insert(path.clone(), line);
                    self.insert_keys(&property.value, &path, line_starts);
                }
            }
            Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    let line = line_of(element.start(), line_starts);
                    self.by_path.insert(path.clone(), line);
                    self.insert_keys(element, &path, line_starts);
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

fn line_of(offset: usize, line_starts: &[usize]) -> usize {
    line_starts.partition_point(|start| *start <= offset) + 1
}
