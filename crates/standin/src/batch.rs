//! Timing model of an engine with continuous batching.

use std::time::Duration;

/// Speed and capacity of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Fixed time of a step.
    pub step: Duration,
    /// Time that each request in the batch adds to a step.
    pub step_per_request: Duration,
    /// Time that each prefilled prompt token adds to a step.
    pub prefill_per_token: Duration,
    /// Largest number of requests in the batch.
    pub slots: usize,
    /// Largest number of prompt tokens prefilled in a step.
    pub prefill_chunk: u64,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            step: Duration::from_millis(5),
            step_per_request: Duration::from_micros(100),
            prefill_per_token: Duration::from_micros(20),
            slots: 32,
            prefill_chunk: 512,
        }
    }
}

/// A request in an engine's queue or batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Job {
    /// Sequence number by arrival.
    pub number: u64,
    /// Priority; a smaller value is served first.
    pub priority: u8,
    /// Prompt tokens not yet prefilled.
    pub prefill: u64,
    /// Output tokens still to produce.
    pub output: u64,
}

/// Result of a step.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Duration of the step.
    pub time: Duration,
    /// Numbers of the jobs that produced a token.
    pub produced: Vec<u64>,
    /// Numbers of the jobs that finished.
    pub done: Vec<u64>,
}

/// Queue and batch of an engine.
#[derive(Debug, Default)]
pub struct Batch {
    waiting: Vec<Job>,
    running: Vec<Job>,
}

impl Batch {
    /// Adds a job.
    pub fn push(&mut self, job: Job) {
        self.waiting.push(job);
    }

    /// Removes a job and frees its slot.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.retain(|job| job.number != number);
        self.running.retain(|job| job.number != number);
    }

    /// Number of jobs in the batch, and in the queue.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Runs one step; returns `None` if there are no jobs.
    pub fn step(&mut self, speed: &Speed) -> Option<Step> {
        self.admit(speed.slots);
        if self.running.is_empty() {
            return None;
        }
        let prefilled = self.prefill(speed.prefill_chunk);
        let mut step = Step::default();
        for job in self.running.iter_mut().filter(|job| job.prefill == 0) {
            job.output = job.output.saturating_sub(1);
            step.produced.push(job.number);
            if job.output == 0 {
                step.done.push(job.number);
            }
        }
        let batch = self.running.len() as u32;
        step.time = speed.step
            + speed.step_per_request * batch
            + speed.prefill_per_token * u32::try_from(prefilled).unwrap_or(u32::MAX);
        self.running.retain(|job| job.output > 0);
        Some(step)
    }

    fn admit(&mut self, slots: usize) {
        self.waiting.sort_by_key(|job| (job.priority, job.number));
        let free = slots.saturating_sub(self.running.len()).min(self.waiting.len());
        self.running.extend(self.waiting.drain(..free));
        self.running.sort_by_key(|job| (job.priority, job.number));
    }

    fn prefill(&mut self, chunk: u64) -> u64 {
        let mut left = chunk;
        for job in &mut self.running {
            let part = job.prefill.min(left);
            job.prefill -= part;
            left -= part;
        }
        chunk - left
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn urgent_jobs_are_admitted_first_and_all_jobs_finish() {
        let speed = Speed { slots: 1, prefill_chunk: 10, ..Speed::default() };
        let mut batch = Batch::default();
        batch.push(Job { number: 1, priority: 2, prefill: 25, output: 2 });
        batch.push(Job { number: 2, priority: 0, prefill: 0, output: 1 });
        let mut done = Vec::new();
        while let Some(step) = batch.step(&speed) {
            done.extend(step.done);
        }
        assert_eq!(done, [2, 1]);
        assert_eq!(batch.load(), (0, 0));
    }
}
