//! What was sent, answered and run, one line each, with the time since the start.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The record of one run of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    ///
    /// # Errors
    /// Fails if the file cannot be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    /// Time since the record was created.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds a line; returns its time.
    pub fn line(&self, text: impl AsRef<str>) -> Duration {
        let at = self.elapsed();
        let line = format!("{:9.3} {}\n", at.as_secs_f64(), text.as_ref());
        // Without a record the case is still judged.
        let _ = self.file.lock().expect("no writer panics").write_all(line.as_bytes());
        at
    }
}
