//! Dispatching a held call to an endpoint and passing its answer on.

use std::{sync::Arc, time::Duration};

use balance::Failure;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use ledger::Ended;
use reqwest::Response;
use resource::Unresolved;
use serde::Deserialize;
use session::Hold;
use timeline::What;
use wire::Place;

use crate::{
    call::{Call, Payload},
    chat,
    drive::{Flight, Secured, no_endpoint},
    metrics::Stage,
    outcome::{Reason, Unknown},
    requests::{Answer, Driver, Progress},
    service::end_to_end,
    shared::Shared,
    sse::{self, Event, Scanner},
    transcript::{End, Transcript},
};

/// Endpoints tried for one call, each after the last provably did not receive it.
const TRIES: usize = 3;
/// Times that a broken stream is resumed at its engine.
const RESUMES: u32 = 2;
/// Largest answer of a plain service, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// How long a run goes on after its last caller left.
const ABANDONED: Duration = Duration::from_millis(300);
/// First wait between questions for how a run ended.
const ASK_AGAIN: Duration = Duration::from_millis(50);
/// Longest wait between such questions.
const ASK_MOST: Duration = Duration::from_secs(2);

enum Sent {
    /// It answers.
    Answering(Response),
    /// Provably not received.
    NotReceived(Failure),
    /// It may have been received.
    Doubt(Unknown),
}

/// Sends a held chat completion and relays its stream.
pub async fn chat(
    shared: &Arc<Shared>,
    call: &Call,
    driver: &Driver,
    secured: Secured,
    flight: Flight,
) -> Progress {
    let Payload::Chat { body, limit, stream, model } = &call.payload else {
        unreachable!("only chat completions come here");
    };
    let Secured { hold, claim } = secured;
    let dispatch = hold.dispatch();
    let send = |address: &str| {
        let url = format!("http://{address}/v1/chat/completions");
        shared.http.post(url).header(CONTENT_TYPE, "application/json").body(body.clone())
    };
    let (flight, sent) = match dispatch_to(shared, call, &hold, flight, send).await {
        Ok(sent) => sent,
        Err(progress) => return progress,
    };
    let mut relay = Relay::new(shared, call, driver, *limit, *stream);
    let (end, mut flight) = match sent {
        Sent::Answering(response) => relay.follow(response, flight, &dispatch).await,
        Sent::Doubt(unknown) => (Err(unknown), flight),
        Sent::NotReceived(_) => unreachable!("tried elsewhere or refused"),
    };
    if end.is_err() {
        flight.failure = Some(Failure::Broken);
    }
    let charged = relay.settle(hold, &end, &flight);
    if let Some(claim) = claim {
        match &end {
            Ok(()) => claim.answered(relay.claim_answer(model)),
            Err(_) => claim.leave_open(),
        }
    }
    relay.close(end, charged, model)
}

/// Follows a run that another box started; `None` if its engine does not have it any more.
///
/// Whoever started the run has recorded it and is charged for it, so nothing is held here.
pub async fn attach(
    shared: &Arc<Shared>,
    call: &Call,
    driver: &Driver,
    place: &Place,
) -> Option<Progress> {
    let Payload::Chat { limit, stream, model, .. } = &call.payload else { return None };
    if place.by == shared.me() {
        return None;
    }
    let url = format!("http://{}/runs/{}/stream", place.endpoint, place.dispatch);
    let request = shared.http.get(url);
    let Sent::Answering(mut response) = send(request, call.left(), &place.dispatch).await else {
        return None;
    };
    if !response.status().is_success() {
        return None;
    }
    let mut relay = Relay::new(shared, call, driver, *limit, *stream);
    let read = relay.read(&mut response).await;
    let end = match read {
        Ok(()) => Ok(()),
        // Nothing was passed on: the request is run anew.
        Err(_) if relay.first => return None,
        Err(_) => Err(Unknown::Broken),
    };
    shared.log.request(&call.key, &call.caller.budget, What::Replayed);
    Some(relay.close(end, 0, model))
}

