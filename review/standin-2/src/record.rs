//! What happened, with times, for `record.txt`.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record that all threads write.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Record(Arc::new(Inner { began: Instant::now(), file })))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.0.file.lock().unwrap(), "{now:9.3} {text}");
    }

    /// A line that is shown as well.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.0.file.lock().unwrap().flush();
    }
}
