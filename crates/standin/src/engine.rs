//! A model engine with continuous batching, prefix cache, priorities, resume, cancel and orders.
//!
//! The prompt sets the length of the output (`tokens=40` asks for 40 tokens), so that tests are
//! reproducible. Runs are independent of their streams, which may break and be resumed.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, stream};
use parking_lot::Mutex;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::StatusCode};
use serde_json::{Value, json};
use tokio::{sync::Notify, time::Instant};

use crate::{
    Server, Speed,
    batch::{Batch, Job},
    cache::{Cache, blocks},
};

/// Output tokens of a prompt without `tokens=`, and output limit of a request without `max_tokens`.
const DEFAULT_OUTPUT: u64 = 16;
/// Bytes of a prompt in one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Samples of the load kept for delayed reports.
const MAX_SAMPLES: usize = 1_024;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Speed and capacity.
    pub speed: Speed,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Age of load reports and cache events.
    pub report_lag: Duration,
    /// Whether orders with a fence older than the newest are refused.
    pub checks_fences: bool,
    /// Time after which a run without a stream is cancelled.
    pub resume_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            speed: Speed::default(),
            cache_blocks: 4_096,
            report_lag: Duration::from_millis(500),
            checks_fences: true,
            resume_timeout: Duration::from_millis(500),
        }
    }
}

/// Faults of an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Never responds.
    pub hang: bool,
    /// Refuses every request.
    pub refuse: bool,
    /// Seconds in the `retry-after` header of each refusal.
    pub retry_after_s: Option<u32>,
    /// Time added to every step.
    pub slow: Duration,
    /// Output tokens beyond the limit.
    pub overshoot: u64,
    /// Responds with the id of another request.
    pub wrong_id: bool,
    /// Breaks streams after this many tokens.
    pub break_after: Option<u64>,
    /// Serves no load report.
    pub hide_load: bool,
    /// Reports that it is leaving.
    pub leaving: bool,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Dispatch id.
    pub id: String,
    /// Request key.
    pub key: String,
    /// Budget that pays.
    pub budget: String,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens produced so far.
    pub output: u64,
    /// Whether it has ended.
    pub ended: bool,
    /// Whether it ended because it was cancelled.
    pub cancelled: bool,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
    /// When the request was accepted.
    pub at: Instant,
}

/// Runs and orders of an engine, for comparison with responses and bills.
#[derive(Debug, Clone, Default)]
pub struct Truth {
    /// All runs in order of arrival.
    pub runs: Vec<Run>,
    /// Accepted orders, each with its fence and its body.
    pub orders: Vec<(u64, Value)>,
}

struct RunState {
    run: Run,
    limit: u64,
    /// Text that each output token carries.
    mark: String,
    /// When the number of open streams last became zero.
    last_stream_closed: Option<Instant>,
    /// Number of open streams.
    streams: u32,
}

struct State {
    batch: Batch,
    cache: Cache,
    /// Number of refused requests.
    refused: usize,
    runs: Vec<RunState>,
    by_id: BTreeMap<String, usize>,
    /// Load over time: requests in the batch and in the queue.
    samples: VecDeque<(Instant, usize, usize)>,
    /// Changes of the prefix cache: whether a block was added or evicted, and its hash.
    cache_events: Vec<(Instant, bool, u64)>,
    fence: u64,
    orders: Vec<(u64, Value)>,
    faults: EngineFaults,
}

struct Shared {
    state: Mutex<State>,
    /// Notified when runs have produced tokens or ended.
    progress: Notify,
    /// Notified when a job arrives.
    work: Notify,
    settings: Settings,
}

/// A model engine on loopback.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Arc<Server>,
    task: Arc<Task>,
}

struct Task(tokio::task::JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Engine {
    /// Starts an engine.
    pub async fn spawn(settings: Settings) -> Engine {
        let state = State {
            batch: Batch::default(),
            cache: Cache::new(settings.cache_blocks),
            refused: 0,
            runs: Vec::new(),
            by_id: BTreeMap::new(),
            samples: VecDeque::new(),
            cache_events: Vec::new(),
            fence: 0,
            orders: Vec::new(),
            faults: EngineFaults::default(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            progress: Notify::new(),
            work: Notify::new(),
            settings,
        });
        let server = Server::spawn(Router::with_path("{**rest}").goal(Api(shared.clone()))).await;
        let task = Task(tokio::spawn(run_steps(shared.clone())));
        Engine { shared, server: Arc::new(server), task: Arc::new(task) }
    }

    /// Address that it listens on.
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    pub fn set(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.state.lock().faults);
    }

    /// Number of requests refused so far.
    pub fn refused(&self) -> usize {
        self.shared.state.lock().refused
    }

    /// Runs and orders so far.
    pub fn truth(&self) -> Truth {
        let state = self.shared.state.lock();
        let runs = state.runs.iter().map(|run_state| run_state.run.clone()).collect();
        Truth { runs, orders: state.orders.clone() }
    }

    /// Stops the engine for good: it runs nothing and responds to nothing.
    pub fn kill(&self) {
        self.task.0.abort();
        self.shared.state.lock().faults.hang = true;
    }
}

