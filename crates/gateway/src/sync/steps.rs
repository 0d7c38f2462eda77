//! The steps of a search for a source, for one log line.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::freshness::Freshness;

/// Most steps that are kept: a search that takes longer repeats itself.
const MAX_STEPS: usize = 32;

/// Steps since this box last had a source that knew what the store holds.
#[derive(Debug, Default)]
pub struct Steps(Mutex<Vec<Step>>);

#[derive(Debug)]
struct Step {
    name: &'static str,
    began: Instant,
    /// `None` while it goes on.
    took: Option<Duration>,
}

impl Steps {
    /// Runs a step, and keeps how long it took.
    pub async fn time<T>(&self, name: &'static str, step: impl Future<Output = T>) -> T {
        let began = Instant::now();
        self.0.lock().push(Step { name, began, took: None });
        let outcome = step.await;
        let mut steps = self.0.lock();
        match steps.last_mut() {
            Some(last) if last.began == began => last.took = Some(began.elapsed()),
            // They were forgotten meanwhile.
            _ => {}
        }
        if steps.len() > MAX_STEPS {
            steps.remove(0);
        }
        outcome
    }

    /// Forgets the steps, as this box has a source.
    pub fn clear(&self) {
        self.0.lock().clear();
    }

    /// Logs the steps, the last of which may still go on, with the ages of what this box knows.
    pub fn log(&self, outcome: &str, freshness: &Freshness) {
        let steps = std::mem::take(&mut *self.0.lock());
        if steps.is_empty() {
            return;
        }
        let text = |step: &Step| {
            format!("{} {}", step.name, step.took.unwrap_or(step.began.elapsed()).as_millis())
        };
        let steps: Vec<String> = steps.iter().map(text).collect();
        let ages = freshness.ages();
        tracing::info!(
            event = "source_search",
            outcome,
            steps = steps.join(", "),
            endpoints_age_ms = ages.endpoints,
            config_age_ms = ages.config,
        );
    }
}
