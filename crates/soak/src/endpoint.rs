//! Endpoints of a run, and the requests that they ran.
//!
//! The number in the id of a request determines how the endpoint responds: completely in most
//! cases, in some with an error or a violation of the protocol.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use http::{HeaderMap, HeaderValue, StatusCode, header};
use parking_lot::Mutex;
use platform::fixtures;
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};
use tokio::time::Instant;

use crate::{
    announcement::Announcement,
    limit::Limit,
    shape::{Content, End, Shape},
};

/// Tokens of one event; equals `stride` in the configuration.
pub const TOKENS_PER_EVENT: u64 = 2;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// Parameters of a request, encoded in its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Unique number of the request.
    pub number: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Events of a streamed response.
    pub events: u64,
    /// Shape of the response, if it is a raw caller's.
    pub shape: Option<Shape>,
}

impl Id {
    /// Text form of the id, as in the request header.
    pub fn text(&self) -> String {
        let shape = self.shape.map(|shape| format!("-{}", shape.text())).unwrap_or_default();
        format!("soak-{}-{}-{}{shape}", self.number, self.prompt, self.events)
    }

    /// Parses the text form.
    pub fn read(text: &str) -> Option<Id> {
        let mut fields = text.strip_prefix("soak-")?.split('-');
        let mut number = || fields.next()?.parse().ok();
        let (number, prompt, events) = (number()?, number()?, number()?);
        Some(Id { number, prompt, events, shape: fields.next().and_then(Shape::read) })
    }

    /// How an endpoint handles the request.
    pub fn behavior(&self) -> Behavior {
        match self.number {
            _ if self.shape.is_some_and(|shape| shape.end != End::Whole) => Behavior::Truncated,
            _ if self.shape.is_some() => Behavior::Complete,
            n if n % 41 == 0 => Behavior::NoResponse,
            n if n % 43 == 0 => Behavior::Truncated,
            n if n % 47 == 0 => Behavior::TrailingResponse,
            n if n % 31 == 0 => Behavior::NotRun,
            _ => Behavior::Complete,
        }
    }

    /// Tokens that the complete response costs.
    pub fn tokens(&self) -> u64 {
        self.prompt + self.events * TOKENS_PER_EVENT
    }

    /// One event of a streamed response.
    pub fn event(&self, number: u64) -> String {
        format!("data: {} {number}\n\n", self.text())
    }

    /// What the response has to hold on the raw connection of a caller that has the first events.
    pub fn content(&self, is_stream: bool, after: u64) -> Content {
        let text = self.text();
        let parts = match is_stream {
            true => {
                let event = |number| format!("id: {number}\ndata: {text} {number}\n\n");
                (after + 1..=after + self.events).map(event).collect()
            }
            false => self.answer().split_inclusive('-').map(str::to_owned).collect(),
        };
        Content { parts, is_stream }
    }

    /// Body of the plain response.
    pub fn answer(&self) -> String {
        format!("done {}", self.text())
    }
}

/// How an endpoint handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// Sends a complete response.
    Complete,
    /// Sends a complete response, followed by the response to another request.
    TrailingResponse,
    /// Runs it and closes the connection without a response.
    NoResponse,
    /// Runs it and closes the connection in the middle of the response.
    Truncated,
    /// Responds that it did not run it.
    NotRun,
}

/// A request that an endpoint ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: Id,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// When it arrived.
    pub at: Instant,
}

/// A request that reached an endpoint, and what the response announces.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub id: Id,
    pub at: Instant,
    /// Rate limit, in requests a second.
    pub limit: Option<f64>,
    /// Whether there was a response that carries the announcements.
    pub answered: bool,
    /// Whether the endpoint announces that it leaves.
    pub leaves: bool,
    /// Back-off that the endpoint asks for.
    pub back_off: Option<Duration>,
}

/// What an endpoint announces in a run.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// A rate limit for a part of the run.
    pub limit: Option<Limit>,
    /// Leaving, or back-offs.
    pub announcement: Option<Announcement>,
}

impl Plan {
    /// Whether the endpoint announces anything during the run.
    fn announces_anything(&self) -> bool {
        self.limit.is_some() || self.announcement.is_some()
    }
}

/// Requests that reached endpoints that announce anything, by name of the endpoint.
pub type Arrivals = Arc<Mutex<HashMap<Arc<str>, Vec<Arrival>>>>;

/// All requests that endpoints ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What endpoints record.
#[derive(Clone, Default)]
pub struct Records {
    pub runs: Runs,
    pub arrivals: Arrivals,
}

