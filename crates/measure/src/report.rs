//! Tables on standard output and in CSV files.

use std::fs;
use std::path::PathBuf;

/// A table that is printed and written to `target/measurements/<name>.csv`.
#[derive(Debug)]
pub struct Report {
    name: &'static str,
    headings: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Report {
    /// An empty table.
    pub fn new(name: &'static str, headings: &[&'static str]) -> Self {
        Self { name, headings: headings.to_vec(), rows: Vec::new() }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Prints the table in Markdown and writes it as CSV.
    ///
    /// # Panics
    /// Panics when the file cannot be written.
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

/// Benches run in their package's folder; their figures go beside other build output.
fn csv_path(name: &str) -> PathBuf {
    let folder = PathBuf::from("target/measurements");
    fs::create_dir_all(&folder).expect("the folder can be made");
    folder.join(format!("{name}.csv"))
}
