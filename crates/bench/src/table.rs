//! Prints results as tables in Markdown.

/// A table of results.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The head and the rows.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a table with its head.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        Self { rows: vec![head.iter().map(ToString::to_string).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table.
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

/// Returns a number with two places.
#[must_use]
pub fn two(number: f64) -> String {
    format!("{number:.2}")
}

/// Returns a share in percent with one place.
#[must_use]
pub fn percent(part: u64, whole: u64) -> String {
    format!("{:.1} %", 100.0 * part as f64 / whole.max(1) as f64)
}
