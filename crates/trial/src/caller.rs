//! A caller as the product's users would write it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::StreamExt;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::api_key;

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct Request {
    /// Customer that asks.
    pub customer: String,
    /// Budget that pays.
    pub budget: String,
    /// Route: a model's name or a service's.
    pub route: String,
    /// Request key.
    pub key: String,
    /// Whether the route is a plain service.
    pub service: bool,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Text before the marks of the prompt.
    pub prompt: String,
    /// Output tokens that the engine will produce.
    pub output: u64,
    /// Output limit asked for.
    pub max_tokens: u64,
}

impl Request {
    /// A short streamed completion.
    pub fn chat(customer: &str, budget: &str, key: &str) -> Request {
        Request {
            customer: customer.into(),
            budget: budget.into(),
            route: "assistant".into(),
            key: key.into(),
            service: false,
            stream: true,
            prompt: "When is the next free chair?".into(),
            output: 8,
            max_tokens: 16,
        }
    }

    /// A call of a plain service.
    pub fn service(customer: &str, budget: &str, route: &str, key: &str) -> Request {
        Request {
            route: route.into(),
            service: true,
            stream: false,
            ..Request::chat(customer, budget, key)
        }
    }

    fn content(&self) -> String {
        format!("{} tokens={} mark={}", self.prompt, self.output, self.mark())
    }

    fn mark(&self) -> String {
        self.key.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').collect()
    }

    /// Worst case of the request, in tokens.
    pub fn worst(&self) -> u64 {
        (self.content().len() as u64).div_ceil(4) + self.max_tokens
    }
}

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer.
    Answered,
    /// A truthful refusal.
    NotRun,
    /// It may have run.
    Unknown,
    /// Nothing: the connection failed.
    NoResponse,
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Response {
    /// Key of the request.
    pub key: String,
    /// Customer that asked.
    pub customer: String,
    /// What it was told.
    pub outcome: Outcome,
    /// Reason, if it was refused or unknown.
    pub reason: String,
    /// HTTP status, 0 without an answer.
    pub status: u16,
    /// Tokens of text received.
    pub tokens: u64,
    /// Whether the answer was another request's.
    pub crossed: bool,
    /// Body of a plain answer.
    pub body: String,
    /// Time to the first byte of the answer.
    pub time_to_first_byte: Duration,
    /// Longest time between two parts of the answer.
    pub gaps: Vec<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Route that was asked.
    pub route: String,
}

/// Sends requests and remembers what it was told.
#[derive(Clone)]
pub struct Caller {
    http: reqwest::Client,
    responses: Arc<Mutex<Vec<Response>>>,
    request_timeout: Duration,
}

impl Caller {
    /// A caller that waits for `request_timeout` at most.
    pub fn new(request_timeout: Duration) -> Caller {
        let http = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS settings always builds");
        Caller { http, responses: Arc::default(), request_timeout }
    }

    /// Everything it was told so far.
    pub fn responses(&self) -> Vec<Response> {
        self.responses.lock().clone()
    }

    /// Sends a request to a box.
    pub async fn send(&self, to: SocketAddr, ask: &Request) -> Response {
        let start = Instant::now();
        let mut got = Response {
            key: ask.key.clone(),
            customer: ask.customer.clone(),
            outcome: Outcome::NoResponse,
            reason: String::new(),
            status: 0,
            tokens: 0,
            crossed: false,
            body: String::new(),
            time_to_first_byte: Duration::ZERO,
            gaps: Vec::new(),
            total: Duration::ZERO,
            route: ask.route.clone(),
        };
        let receive = self.receive(to, ask, start, &mut got);
        if tokio::time::timeout(self.request_timeout, receive).await.is_err() {
            got.outcome = Outcome::NoResponse;
            got.reason = "caller_gave_up".into();
        }
        got.total = start.elapsed();
        self.responses.lock().push(got.clone());
        got
    }

    /// Takes tickets of a box for unrepeatable calls.
    pub async fn tickets(
        &self,
        to: SocketAddr,
        customer: &str,
        budget: &str,
        count: u64,
    ) -> Vec<String> {
        let request = self.http.post(format!("http://{to}/v1/tickets"));
        let request = request.bearer_auth(api_key(customer, budget)).json(&json!({"count": count}));
        let Ok(answer) = request.send().await else { return Vec::new() };
        let body: Value = answer.json().await.unwrap_or_default();
        let tickets = body["tickets"].as_array().into_iter().flatten();
        tickets.filter_map(|ticket| ticket.as_str().map(str::to_owned)).collect()
    }

    fn request(&self, to: SocketAddr, ask: &Request) -> reqwest::RequestBuilder {
        let request = match ask.service {
            true => {
                let url = format!("http://{to}/services/{}/chairs/7", ask.route);
                self.http.post(url).body(ask.content())
            }
            false => self.http.post(format!("http://{to}/v1/chat/completions")).json(&json!({
                "model": ask.route, "stream": ask.stream, "max_tokens": ask.max_tokens,
                "messages": [{"role": "user", "content": ask.content()}],
            })),
        };
        let key = api_key(&ask.customer, &ask.budget);
        request.bearer_auth(key).header("idempotency-key", &ask.key)
    }

    async fn receive(&self, to: SocketAddr, ask: &Request, start: Instant, got: &mut Response) {
        let Ok(answer) = self.request(to, ask).send().await else { return };
        got.status = answer.status().as_u16();
        let header = answer.headers().get("flintstall-outcome");
        let responses = header.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let outcome = match responses {
            "answered" => Outcome::Answered,
            "not-run" => Outcome::NotRun,
            "unknown" => Outcome::Unknown,
            _ => Outcome::NoResponse,
        };
        let mut parts = answer.bytes_stream();
        let mut body = Vec::new();
        let mut last = None;
        while let Some(part) = parts.next().await {
            let Ok(part) = part else { return };
            let now = Instant::now();
            match last.replace(now) {
                None => got.time_to_first_byte = now - start,
                Some(before) => got.gaps.push(now - before),
            }
            body.extend_from_slice(&part);
        }
        got.outcome = outcome;
        got.body = String::from_utf8_lossy(&body).into_owned();
        judge(ask, got);
    }
}

fn judge(ask: &Request, got: &mut Response) {
    if got.outcome != Outcome::Answered {
        let error: Value = serde_json::from_str(&got.body).unwrap_or_default();
        got.reason = error["error"]["code"].as_str().unwrap_or_default().to_owned();
        return;
    }
    if ask.service {
        return;
    }
    let text = if ask.stream { streamed_text(got) } else { plain_text(got) };
    let words: Vec<&str> = text.split_whitespace().collect();
    got.tokens = words.len() as u64;
    let mark = ask.mark();
    let own = |(index, word): (usize, &&str)| **word == format!("{mark}.{index}");
    got.crossed = !words.iter().enumerate().all(own);
}

fn streamed_text(got: &mut Response) -> String {
    let mut text = String::new();
    let mut whole = false;
    for line in got.body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            whole = true;
            break;
        }
        let event: Value = serde_json::from_str(line).unwrap_or_default();
        text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        if let Some(code) = event["error"]["code"].as_str() {
            got.reason = code.to_owned();
        }
    }
    if !whole {
        got.outcome = Outcome::Unknown;
    }
    text
}

fn plain_text(got: &Response) -> String {
    let body: Value = serde_json::from_str(&got.body).unwrap_or_default();
    body["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
}