/// Sends to the chosen endpoint, and to another while it was provably not received.
async fn dispatch_to(
    shared: &Arc<Shared>,
    call: &Call,
    hold: &Hold,
    mut flight: Flight,
    build: impl Fn(&str) -> reqwest::RequestBuilder,
) -> Result<(Flight, Sent), Progress> {
    let mut tried = Vec::new();
    let dispatch = hold.dispatch();
    loop {
        if hold.is_sealed() {
            let message = "this box was taken for gone before it dispatched the request";
            return Err(Progress::Refused(Reason::Replaced.with(message)));
        }
        let endpoint = flight.target.name.clone();
        let what = What::Dispatched { endpoint: endpoint.clone() };
        shared.log.request(&call.key, &call.caller.budget, what);
        let request = build(&flight.target.address)
            .header("x-request-id", &dispatch)
            .header("idempotency-key", format!("{}.{}", call.caller.customer, call.key))
            .header("x-budget", &*call.caller.budget)
            .header("x-priority", call.class().priority().to_string())
            .header("x-stamp", shared.log.stamp().to_string());
        let sent = send(request, call.left(), &dispatch).await;
        match sent {
            Sent::NotReceived(failure) => {
                flight.failure = Some(failure);
                tried.push(endpoint);
                drop(flight);
                let next = (tried.len() < TRIES).then(|| Flight::start(shared, call, &tried));
                flight = next.flatten().ok_or_else(|| Progress::Refused(no_endpoint()))?;
            }
            Sent::Doubt(_) => {
                flight.failure = Some(Failure::Silent);
                return Ok((flight, sent));
            }
            Sent::Answering(_) => {
                note_place(shared, call, &flight, &dispatch);
                return Ok((flight, sent));
            }
        }
    }
}

fn note_place(shared: &Arc<Shared>, call: &Call, flight: &Flight, dispatch: &str) {
    if call.keyed && call.route.repeatable {
        let endpoint = flight.target.address.clone();
        let place = Place { by: shared.me(), endpoint, dispatch: dispatch.into() };
        shared.note_place(&call.caller.customer, &call.key, place);
    }
}

#[derive(Deserialize)]
struct Refused {
    error: RefusedError,
}

#[derive(Deserialize)]
struct RefusedError {
    ran: bool,
}

async fn send(request: reqwest::RequestBuilder, within: Duration, dispatch: &str) -> Sent {
    let answer = match tokio::time::timeout(within, request.send()).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.is_connect() => return Sent::NotReceived(Failure::Silent),
        Ok(Err(_)) | Err(_) => return Sent::Doubt(Unknown::Silent),
    };
    if answer.status() == http::StatusCode::SERVICE_UNAVAILABLE {
        let refused = answer.json::<Refused>().await;
        return match refused {
            Ok(Refused { error: RefusedError { ran: false } }) => {
                Sent::NotReceived(Failure::Refused)
            }
            _ => Sent::Doubt(Unknown::Broken),
        };
    }
    let echoed = answer.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    match echoed {
        // An answer to somebody else is never passed on.
        Some(echoed) if echoed != dispatch => Sent::Doubt(Unknown::Broken),
        _ => Sent::Answering(answer),
    }
}

struct Relay<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    driver: &'a Driver,
    limit: u64,
    transcript: Arc<Transcript>,
    streams: bool,
    counted: u64,
    usage: Option<(u64, u64)>,
    text: String,
    reason: Option<String>,
    first: bool,
}

enum Flow {
    More,
    Whole,
}

