//! Text tables with aligned columns.

/// A header row and the rows below it.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these column headers.
    pub fn new(header: &[&str]) -> Table {
        Table { rows: vec![header.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Formats the table, each column as wide as its widest cell.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let padded = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            let line = padded.collect::<Vec<_>>().join("  ");
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_are_as_wide_as_their_widest_cell() {
        let mut table = Table::new(&["NAME", "PAID"]);
        table.row(["bornova".into(), "1".into()]);
        assert_eq!(table.render(), "NAME     PAID\nbornova  1\n");
    }
}