/// A running endpoint.
pub struct Endpoint {
    /// Id in the store.
    pub name: Arc<str>,
    /// Service that it belongs to.
    pub service: &'static str,
    /// Version of its software.
    pub version: String,
    scripted: ScriptedEndpoint,
}

impl Endpoint {
    /// Starts an endpoint that records requests.
    pub async fn spawn(
        name: &str,
        service: &'static str,
        version: String,
        plan: Plan,
        records: Records,
    ) -> Endpoint {
        let name: Arc<str> = name.into();
        let endpoint = name.clone();
        let started = Instant::now();
        let scripted = ScriptedEndpoint::spawn(move |arrived| {
            let Some(id) = Id::read(&arrived.head.id) else { return Reply::Close };
            let now = started.elapsed();
            let active_limit = plan.limit.filter(|limit| (limit.from..limit.until).contains(&now));
            let limit = active_limit.map(|limit| limit.per_s);
            let leaves =
                plan.announcement.as_ref().is_some_and(|announcement| announcement.leaves(now));
            let back_off =
                plan.announcement.as_ref().and_then(|announcement| announcement.back_off(now));
            let arrival = Arrival {
                id,
                at: Instant::now(),
                limit,
                answered: back_off.is_some() || id.behavior() != Behavior::NoResponse,
                leaves,
                back_off,
            };
            if plan.announces_anything() {
                records.arrivals.lock().entry(endpoint.clone()).or_default().push(arrival);
            }
            if back_off.is_none() && id.behavior() != Behavior::NotRun {
                let run = Run { id, endpoint: endpoint.clone(), at: Instant::now() };
                records.runs.lock().push(run);
            }
            reply(&arrival, arrived, service)
        })
        .await;
        Endpoint { name, service, version, scripted }
    }

    /// Cuts a box off, by its address, or ends that.
    pub fn set_cut_off(&self, source: Ipv4Addr, is_cut_off: bool) {
        self.scripted.set_cut_off(source, is_cut_off);
    }

    /// The box with an address is killed now.
    pub fn note_killed(&self, source: Ipv4Addr) {
        self.scripted.note_killed(source);
    }

    /// Requests that it ran and whose connections the run closed, and when.
    pub fn cut_runs(&self) -> Vec<(Id, Instant)> {
        let broken = self.scripted.broken_by_cuts();
        broken.into_iter().filter_map(|broken| Some((Id::read(&broken.id)?, broken.at))).collect()
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.scripted.address()
    }
}

fn reply(arrival: &Arrival, arrived: &ReceivedRequest, service: &str) -> Reply {
    let id = arrival.id;
    let announce = |mut headers: HeaderMap| {
        let value = |number: f64| HeaderValue::try_from(number.to_string()).expect("a number");
        if let Some(limit) = arrival.limit {
            headers.insert(fixtures::LIMIT, value(limit));
        }
        if let Some(back_off) = arrival.back_off {
            headers.insert(header::RETRY_AFTER, value(back_off.as_secs_f64()));
        }
        if arrival.leaves {
            headers.insert(fixtures::LEAVING, HeaderValue::from_static("1"));
        }
        headers
    };
    let mut headers = announce(fixtures::response_headers(&arrived.head.id, None));
    let events = |count: u64| (0..count).map(|number| id.event(number)).collect::<Vec<_>>();
    // An endpoint that asks for a back-off runs nothing.
    let behavior = arrival.back_off.map_or(id.behavior(), |_| Behavior::NotRun);
    if let (Some(shape), true) = (id.shape, behavior != Behavior::NotRun) {
        let is_stream = service == "engines";
        let media_type = if is_stream { "text/event-stream" } else { "text/plain" };
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
        let content = id.content(is_stream, arrived.head.last_event.unwrap_or(0));
        return shape.reply(&headers, &content);
    }
    match behavior {
        Behavior::NoResponse => Reply::Close,
        Behavior::NotRun => {
            let (status, headers) = fixtures::not_run_response(&arrived.head.id);
            Reply::Complete(status, announce(headers), "full".into())
        }
        Behavior::Truncated => Reply::Truncated(headers, events(id.events / 2)),
        Behavior::Complete if service == "engines" => {
            Reply::Events(headers, events(id.events), EVENT_INTERVAL)
        }
        Behavior::Complete => Reply::Complete(StatusCode::OK, headers, id.answer()),
        Behavior::TrailingResponse => {
            let other = Id { number: id.number + 1, ..id };
            let body = other.answer();
            let length = body.len();
            let extra = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            Reply::TrailingData(StatusCode::OK, headers, id.answer(), extra)
        }
    }
}
