//! What closing the connection of a caller says of the response on it, whether all that was passed on is sent, and when the
//! connection is to be closed although the caller reads nothing.

use std::{
    os::fd::OwnedFd,
    sync::Arc,
    task::{Context, Poll, Waker},
};

use parking_lot::Mutex;
use tokio::{
    sync::watch,
    time::{Duration, Instant, sleep_until},
};

/// Time after the deadline of a response in which it ends by itself, if its caller reads.
const OVERDUE_TIME: Duration = Duration::from_millis(200);

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
pub struct CallerClose(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Deadline of the response under way.
    deadline: watch::Sender<Option<Instant>>,
}

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
        self.0.state.lock().meaning = Meaning::Early;
    }

    /// That response is whole.
    pub fn finish(&self) {
        self.0.state.lock().meaning = Meaning::Whole;
    }

    /// Sets the deadline of the response under way; `None` once it has ended.
    pub fn set_deadline(&self, deadline: Option<Instant>) {
        self.0.deadline.send_replace(deadline);
    }

    /// Waits until a response has not ended by its deadline. It then waits for its caller to read, and an
    /// endpoint may still be at work on it.
    pub async fn overdue(&self) {
        let mut deadlines = self.0.deadline.subscribe();
        loop {
            let deadline = *deadlines.borrow_and_update();
            let passed = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline + OVERDUE_TIME).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = passed => return,
                // Never fails: this holds the sender.
                _ = deadlines.changed() => {}
            }
        }
    }

    /// What a close says now.
    pub fn meaning(&self) -> Meaning {
        self.0.state.lock().meaning
    }

    /// Keeps a second descriptor of the connection.
    pub fn keep_socket(&self, socket: OwnedFd) {
        self.0.state.lock().socket = Some(socket);
    }

    /// The second descriptor of the connection, if there is one.
    pub fn take_socket(&self) -> Option<OwnedFd> {
        self.0.state.lock().socket.take()
    }

    /// Data of the response is passed on.
    pub fn pass_data(&self) {
        self.0.state.lock().has_unsent_data = true;
    }

    /// All that was passed on has been handed to the system.
    pub fn mark_sent(&self) {
        let mut state = self.0.state.lock();
        state.has_unsent_data = false;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Waits until all that was passed on has been handed to the system.
    pub fn poll_sent(&self, context: &Context<'_>) -> Poll<()> {
        let mut state = self.0.state.lock();
        if !state.has_unsent_data {
            return Poll::Ready(());
        }
        state.waker = Some(context.waker().clone());
        Poll::Pending
    }
}
