//! What closing the connection of a caller says of the response on it, and whether all that was passed on is sent.

use std::{
    os::fd::OwnedFd,
    sync::Arc,
    task::{Context, Poll, Waker},
};

use parking_lot::Mutex;

/// Meaning of a close.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Meaning {
    /// Nothing: the response is framed by a length or chunks.
    #[default]
    Nothing,
    /// The end of a response of which more is to come.
    Early,
    /// The end of a whole response.
    Whole,
}

/// Close of one connection, shared by the connection and the response on it.
#[derive(Debug, Clone, Default)]
pub struct CallerClose(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    meaning: Meaning,
    /// A second descriptor of the connection, which keeps it open after the first is closed.
    socket: Option<OwnedFd>,
    /// Whether data was passed on that may still wait in this process.
    has_unsent_data: bool,
    /// Woken once that is sent.
    waker: Option<Waker>,
}

impl CallerClose {
    /// A response begins that ends with the connection.
    pub fn begin(&self) {
        self.0.lock().meaning = Meaning::Early;
    }

    /// That response is whole.
    pub fn finish(&self) {
        self.0.lock().meaning = Meaning::Whole;
    }

    /// What a close says now.
    pub fn meaning(&self) -> Meaning {
        self.0.lock().meaning
    }

    /// Keeps a second descriptor of the connection.
    pub fn keep_socket(&self, socket: OwnedFd) {
        self.0.lock().socket = Some(socket);
    }

    /// The second descriptor of the connection, if there is one.
    pub fn take_socket(&self) -> Option<OwnedFd> {
        self.0.lock().socket.take()
    }

    /// Data of the response is passed on.
    pub fn pass_data(&self) {
        self.0.lock().has_unsent_data = true;
    }

    /// All that was passed on has been handed to the system.
    pub fn mark_sent(&self) {
        let mut state = self.0.lock();
        state.has_unsent_data = false;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Waits until all that was passed on has been handed to the system.
    pub fn poll_sent(&self, context: &Context<'_>) -> Poll<()> {
        let mut state = self.0.lock();
        if !state.has_unsent_data {
            return Poll::Ready(());
        }
        state.waker = Some(context.waker().clone());
        Poll::Pending
    }
}
