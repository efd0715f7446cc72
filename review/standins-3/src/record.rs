//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Creates the file, whose path is the first argument of the program.
    pub fn create() -> anyhow::Result<Self> {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        Ok(Record { file: Mutex::new(File::create(path)?), start: Instant::now() })
    }

    /// Writes a line to the file and to the standard output.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.start.elapsed().as_secs_f64(), text.as_ref());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{line}");
        }
    }
}