impl<'a> Relay<'a> {
    fn new(
        shared: &'a Arc<Shared>,
        call: &'a Call,
        driver: &'a Driver,
        limit: u64,
        streams: bool,
    ) -> Relay<'a> {
        Relay {
            shared,
            call,
            driver,
            limit,
            transcript: Arc::new(Transcript::default()),
            streams,
            counted: 0,
            usage: None,
            text: String::new(),
            reason: None,
            first: true,
        }
    }

    /// Follows the stream to its end, resuming it at the engine if it breaks.
    async fn follow(
        &mut self,
        response: Response,
        flight: Flight,
        dispatch: &str,
    ) -> (Result<(), Unknown>, Flight) {
        let mut response = response;
        if !response.status().is_success() {
            return (Err(Unknown::Broken), flight);
        }
        for _ in 0..=RESUMES {
            match self.read(&mut response).await {
                Ok(()) => return (Ok(()), flight),
                Err(Stop::Abandoned) => return (Err(Unknown::Broken), flight),
                Err(Stop::Broken) => {}
            }
            let url = format!("http://{}/runs/{dispatch}/stream", flight.target.address);
            let request = self.shared.http.get(url).query(&[("from", self.counted)]);
            match send(request, self.call.left().max(ABANDONED), dispatch).await {
                Sent::Answering(again) if again.status().is_success() => response = again,
                _ => return (Err(Unknown::Broken), flight),
            }
        }
        (Err(Unknown::Broken), flight)
    }

    async fn read(&mut self, response: &mut Response) -> Result<(), Stop> {
        let mut scanner = Scanner::default();
        loop {
            let chunk = tokio::select! {
                chunk = response.chunk() => chunk,
                () = self.abandoned() => return Err(Stop::Abandoned),
            };
            let Ok(Some(bytes)) = chunk else { return Err(Stop::Broken) };
            let events = scanner.push(&bytes).map_err(|_| Stop::Broken)?;
            for event in events {
                if let Flow::Whole = self.event(event) {
                    return Ok(());
                }
            }
            if self.streams {
                tokio::select! {
                    () = self.transcript.wait_drained() => {}
                    () = self.abandoned() => return Err(Stop::Abandoned),
                }
            }
        }
    }

    /// Waits until nobody has wanted the answer for a while; never for unrepeatable calls.
    async fn abandoned(&self) {
        let mut since = None;
        loop {
            tokio::time::sleep(ABANDONED / 3).await;
            let wanted = self.driver.is_wanted() || !self.call.route.repeatable;
            since = match (wanted, since) {
                (true, _) => None,
                (false, None) => Some(tokio::time::Instant::now()),
                (false, some) => some,
            };
            if since.is_some_and(|at| at.elapsed() >= ABANDONED) {
                return;
            }
        }
    }

    fn event(&mut self, event: Bytes) -> Flow {
        match sse::classify(&event) {
            Event::Token if self.counted >= self.limit => {
                // The engine overshoots: what the caller paid for ends here.
                self.pass(chat::cut_events(&self.call.key, self.prompt(), self.counted));
                self.reason = Some("length".into());
                self.usage = Some((self.prompt(), self.counted));
                return Flow::Whole;
            }
            Event::Token => {
                self.counted += 1;
                self.collect(&event);
                self.pass(event);
            }
            Event::Usage { prompt, completion } => {
                self.usage = Some((prompt, completion));
                self.collect(&event);
                self.pass(event);
            }
            Event::Done => {
                self.pass(event);
                return Flow::Whole;
            }
            Event::Other => {}
        }
        Flow::More
    }

    fn prompt(&self) -> u64 {
        self.call.worst.saturating_sub(self.limit)
    }

    fn collect(&mut self, event: &[u8]) {
        if !self.streams {
            let (text, reason) = sse::text(event);
            self.text.push_str(&text);
            self.reason = reason.or(self.reason.take());
        }
    }

    fn pass(&mut self, event: Bytes) {
        if std::mem::take(&mut self.first) {
            let class = self.call.class().as_str();
            let seconds = self.call.came.elapsed().as_secs_f64();
            self.shared.metrics.first_byte.get_or_create(&Stage { class }).observe(seconds);
            if self.streams {
                self.driver.streaming(self.transcript.clone());
            }
        }
        if self.streams {
            self.transcript.push(event);
        }
    }

    /// Charges what the engine reported, or leaves it to whoever finds out how the run ended.
    fn settle(&self, hold: Hold, end: &Result<(), Unknown>, flight: &Flight) -> u64 {
        match (end, self.usage) {
            (Ok(()), Some((prompt, output))) => {
                let overshot = output >= self.limit && self.counted >= self.limit;
                if overshot {
                    self.shared.tasks.spawn(cancel(self.shared.clone(), flight, &hold));
                }
                hold.finish(prompt + output, Ended::Answered)
            }
            _ => {
                let asking = ask_until_ended(self.shared.clone(), hold, flight);
                self.shared.tasks.spawn(asking);
                0
            }
        }
    }

    fn claim_answer(&self, model: &str) -> claim::Answer {
        let body = (!self.streams).then(|| self.completion(model));
        let text = body.and_then(|body| String::from_utf8(body.to_vec()).ok());
        claim::Answer {
            status: 200,
            content_type: "application/json".into(),
            body: text.filter(|text| text.len() <= claim::MAX_ANSWER).map(Into::into),
        }
    }

    fn completion(&self, model: &str) -> Bytes {
        let (prompt, output) = self.usage.unwrap_or((self.prompt(), self.counted));
        let reason = self.reason.as_deref().unwrap_or("stop");
        chat::completion(model, &self.call.key, &self.text, reason, prompt, output)
    }

    fn close(self, end: Result<(), Unknown>, charged: u64, model: &str) -> Progress {
        let budget = &self.call.caller.budget;
        if end.is_ok() {
            self.shared.metrics.tokens.inc_by(charged);
            self.shared.log.request(&self.call.key, budget, What::Answered { tokens: charged });
        }
        match (end, self.streams, self.first) {
            (Ok(()), true, _) => {
                self.transcript.end(End::Whole);
                Progress::Streaming(self.transcript)
            }
            (Err(unknown), true, false) => {
                self.transcript.end(End::Broken(unknown));
                Progress::Streaming(self.transcript)
            }
            (Err(unknown), ..) => Progress::Unknown(unknown),
            (Ok(()), false, _) => {
                let body = self.completion(model);
                let mut headers = http::HeaderMap::new();
                headers.insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
                Progress::Answered(Arc::new(Answer { status: 200, headers, body }))
            }
        }
    }
}