async fn run_steps(shared: Arc<Shared>) {
    loop {
        let (step, slow) = {
            let mut state = shared.state.lock();
            cancel_abandoned(&mut state, shared.settings.resume_timeout);
            sample(&mut state);
            (state.batch.step(&shared.settings.speed), state.faults.slow)
        };
        let Some(step) = step else {
            let idle = Duration::from_millis(100);
            let _ = tokio::time::timeout(idle, shared.work.notified()).await;
            continue;
        };
        tokio::time::sleep(step.time + slow).await;
        let mut state = shared.state.lock();
        for number in step.produced {
            let run_state = &mut state.runs[number as usize];
            if !run_state.run.ended {
                run_state.run.output += 1;
            }
        }
        for number in step.done {
            state.runs[number as usize].run.ended = true;
        }
        drop(state);
        shared.progress.notify_waiters();
    }
}

fn cancel_abandoned(state: &mut State, resume_timeout: Duration) {
    let State { runs, batch, .. } = state;
    let first_recent = runs.len().saturating_sub(4_096);
    for (number, run_state) in runs.iter_mut().enumerate().skip(first_recent) {
        let gone = run_state.last_stream_closed.is_some_and(|at| at.elapsed() >= resume_timeout);
        if gone && run_state.streams == 0 && !run_state.run.ended {
            cancel(run_state, batch, number);
        }
    }
}

fn cancel(run_state: &mut RunState, batch: &mut Batch, number: usize) {
    run_state.run.ended = true;
    run_state.run.cancelled = true;
    batch.cancel(number as u64);
}

fn sample(state: &mut State) {
    let (running, waiting) = state.batch.load();
    let due = state.samples.back().is_none_or(|(at, ..)| at.elapsed().as_millis() >= 20);
    if due {
        if state.samples.len() == MAX_SAMPLES {
            state.samples.pop_front();
        }
        state.samples.push_back((Instant::now(), running, waiting));
    }
}

struct Api(Arc<Shared>);

#[async_trait::async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        if self.0.state.lock().faults.hang {
            std::future::pending::<()>().await;
        }
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match parts.as_slice() {
            ["v1", "chat", "completions"] => self.complete(request, response).await,
            ["runs", id] => self.describe(id, response),
            ["runs", id, "stream"] => self.resume(id, request, response),
            ["runs", id, "cancel"] => self.cancel(id, response),
            ["load"] => self.load(response),
            ["cache-events"] => self.cache_events(request, response),
            ["orders"] => self.order(request, response).await,
            _ => drop(response.status_code(StatusCode::NOT_FOUND)),
        }
    }
}

impl Shared {
    /// Whether a request is refused: `Some` with the seconds for `retry-after`, if any.
    fn refusal(&self, body: &Value) -> Option<Option<u32>> {
        let mut state = self.state.lock();
        let refuse = state.faults.refuse || !body["messages"].is_array();
        state.refused += usize::from(refuse);
        refuse.then_some(state.faults.retry_after_s)
    }
}

impl Api {
    async fn complete(&self, request: &mut Request, response: &mut Response) {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (id, key, budget) =
            (header("x-request-id"), header("idempotency-key"), header("x-budget"));
        let priority = header("x-priority").parse().unwrap_or(1);
        let body = match request.payload_with_max_size(64 << 20).await {
            Ok(body) => serde_json::from_slice::<Value>(body).unwrap_or_default(),
            Err(_) => Value::Null,
        };
        if let Some(retry_after_s) = self.0.refusal(&body) {
            let _ = response.add_header("x-request-id", self.response_id(&id), true);
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            if let Some(seconds) = retry_after_s {
                let _ = response.add_header("retry-after", seconds.to_string(), true);
            }
            json_body(response, &json!({"error": {"message": "not accepted", "ran": false}}));
            return;
        }
        let prompt = prompt_of(&body);
        let limit = body["max_tokens"].as_u64().unwrap_or(DEFAULT_OUTPUT);
        let run = Run {
            id: id.clone(),
            key,
            budget,
            prompt: (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN),
            output: 0,
            ended: false,
            cancelled: false,
            cached: 0,
            at: Instant::now(),
        };
        let number = self.admit(run, &prompt, limit, priority);
        self.stream(number, 0, response);
    }

