//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, start: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>9.3} s  {text}", ms as f64 / 1_000.0);
    }

    /// Writes a line here and on standard output.
    pub fn say(&self, text: &str) {
        let _ = writeln!(std::io::stdout(), "{text}");
        self.line(text);
    }
}