enum Stop {
    /// The stream broke off.
    Broken,
    /// Nobody wants the answer any more.
    Abandoned,
}

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum Report {
    Running,
    Ended { prompt_tokens: u64, output_tokens: u64 },
    Unknown,
}

/// Asks an engine how a run stands; `None` without an answer.
async fn ask(shared: &Shared, address: &str, dispatch: &str) -> Option<Report> {
    let url = format!("http://{address}/runs/{dispatch}");
    let limit = Duration::from_millis(shared.settings.limits.connect_ms);
    let answer = shared.http.get(url).timeout(limit).send().await.ok()?;
    answer.json().await.ok()
}

/// Tokens used by a run of `dispatch`, once one of the endpoints says that it ended.
pub async fn ended_run(shared: &Shared, endpoint: &str, dispatch: &str) -> Option<u64> {
    for address in shared.endpoints.engines_beside(endpoint) {
        if let Some(Report::Ended { prompt_tokens, output_tokens }) =
            ask(shared, &address, dispatch).await
        {
            return Some(prompt_tokens + output_tokens);
        }
    }
    None
}

fn cancel(
    shared: Arc<Shared>,
    flight: &Flight,
    hold: &Hold,
) -> impl Future<Output = ()> + Send + use<> {
    let url = format!("http://{}/runs/{}/cancel", flight.target.address, hold.dispatch());
    async move {
        let limit = Duration::from_millis(shared.settings.limits.connect_ms);
        let _ = shared.http.post(url).timeout(limit).send().await;
    }
}

