//! Result tables, printed as Markdown and written as CSV.

use std::fs;
use std::path::PathBuf;

/// A table that is printed as Markdown and written to `target/measurements/<name>.csv`.
#[derive(Debug)]
pub struct Report {
    name: &'static str,
    headings: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Report {
    /// Creates an empty table.
    pub fn new(name: &'static str, headings: &[&'static str]) -> Self {
        Self { name, headings: headings.to_vec(), rows: Vec::new() }
    }

    /// Adds a row with one cell for each heading.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Prints the table and writes the CSV file.
    ///
    /// # Panics
    /// Panics if the file cannot be written.
    pub fn finish(&self) {
        println!("\n## {}\n", self.name);
        println!("| {} |", self.headings.join(" | "));
        println!("|{}", " --- |".repeat(self.headings.len()));
        for row in &self.rows {
            println!("| {} |", row.join(" | "));
        }
        let path = csv_path(self.name);
        let mut writer = csv::Writer::from_path(&path).expect("the CSV file can be written");
        writer.write_record(&self.headings).expect("the CSV file can be written");
        for row in &self.rows {
            writer.write_record(row).expect("the CSV file can be written");
        }
        writer.flush().expect("the CSV file can be written");
    }
}

/// Returns the path of the CSV file, relative to the package directory in which Cargo runs benches.
fn csv_path(name: &str) -> PathBuf {
    let folder = PathBuf::from("target/measurements");
    fs::create_dir_all(&folder).expect("the folder can be made");
    folder.join(format!("{name}.csv"))
}
