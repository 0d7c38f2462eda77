//! Callers, and what they got.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{StatusCode, header};
use platform::{fixtures::CallerHead, request::Tokens};
use tokio::time::Instant;

use crate::endpoint::{EVENT_TOKENS, Id};

/// How long a caller waits.
pub const DEADLINE: Duration = Duration::from_secs(5);

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Route {
    /// A streamed answer that costs tokens; may run once.
    Stream,
    /// A plain call that may be repeated.
    Cancel,
    /// A plain call that may run once.
    Confirm,
    /// A plain call on a route that is added while the soak runs.
    Late,
}

impl Route {
    /// Name in the configuration, which is its path too.
    pub fn name(self) -> &'static str {
        match self {
            Route::Stream => "stream",
            Route::Cancel => "cancel",
            Route::Confirm => "confirm",
            Route::Late => "late",
        }
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Route::Cancel)
    }
}

/// One life of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Life {
    /// Number of the box.
    pub at: usize,
    /// Number of its life.
    pub number: usize,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A success, and whether it is the whole answer to this call.
    Answered {
        /// All of it, and nothing else.
        own: bool,
        /// What came, where it is not.
        body: String,
    },
    /// An answer of the box's own.
    Refused(StatusCode),
    /// No answer, or one that broke off; with the events that came.
    Failed {
        /// Why.
        reason: String,
        /// Events received.
        events: u64,
    },
}

/// A call that ended.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: Id,
    /// Customer's key.
    pub key: &'static str,
    pub route: Route,
    /// Who took it.
    pub life: Life,
    pub sent: Instant,
    pub ended: Instant,
    pub end: End,
}

impl Call {
    /// Tokens that the caller certainly got.
    pub fn served(&self) -> u64 {
        match &self.end {
            End::Answered { .. } => self.id.tokens(),
            End::Failed { events, .. } if *events > 0 => self.id.prompt + events * EVENT_TOKENS,
            End::Failed { .. } | End::Refused(_) => 0,
        }
    }
}

/// Sends one call and reads its answer.
pub async fn send(
    client: &reqwest::Client,
    address: SocketAddr,
    route: Route,
    key: &'static str,
    id: Id,
) -> End {
    let tokens = Tokens { prompt: id.prompt, max_output: id.events * EVENT_TOKENS };
    let asked = CallerHead {
        id: id.text(),
        key: Some(key.to_owned()),
        deadline: Some(DEADLINE),
        tokens: (route == Route::Stream).then_some(tokens),
        parts: Vec::new(),
    };
    let url = format!("http://{address}/{}/x", route.name());
    let request = client.post(url).header(header::HOST, "desk.example").body("a body");
    let headers = asked.headers();
    let request = headers.into_iter().fold(request, |r, (name, value)| r.header(name, value));
    let failed = |reason: String, events| End::Failed { reason, events };
    let mut answer = match tokio::time::timeout(DEADLINE, request.send()).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return failed(format!("{error:?}"), 0),
        Err(_) => return failed("the deadline passed".into(), 0),
    };
    let status = answer.status();
    let mut body = Vec::new();
    loop {
        match tokio::time::timeout(DEADLINE, answer.chunk()).await {
            Ok(Ok(Some(piece))) => body.extend_from_slice(&piece),
            Ok(Ok(None)) => break,
            Ok(Err(error)) => return failed(format!("{error:?}"), events_of(&id, &body)),
            Err(_) => return failed("the deadline passed".into(), events_of(&id, &body)),
        }
    }
    if !status.is_success() {
        return End::Refused(status);
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let whole: String = match route {
        Route::Stream => (0..id.events).map(|number| id.event(number)).collect(),
        Route::Cancel | Route::Confirm | Route::Late => id.answer(),
    };
    // An engine that says more sends the plain answer.
    End::Answered { own: body == whole || body == id.answer(), body }
}

fn events_of(id: &Id, body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    (0..id.events).take_while(|number| text.contains(&id.event(*number))).count() as u64
}

/// A client that keeps its connections.
pub fn client() -> Arc<reqwest::Client> {
    let client = reqwest::Client::builder().no_proxy().pool_max_idle_per_host(4).build();
    Arc::new(client.expect("a client without TLS settings always builds"))
}
