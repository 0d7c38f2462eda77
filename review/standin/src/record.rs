//! The record of a run: one line an event, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record that all threads of a run write to.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be created");
        Record(Arc::new(Inner { file: Mutex::new(file), started: Instant::now() }))
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.0.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), text.as_ref());
        let mut file = self.0.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}
