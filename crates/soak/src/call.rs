//! Calls of the load and their outcomes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{StatusCode, header};
use platform::{fixtures::CallerHead, request::Tokens};
use tokio::time::Instant;

use crate::endpoint::{Id, TOKENS_PER_EVENT};

/// Longest wait of a caller for the head of a response, and for each part of its body.
pub const DEADLINE: Duration = Duration::from_secs(5);

/// Route of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Route {
    /// A streamed response that costs tokens; runs at most once.
    Stream,
    /// A plain call that may be repeated.
    Cancel,
    /// A plain call that runs at most once.
    Confirm,
    /// Like `Confirm`, on a route that is added during the run.
    Late,
    /// Like `Stream`; callers may take it up after it broke.
    Resume,
}

impl Route {
    /// Name in the configuration, also the first segment of the path.
    pub fn name(self) -> &'static str {
        match self {
            Route::Stream => "stream",
            Route::Cancel => "cancel",
            Route::Confirm => "confirm",
            Route::Late => "late",
            Route::Resume => "resume",
        }
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Route::Cancel)
    }

    /// Whether responses are streams, which cost tokens.
    pub fn is_stream(self) -> bool {
        matches!(self, Route::Stream | Route::Resume)
    }
}

/// One start of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// Number of the box.
    pub box_index: usize,
    /// Number of the start, from 1.
    pub number: usize,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A response with a status of success.
    Answered {
        /// Whether the body is the complete response to this call and nothing else.
        is_correct: bool,
        body: String,
    },
    /// A response with another status.
    Refused(StatusCode),
    /// No response, or an incomplete one.
    Failed {
        reason: String,
        /// Complete events received.
        events: u64,
    },
}

/// A call that ended.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: Id,
    /// API key of the customer.
    pub key: &'static str,
    pub route: Route,
    /// The box that the call was sent to.
    pub incarnation: Incarnation,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

impl Call {
    /// Lower bound of the tokens that the endpoint served for this call.
    pub fn served(&self) -> u64 {
        match &self.outcome {
            Outcome::Answered { .. } => self.id.tokens(),
            Outcome::Failed { events, .. } if *events > 0 => {
                self.id.prompt + events * TOKENS_PER_EVENT
            }
            Outcome::Failed { .. } | Outcome::Refused(_) => 0,
        }
    }
}

/// Sends one call and reads its response.
pub async fn send(
    client: &reqwest::Client,
    address: SocketAddr,
    route: Route,
    key: &'static str,
    id: Id,
) -> Outcome {
    let tokens = Tokens { prompt: id.prompt, max_output: id.events * TOKENS_PER_EVENT };
    let head = CallerHead {
        id: id.text(),
        key: Some(key.to_owned()),
        deadline: Some(DEADLINE),
        tokens: route.is_stream().then_some(tokens),
        parts: Vec::new(),
        resumed: None,
    };
    let url = format!("http://{address}/{}/x", route.name());
    let request = client.post(url).header(header::HOST, "desk.example").body("a body");
    let headers = head.headers();
    let request = headers.into_iter().fold(request, |r, (name, value)| r.header(name, value));
    let failed = |reason: String, events| Outcome::Failed { reason, events };
    let mut answer = match tokio::time::timeout(DEADLINE, request.send()).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return failed(format!("{error:?}"), 0),
        Err(_) => return failed("the deadline passed".into(), 0),
    };
    let status = answer.status();
    let mut body = Vec::new();
    loop {
        match tokio::time::timeout(DEADLINE, answer.chunk()).await {
            Ok(Ok(Some(part))) => body.extend_from_slice(&part),
            Ok(Ok(None)) => break,
            Ok(Err(error)) => return failed(format!("{error:?}"), count_events(&id, &body)),
            Err(_) => return failed("the deadline passed".into(), count_events(&id, &body)),
        }
    }
    if !status.is_success() {
        return Outcome::Refused(status);
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let expected: String = match route {
        Route::Stream | Route::Resume => (0..id.events).map(|number| id.event(number)).collect(),
        Route::Cancel | Route::Confirm | Route::Late => id.answer(),
    };
    // `Behavior::TrailingResponse` sends the plain response on every route.
    Outcome::Answered { is_correct: body == expected || body == id.answer(), body }
}

fn count_events(id: &Id, body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    (0..id.events).take_while(|number| text.contains(&id.event(*number))).count() as u64
}

/// An HTTP client that keeps its connections.
pub fn client() -> Arc<reqwest::Client> {
    let client = reqwest::Client::builder().no_proxy().pool_max_idle_per_host(4).build();
    Arc::new(client.expect("a client without TLS settings always builds"))
}