    fn admit(&self, mut run: Run, prompt: &str, limit: u64, priority: u8) -> usize {
        let mut state = self.0.state.lock();
        let blocks = blocks(prompt.as_bytes());
        let hits = state.cache.hits(&blocks) as u64;
        run.cached = hits * crate::cache::BLOCK_BYTES as u64 / BYTES_PER_TOKEN;
        let (added, dropped) = state.cache.insert(&blocks);
        let now = Instant::now();
        let events = added.into_iter().map(|block| (now, true, block));
        let events = events.chain(dropped.into_iter().map(|block| (now, false, block)));
        state.cache_events.extend(events);
        let number = state.runs.len();
        let output = requested_output(prompt).min(limit) + state.faults.overshoot;
        let prefill = run.prompt.saturating_sub(run.cached);
        state.batch.push(Job { number: number as u64, priority, prefill, output });
        state.by_id.insert(run.id.clone(), number);
        let mark = mark_of(prompt);
        state.runs.push(RunState { run, limit, mark, last_stream_closed: None, streams: 0 });
        drop(state);
        self.0.work.notify_one();
        number
    }

    /// The id in the response to a request.
    fn response_id(&self, id: &str) -> String {
        let wrong_id = self.0.state.lock().faults.wrong_id;
        if wrong_id { "someone-else".to_owned() } else { id.to_owned() }
    }

    fn stream(&self, number: usize, from: u64, response: &mut Response) {
        let id = self.0.state.lock().runs[number].run.id.clone();
        let _ = response.add_header("x-request-id", self.response_id(&id), true);
        let _ = response.add_header("content-type", "text/event-stream", true);
        response.stream(tokens(Reader::open(self.0.clone(), number, from)));
    }

    fn describe(&self, id: &str, response: &mut Response) {
        let state = self.0.state.lock();
        let Some(number) = state.by_id.get(id) else {
            json_body(response, &json!({"state": "unknown"}));
            return;
        };
        let run = &state.runs[*number].run;
        let state_name = if run.ended { "ended" } else { "running" };
        let answer = json!({
            "state": state_name, "prompt_tokens": run.prompt, "output_tokens": run.output,
            "cancelled": run.cancelled,
        });
        json_body(response, &answer);
    }

    fn resume(&self, id: &str, request: &mut Request, response: &mut Response) {
        let from = request.query("from").unwrap_or(0);
        let number = self.0.state.lock().by_id.get(id).copied();
        match number {
            None => drop(response.status_code(StatusCode::NOT_FOUND)),
            Some(number) => self.stream(number, from, response),
        }
    }

    fn cancel(&self, id: &str, response: &mut Response) {
        let mut state = self.0.state.lock();
        let State { by_id, runs, batch, .. } = &mut *state;
        match by_id.get(id) {
            None => drop(response.status_code(StatusCode::NOT_FOUND)),
            Some(number) if !runs[*number].run.ended => {
                cancel(&mut runs[*number], batch, *number);
                self.0.progress.notify_waiters();
            }
            Some(_) => {}
        }
    }

    fn load(&self, response: &mut Response) {
        let state = self.0.state.lock();
        if state.faults.hide_load {
            response.status_code(StatusCode::NOT_FOUND);
            return;
        }
        let lag = self.0.settings.report_lag;
        let old = state.samples.iter().rev().find(|(at, ..)| at.elapsed() >= lag);
        let (age, running, waiting) =
            old.map_or((lag, 0, 0), |(at, running, waiting)| (at.elapsed(), *running, *waiting));
        let report = json!({
            "running": running, "waiting": waiting, "slots": self.0.settings.speed.slots,
            "age_ms": age.as_millis() as u64, "leaving": state.faults.leaving,
        });
        json_body(response, &report);
    }

    fn cache_events(&self, request: &mut Request, response: &mut Response) {
        let from: usize = request.query("from").unwrap_or(0);
        let state = self.0.state.lock();
        let lag = self.0.settings.report_lag;
        let old = state.cache_events.partition_point(|(at, ..)| at.elapsed() >= lag);
        let end = old.min(from + 1_000);
        let fresh = state.cache_events.get(from..end).unwrap_or_default();
        // Drops every seventh event, so that consumers must cope with gaps.
        let kept = fresh.iter().enumerate().filter(|(index, _)| (from + index) % 7 != 6);
        let events: Vec<Value> =
            kept.map(|(_, (_, added, block))| json!({"added": added, "block": block})).collect();
        json_body(response, &json!({"events": events, "next": end.max(from)}));
    }

