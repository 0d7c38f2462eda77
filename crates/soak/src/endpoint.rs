//! The endpoints of a soak, and what they ran.
//!
//! What an endpoint does with a request follows from its number, which its id tells: most are
//! answered whole, some in ways that break the protocol.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, StatusCode, header};
use parking_lot::Mutex;
use platform::fixtures;
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};
use tokio::time::Instant;

use crate::{need::Need, word::Word};

/// Tokens that one event holds, as the configuration of the stand-ins says.
pub const EVENT_TOKENS: u64 = 2;
/// Pause between two events.
const PAUSE: Duration = Duration::from_millis(15);

/// A request of the soak, as its id tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// Number of the try, given once.
    pub number: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Events of the answer.
    pub events: u64,
}

impl Id {
    /// The id as text.
    pub fn text(&self) -> String {
        format!("soak-{}-{}-{}", self.number, self.prompt, self.events)
    }

    /// Reads an id.
    pub fn read(text: &str) -> Option<Id> {
        let mut numbers = text.strip_prefix("soak-")?.split('-').map(|n| n.parse().ok());
        let (number, prompt, events) = (numbers.next()??, numbers.next()??, numbers.next()??);
        Some(Id { number, prompt, events })
    }

    /// What an endpoint does with it.
    pub fn conduct(&self) -> Conduct {
        match self.number {
            n if n % 41 == 0 => Conduct::Closes,
            n if n % 43 == 0 => Conduct::Tears,
            n if n % 47 == 0 => Conduct::SaysMore,
            n if n % 31 == 0 => Conduct::Declines,
            _ => Conduct::Answers,
        }
    }

    /// Tokens that the customer owes for the whole answer.
    pub fn tokens(&self) -> u64 {
        self.prompt + self.events * EVENT_TOKENS
    }

    /// One event of the answer.
    pub fn event(&self, number: u64) -> String {
        format!("data: {} {number}\n\n", self.text())
    }

    /// The plain answer.
    pub fn answer(&self) -> String {
        format!("done {}", self.text())
    }
}

/// What an endpoint does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conduct {
    /// Answers whole.
    Answers,
    /// Answers whole, and sends the answer to another request after it.
    SaysMore,
    /// Runs it and closes without an answer.
    Closes,
    /// Runs it and breaks its answer off.
    Tears,
    /// Says that it does not run it.
    Declines,
}

/// A request that arrived and was not declined.
#[derive(Debug, Clone)]
pub struct Run {
    /// Which request.
    pub id: Id,
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// When it arrived.
    pub at: Instant,
}

/// A request that reached an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub id: Id,
    pub at: Instant,
    /// The limit that the endpoint named then.
    pub limit: Option<f64>,
    /// Whether there was an answer to say it.
    pub answered: bool,
    /// Whether the endpoint said that it leaves.
    pub leaves: bool,
    /// How long a rest it asked for.
    pub asks: Option<Duration>,
}

/// What an endpoint says of itself in a run.
#[derive(Debug, Clone, Default)]
pub struct Says {
    /// A limit that it names for a time.
    pub need: Option<Need>,
    /// That it leaves, or asks for rest.
    pub word: Option<Word>,
}

impl Says {
    /// Whether it ever says anything.
    fn anything(&self) -> bool {
        self.need.is_some() || self.word.is_some()
    }
}

/// What arrived at the endpoints that say anything of themselves, by their names.
pub type Arrivals = Arc<Mutex<HashMap<Arc<str>, Vec<Arrival>>>>;

/// All that endpoints ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A running endpoint.
pub struct Endpoint {
    /// Its id in the store.
    pub name: Arc<str>,
    /// Its service.
    pub service: &'static str,
    scripted: ScriptedEndpoint,
}

impl Endpoint {
    /// Starts one that records what it runs, and says of itself what is drawn for it.
    pub async fn spawn(
        name: &str,
        service: &'static str,
        runs: Runs,
        says: Says,
        arrivals: Arrivals,
    ) -> Endpoint {
        let name: Arc<str> = name.into();
        let endpoint = name.clone();
        let began = Instant::now();
        let scripted = ScriptedEndpoint::spawn(move |arrived| {
            let Some(id) = Id::read(&arrived.head.id) else { return Reply::Close };
            let now = began.elapsed();
            let in_need = says.need.filter(|need| (need.from..need.until).contains(&now));
            let limit = in_need.map(|need| need.per_s);
            let leaves = says.word.as_ref().is_some_and(|word| word.leaves(now));
            let asks = says.word.as_ref().and_then(|word| word.asks(now));
            let arrival = Arrival {
                id,
                at: Instant::now(),
                limit,
                answered: asks.is_some() || id.conduct() != Conduct::Closes,
                leaves,
                asks,
            };
            if says.anything() {
                arrivals.lock().entry(endpoint.clone()).or_default().push(arrival);
            }
            if asks.is_none() && id.conduct() != Conduct::Declines {
                let run = Run { id, endpoint: endpoint.clone(), at: Instant::now() };
                runs.lock().push(run);
            }
            reply(&arrival, arrived, service)
        })
        .await;
        Endpoint { name, service, scripted }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.scripted.address()
    }
}

fn reply(arrival: &Arrival, arrived: &ReceivedRequest, service: &str) -> Reply {
    let id = arrival.id;
    let name = |mut headers: HeaderMap| {
        let number = |number: f64| HeaderValue::try_from(number.to_string()).expect("a number");
        if let Some(limit) = arrival.limit {
            headers.insert(fixtures::LIMIT, number(limit));
        }
        if let Some(rest) = arrival.asks {
            headers.insert(header::RETRY_AFTER, number(rest.as_secs_f64()));
        }
        if arrival.leaves {
            headers.insert(fixtures::LEAVING, HeaderValue::from_static("1"));
        }
        headers
    };
    let headers = name(fixtures::response_headers(&arrived.head.id, None));
    let events = |count: u64| (0..count).map(|number| id.event(number)).collect::<Vec<_>>();
    // Whoever asks for rest runs nothing.
    let conduct = arrival.asks.map_or(id.conduct(), |_| Conduct::Declines);
    match conduct {
        Conduct::Closes => Reply::Close,
        Conduct::Declines => {
            let (status, headers) = fixtures::not_run_response(&arrived.head.id);
            Reply::Complete(status, name(headers), "full".into())
        }
        Conduct::Tears => Reply::Truncated(headers, events(id.events / 2)),
        Conduct::Answers if service == "engines" => {
            Reply::Events(headers, events(id.events), PAUSE)
        }
        Conduct::Answers => Reply::Complete(StatusCode::OK, headers, id.answer()),
        Conduct::SaysMore => {
            let other = Id { number: id.number + 1, ..id };
            let body = other.answer();
            let length = body.len();
            let extra = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            Reply::TrailingData(StatusCode::OK, headers, id.answer(), extra)
        }
    }
}
