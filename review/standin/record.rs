//! The record of a play: a line for each thing sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt")),
        }
    }

    /// Milliseconds since the start of the play.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{:4}.{:03} {text}", now / 1_000, now % 1_000);
    }
}