/// Cancels a run that nobody follows, and keeps its tokens held until its end is known.
fn ask_until_ended(
    shared: Arc<Shared>,
    hold: Hold,
    flight: &Flight,
) -> impl Future<Output = ()> + Send + use<> {
    let address = flight.target.address.clone();
    let cancel = cancel(shared.clone(), flight, &hold);
    async move {
        cancel.await;
        let dispatch = hold.dispatch();
        let end = tokio::time::Instant::now()
            + Duration::from_millis(shared.settings.money.resolve_after_ms);
        let mut wait = ASK_AGAIN;
        while tokio::time::Instant::now() < end {
            if let Some(Report::Ended { prompt_tokens, output_tokens }) =
                ask(&shared, &address, &dispatch).await
            {
                hold.finish(prompt_tokens + output_tokens, Ended::Broken);
                return;
            }
            tokio::time::sleep(wait + shared.jitter(wait)).await;
            wait = (wait * 2).min(ASK_MOST);
        }
        rule(&shared, hold);
    }
}

/// Ends a request that nobody can account for, by its budget's declared rule.
fn rule(shared: &Shared, hold: Hold) {
    let ended = ruled(shared, &hold.record().budget);
    let reserved = hold.record().reserved;
    hold.finish(reserved, ended);
}

/// How the declared rule of a budget ends a request.
pub fn ruled(shared: &Shared, budget: &str) -> Ended {
    let snapshot = shared.config.borrow().clone();
    match snapshot.budgets.get(budget).map(|spec| spec.unresolved) {
        Some(Unresolved::BillNothing) => Ended::Waived,
        Some(Unresolved::ChargeReserved) | None => Ended::Broken,
    }
}

/// Sends a held call to a plain service and returns its answer.
pub async fn service(
    shared: &Arc<Shared>,
    call: &Call,
    secured: Secured,
    flight: Flight,
) -> Progress {
    let Payload::Service { method, path, headers, body } = &call.payload else {
        unreachable!("only calls of plain services come here");
    };
    let Secured { hold, claim } = secured;
    let send = |address: &str| {
        let url = format!("http://{address}/{path}");
        shared.http.request(method.clone(), url).headers(headers.clone()).body(body.clone())
    };
    let (mut flight, sent) = match dispatch_to(shared, call, &hold, flight, send).await {
        Ok(sent) => sent,
        Err(progress) => return progress,
    };
    let answer = match sent {
        Sent::Answering(response) => read_answer(response, call.left()).await,
        Sent::Doubt(unknown) => Err(unknown),
        Sent::NotReceived(_) => unreachable!("tried elsewhere or refused"),
    };
    match answer {
        Err(unknown) => {
            flight.failure = Some(Failure::Broken);
            rule(shared, hold);
            if let Some(claim) = claim {
                claim.leave_open();
            }
            Progress::Unknown(unknown)
        }
        Ok(answer) => {
            let charged = hold.finish(call.worst, Ended::Answered);
            shared.metrics.tokens.inc_by(charged);
            let what = What::Answered { tokens: charged };
            shared.log.request(&call.key, &call.caller.budget, what);
            if let Some(claim) = claim {
                claim.answered(kept(&answer));
            }
            Progress::Answered(Arc::new(answer))
        }
    }
}

async fn read_answer(mut response: Response, within: Duration) -> Result<Answer, Unknown> {
    let status = response.status().as_u16();
    let headers = end_to_end(response.headers());
    let mut body = Vec::new();
    let reading = async {
        while let Some(chunk) = response.chunk().await.map_err(|_| Unknown::Broken)? {
            if body.len() + chunk.len() > MAX_ANSWER {
                return Err(Unknown::Broken);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    tokio::time::timeout(within, reading).await.map_err(|_| Unknown::Broken)??;
    Ok(Answer { status, headers, body: body.into() })
}

fn kept(answer: &Answer) -> claim::Answer {
    let content_type = answer.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let text = std::str::from_utf8(&answer.body).ok();
    claim::Answer {
        status: answer.status,
        content_type: content_type.unwrap_or("application/octet-stream").into(),
        body: text.filter(|text| text.len() <= claim::MAX_ANSWER).map(Into::into),
    }
}
