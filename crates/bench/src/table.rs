//! Results as Markdown tables on standard output.

/// A Markdown table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The header, followed by the rows.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header and no rows.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        Self { rows: vec![head.iter().map(ToString::to_string).collect()] }
    }

    /// Appends a row with one cell for each column of the header.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table to standard output, followed by an empty line.
    pub fn print(&self) {
        for (at, row) in self.rows.iter().enumerate() {
            println!("| {} |", row.join(" | "));
            if at == 0 {
                println!("|{}", " --- |".repeat(row.len()));
            }
        }
        println!();
    }
}

/// Formats a number with two decimal places.
#[must_use]
pub fn two_decimals(number: f64) -> String {
    format!("{number:.2}")
}

/// Formats a share as a percentage with one decimal place.
#[must_use]
pub fn percent(part: u64, whole: u64) -> String {
    format!("{:.1} %", 100.0 * part as f64 / whole.max(1) as f64)
}
