//! The record of what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The file `record.txt` of a case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the folder of the case can be written");
        Self { file: Mutex::new(file), start: Instant::now() }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic");
        writeln!(file, "{at:8.3} s  {text}").expect("the record can be written");
    }
}
