//! A client of the fleet that records the responses to its requests.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::StreamExt;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::api_key;

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    pub customer: String,
    /// Budget that pays.
    pub budget: String,
    /// Name of the route: of a model or of a service.
    pub route: String,
    /// Request key.
    pub key: String,
    /// Whether the route is a plain service.
    pub service: bool,
    /// Whether the response is to be streamed.
    pub stream: bool,
    /// Text of the prompt, before its `tokens=` and `mark=`.
    pub prompt: String,
    /// Output tokens that the prompt asks the engine for.
    pub output: u64,
    /// Limit of output tokens.
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

    /// Largest number of tokens that the request can cost.
    pub fn worst(&self) -> u64 {
        (self.content().len() as u64).div_ceil(4) + self.max_tokens
    }
}

/// Outcome of a request, as the caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response.
    Answered,
    /// Refused without having run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// No response, or an incomplete one.
    NoResponse,
}

/// What a caller received for a request.
#[derive(Debug, Clone)]
pub struct Response {
    /// Key of the request.
    pub key: String,
    pub customer: String,
    pub outcome: Outcome,
    /// Error code, if there is one.
    pub reason: String,
    /// HTTP status, 0 without a response.
    pub status: u16,
    /// Tokens of text received.
    pub tokens: u64,
    /// Whether the response belongs to another request.
    pub crossed: bool,
    /// Complete body.
    pub body: String,
    /// Time to the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Times between successive parts of the body.
    pub gaps: Vec<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Route of the request.
    pub route: String,
}

/// A client that records all responses.
#[derive(Clone)]
pub struct Caller {
    http: reqwest::Client,
    responses: Arc<Mutex<Vec<Response>>>,
    request_timeout: Duration,
}

impl Caller {
    /// A caller that waits for each response for `request_timeout` at most.
    pub fn new(request_timeout: Duration) -> Caller {
        let http = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS settings always builds");
        Caller { http, responses: Arc::default(), request_timeout }
    }

    /// All responses so far.
    pub fn responses(&self) -> Vec<Response> {
        self.responses.lock().clone()
    }

    /// Sends a request to a box.
    pub async fn send(&self, to: SocketAddr, request: &Request) -> Response {
        let start = Instant::now();
        let mut response = Response {
            key: request.key.clone(),
            customer: request.customer.clone(),
            outcome: Outcome::NoResponse,
            reason: String::new(),
            status: 0,
            tokens: 0,
            crossed: false,
            body: String::new(),
            time_to_first_byte: Duration::ZERO,
            gaps: Vec::new(),
            total: Duration::ZERO,
            route: request.route.clone(),
        };
        let receive = self.receive(to, request, start, &mut response);
        if tokio::time::timeout(self.request_timeout, receive).await.is_err() {
            response.outcome = Outcome::NoResponse;
            response.reason = "caller_gave_up".into();
        }
        response.total = start.elapsed();
        self.responses.lock().push(response.clone());
        response
    }

    /// Requests tickets for unrepeatable calls from a box.
    pub async fn tickets(
        &self,
        to: SocketAddr,
        customer: &str,
        budget: &str,
        count: u64,
    ) -> Vec<String> {
        let builder = self.http.post(format!("http://{to}/v1/tickets"));
        let builder = builder.bearer_auth(api_key(customer, budget)).json(&json!({"count": count}));
        let Ok(answer) = builder.send().await else { return Vec::new() };
        let body: Value = answer.json().await.unwrap_or_default();
        let tickets = body["tickets"].as_array().into_iter().flatten();
        tickets.filter_map(|ticket| ticket.as_str().map(str::to_owned)).collect()
    }

    fn build(&self, to: SocketAddr, request: &Request) -> reqwest::RequestBuilder {
        let builder = match request.service {
            true => {
                let url = format!("http://{to}/services/{}/chairs/7", request.route);
                self.http.post(url).body(request.content())
            }
            false => self.http.post(format!("http://{to}/v1/chat/completions")).json(&json!({
                "model": request.route, "stream": request.stream, "max_tokens": request.max_tokens,
                "messages": [{"role": "user", "content": request.content()}],
            })),
        };
        let key = api_key(&request.customer, &request.budget);
        builder.bearer_auth(key).header("idempotency-key", &request.key)
    }

    async fn receive(
        &self,
        to: SocketAddr,
        request: &Request,
        start: Instant,
        response: &mut Response,
    ) {
        let Ok(answer) = self.build(to, request).send().await else { return };
        response.status = answer.status().as_u16();
        let header = answer.headers().get("flintstall-outcome");
        let value = header.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let outcome = match value {
            "answered" => Outcome::Answered,
            "not-run" => Outcome::NotRun,
            "unknown" => Outcome::Unknown,
            _ => Outcome::NoResponse,
        };
        let mut parts = answer.bytes_stream();
        let mut body = Vec::new();
        let mut previous = None;
        while let Some(part) = parts.next().await {
            let Ok(part) = part else { return };
            let now = Instant::now();
            match previous.replace(now) {
                None => response.time_to_first_byte = now - start,
                Some(since) => response.gaps.push(now - since),
            }
            body.extend_from_slice(&part);
        }
        response.outcome = outcome;
        response.body = String::from_utf8_lossy(&body).into_owned();
        evaluate(request, response);
    }
}

fn evaluate(request: &Request, response: &mut Response) {
    if response.outcome != Outcome::Answered {
        let error: Value = serde_json::from_str(&response.body).unwrap_or_default();
        response.reason = error["error"]["code"].as_str().unwrap_or_default().to_owned();
        return;
    }
    if request.service {
        return;
    }
    let text = if request.stream { streamed_text(response) } else { plain_text(response) };
    let words: Vec<&str> = text.split_whitespace().collect();
    response.tokens = words.len() as u64;
    let mark = request.mark();
    let has_mark = |(index, word): (usize, &&str)| **word == format!("{mark}.{index}");
    response.crossed = !words.iter().enumerate().all(has_mark);
}

fn streamed_text(response: &mut Response) -> String {
    let mut text = String::new();
    let mut is_complete = false;
    for line in response.body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            is_complete = true;
            break;
        }
        let event: Value = serde_json::from_str(line).unwrap_or_default();
        text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        if let Some(code) = event["error"]["code"].as_str() {
            response.reason = code.to_owned();
        }
    }
    if !is_complete {
        response.outcome = Outcome::Unknown;
    }
    text
}

fn plain_text(response: &Response) -> String {
    let body: Value = serde_json::from_str(&response.body).unwrap_or_default();
    body["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
}
