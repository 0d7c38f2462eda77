//! Queue of endpoint signals that other boxes have to learn about.

use std::{net::SocketAddr, sync::Arc};

use tokio::sync::mpsc;

/// Capacity of the queue.
const QUEUE_CAPACITY: usize = 256;

/// A change of an endpoint instance to be announced to other boxes.
#[derive(Debug)]
pub enum Announcement {
    /// Its rate limit changed.
    LimitChanged { instance: Arc<str> },
    /// Its rate limit is unchanged; repeated for boxes that missed it.
    LimitUnchanged { instance: Arc<str> },
    /// It is draining.
    Draining { instance: Arc<str>, address: SocketAddr },
}

/// Sends announcements to the task that publishes them to other boxes.
#[derive(Debug, Clone)]
pub struct Announcer(mpsc::Sender<Announcement>);

impl Announcer {
    /// Opens the queue; the publishing task reads the other end.
    pub fn open() -> (Announcer, mpsc::Receiver<Announcement>) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Announcer(sender), receiver)
    }

    /// Enqueues an announcement, or drops it if the queue is full: other boxes then learn the change from
    /// the endpoint's own responses.
    pub fn announce(&self, announcement: Announcement) {
        if let Err(error) = self.0.try_send(announcement) {
            tracing::warn!(event = "word_not_told", %error);
        }
    }
}
