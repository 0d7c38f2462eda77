//! What endpoints said to this box that other boxes should hear of.

use std::{net::SocketAddr, sync::Arc};

use tokio::sync::mpsc;

/// Words that wait to be told; each takes microseconds.
const WAITING: usize = 256;

/// What is to be told of a life of an endpoint.
#[derive(Debug)]
pub enum Announcement {
    /// What it takes changed.
    LimitChanged { instance: Arc<str> },
    /// It still takes what it took.
    LimitUnchanged { instance: Arc<str> },
    /// It leaves.
    Draining { instance: Arc<str>, address: SocketAddr },
}

/// Passes words on to the task that tells other boxes.
#[derive(Debug, Clone)]
pub struct Announcer(mpsc::Sender<Announcement>);

impl Announcer {
    /// Words come out at the other end.
    pub fn open() -> (Announcer, mpsc::Receiver<Announcement>) {
        let (words, told) = mpsc::channel(WAITING);
        (Announcer(words), told)
    }

    /// Other boxes are told. What is dropped, they hear from the endpoint itself.
    pub fn announce(&self, word: Announcement) {
        if let Err(error) = self.0.try_send(word) {
            tracing::warn!(event = "word_not_told", %error);
        }
    }
}
