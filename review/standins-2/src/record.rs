//! What was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use anyhow::Result;

/// A file with one line per event, each with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Result<Self> {
        Ok(Record { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    /// Writes a line to the file and to standard output.
    pub fn line(&self, text: impl AsRef<str>) {
        println!("{}", self.note(text));
    }

    /// Writes a line to the file only and returns it.
    pub fn note(&self, text: impl AsRef<str>) -> String {
        let line = format!("{:8.3} s  {}", self.started.elapsed().as_secs_f64(), text.as_ref());
        // The result of the case does not depend on the record.
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
        line
    }
}
