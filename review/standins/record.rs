//! What was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The lines of `record.txt`, each with the milliseconds since the start.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line. Returns its time.
    pub fn note(&self, line: &str) -> u64 {
        let mut file = self.file.lock().unwrap();
        let now_ms = self.now_ms();
        let _ = writeln!(file, "{now_ms:>7} ms  {line}");
        now_ms
    }
}