    async fn order(&self, request: &mut Request, response: &mut Response) {
        if request.method() == salvo::http::Method::GET {
            let state = self.0.state.lock();
            let newest = state.orders.last().map(|(_, order)| order.clone());
            json_body(response, &json!({"fence": state.fence, "order": newest}));
            return;
        }
        let body = request.payload().await.map(|body| body.to_vec()).unwrap_or_default();
        let order: Value = serde_json::from_slice(&body).unwrap_or_default();
        let fence = order["fence"].as_u64().unwrap_or(0);
        let mut state = self.0.state.lock();
        if self.0.settings.checks_fences && fence < state.fence {
            response.status_code(StatusCode::CONFLICT);
            json_body(response, &json!({"fence": state.fence}));
            return;
        }
        state.fence = fence;
        state.orders.push((fence, order));
    }
}

/// A stream's position in a run. Dropping it records when the last stream of the run went away.
struct Reader {
    shared: Arc<Shared>,
    number: usize,
    sent: u64,
    finished: bool,
}

impl Reader {
    fn open(shared: Arc<Shared>, number: usize, from: u64) -> Reader {
        shared.state.lock().runs[number].streams += 1;
        Reader { shared, number, sent: from, finished: false }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock();
        let run_state = &mut state.runs[self.number];
        run_state.streams -= 1;
        if run_state.streams == 0 {
            run_state.last_stream_closed = Some(Instant::now());
        }
    }
}

fn tokens(reader: Reader) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
    stream::unfold(reader, |mut reader| async move {
        if reader.finished {
            return None;
        }
        let chunk = next_chunk(&mut reader).await;
        Some((chunk, reader))
    })
}

async fn next_chunk(reader: &mut Reader) -> Result<Bytes, std::io::Error> {
    loop {
        let shared = reader.shared.clone();
        let progress = shared.progress.notified();
        tokio::pin!(progress);
        progress.as_mut().enable();
        {
            let state = shared.state.lock();
            let run_state = &state.runs[reader.number];
            let broken = state.faults.break_after.is_some_and(|after| reader.sent >= after);
            if broken || run_state.run.cancelled {
                reader.finished = true;
                return Err(std::io::Error::other("the stream broke"));
            }
            if run_state.run.output > reader.sent {
                let text = chunk(run_state, reader.sent);
                reader.sent = run_state.run.output;
                return Ok(text);
            }
            if run_state.run.ended {
                reader.finished = true;
                return Ok(final_chunk(&run_state.run, run_state.limit));
            }
        }
        progress.await;
    }
}

fn chunk(run_state: &RunState, from: u64) -> Bytes {
    let (run, mark) = (&run_state.run, &run_state.mark);
    let mut text = String::new();
    for token in from..run.output {
        text.push_str(&format!(
            "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"choices\":\
             [{{\"index\":0,\"delta\":{{\"content\":\"{mark}.{token} \"}},\"finish_reason\":null}}]}}\n\n",
            run.id
        ));
    }
    text.into()
}

fn final_chunk(run: &Run, limit: u64) -> Bytes {
    let reason = if run.output >= limit { "length" } else { "stop" };
    let end = json!({
        "id": run.id, "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": reason}],
        "usage": {
            "prompt_tokens": run.prompt, "completion_tokens": run.output,
            "total_tokens": run.prompt + run.output,
            "prompt_tokens_details": {"cached_tokens": run.cached},
        },
    });
    format!("data: {end}\n\ndata: [DONE]\n\n").into()
}

fn prompt_of(body: &Value) -> String {
    let messages = body["messages"].as_array().cloned().unwrap_or_default();
    messages.iter().filter_map(|message| message["content"].as_str()).collect()
}

/// The value of `mark=` in the prompt. Each output token carries it, so that a caller can tell its
/// own response from others.
fn mark_of(prompt: &str) -> String {
    let after = prompt.rsplit_once("mark=").map_or("t", |(_, after)| after);
    after.chars().take_while(|c| c.is_ascii_alphanumeric() || *c == '-').collect()
}

fn requested_output(prompt: &str) -> u64 {
    let after = prompt.rsplit_once("tokens=").map(|(_, after)| after);
    let digits = after.map(|text| text.chars().take_while(char::is_ascii_digit));
    digits.and_then(|digits| digits.collect::<String>().parse().ok()).unwrap_or(DEFAULT_OUTPUT)
}

fn json_body(response: &mut Response, value: &Value) {
    let _ = response.add_header("content-type", "application/json", true);
    let _ = response.write_body(value.to_string());
}
