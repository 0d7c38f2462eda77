//! The streamed answer of one request, read by its caller and by retries with the same key.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use futures_util::{Stream, stream};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::outcome::Unknown;

/// Bytes that the writer may be ahead of the fastest reader before it has to wait.
const MAX_LEAD_BYTES: usize = 256 << 10;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Complete.
    Complete,
    /// Incomplete.
    Incomplete(Unknown),
}

#[derive(Debug, Default)]
struct State {
    chunks: Vec<Bytes>,
    bytes: usize,
    furthest_read: usize,
    end: Option<End>,
}

/// Bytes of an answer, appended until it has an end.
#[derive(Debug, Default)]
pub struct Transcript {
    state: Mutex<State>,
    changed: Notify,
    drained: Notify,
    readers: AtomicUsize,
}

impl Transcript {
    /// Appends bytes.
    pub fn push(&self, chunk: Bytes) {
        let mut state = self.state.lock();
        state.bytes += chunk.len();
        state.chunks.push(chunk);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends the answer; only the first end counts.
    pub fn end(&self, end: End) {
        self.state.lock().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Whether the answer is complete.
    pub fn is_complete(&self) -> bool {
        self.state.lock().end == Some(End::Complete)
    }

    /// Length so far, in bytes.
    pub fn bytes(&self) -> usize {
        self.state.lock().bytes
    }

    /// Number of readers.
    pub fn readers(&self) -> usize {
        self.readers.load(Ordering::Relaxed)
    }

    /// Waits while the fastest reader is far behind: applies backpressure to the engine.
    pub async fn wait_drained(&self) {
        loop {
            let drained = self.drained.notified();
            {
                let state = self.state.lock();
                if state.bytes.saturating_sub(state.furthest_read) <= MAX_LEAD_BYTES
                    || self.readers() == 0
                {
                    return;
                }
            }
            drained.await;
        }
    }

    /// Reads from the start. An incomplete answer ends with an error event.
    pub fn stream(self: &Arc<Self>) -> impl Stream<Item = Result<Bytes, std::io::Error>> + use<> {
        let reader = Reader::open(self.clone());
        stream::unfold(reader, |mut reader| async move {
            let chunk = reader.next().await?;
            Some((Ok(chunk), reader))
        })
    }
}

struct Reader {
    transcript: Arc<Transcript>,
    next_chunk: usize,
    bytes: usize,
    ended: bool,
}

impl Reader {
    fn open(transcript: Arc<Transcript>) -> Reader {
        transcript.readers.fetch_add(1, Ordering::Relaxed);
        Reader { transcript, next_chunk: 0, bytes: 0, ended: false }
    }

    async fn next(&mut self) -> Option<Bytes> {
        loop {
            if self.ended {
                return None;
            }
            let transcript = self.transcript.clone();
            let changed = transcript.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let (chunk, end) = {
                let mut state = transcript.state.lock();
                let chunk = state.chunks.get(self.next_chunk).cloned();
                if let Some(chunk) = &chunk {
                    self.bytes += chunk.len();
                    state.furthest_read = state.furthest_read.max(self.bytes);
                }
                (chunk, state.end)
            };
            match (chunk, end) {
                (Some(chunk), _) => {
                    self.next_chunk += 1;
                    transcript.drained.notify_waiters();
                    return Some(chunk);
                }
                (None, Some(End::Complete)) => return None,
                (None, Some(End::Incomplete(unknown))) => {
                    self.ended = true;
                    return Some(crate::render::error_event(unknown));
                }
                (None, None) => changed.await,
            }
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.transcript.readers.fetch_sub(1, Ordering::Relaxed);
        self.transcript.drained.notify_waiters();
    }
}
