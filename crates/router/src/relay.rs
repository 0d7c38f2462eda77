//! Relays the answer of a chat completion, token by token.

use std::{sync::Arc, time::Duration};

use balance::Failure;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use ledger::Ended;
use reqwest::Response;
use session::Hold;
use timeline::EventKind;
use wire::Place;

use crate::{
    answer::Answer,
    call::{Call, Payload},
    chat,
    dispatch::{Sent, dispatch, send},
    in_flight::{InFlight, Prepared},
    metrics::ClassLabel,
    outcome::Unknown,
    requests::{Driver, Progress},
    runs::{cancel, poll_until_ended},
    shared::Shared,
    sse::{self, Event, Scanner},
    transcript::{End, Transcript},
};

/// Times that a broken stream is resumed.
const MAX_RESUMES: u32 = 2;
/// Time that a run goes on after its last caller disconnected.
const ABANDON_TIMEOUT: Duration = Duration::from_millis(300);

/// Dispatches a chat completion whose tokens are reserved, and relays its stream.
pub async fn chat(
    shared: &Arc<Shared>,
    call: &Call,
    driver: &Driver,
    prepared: Prepared,
    in_flight: InFlight,
) -> Progress {
    let Payload::Chat { body, limit, stream, model } = &call.payload else {
        unreachable!("only chat completions are relayed");
    };
    let Prepared { hold, claim } = prepared;
    let attempt_id = hold.attempt_id();
    let send = |address: &str| {
        let url = format!("http://{address}/v1/chat/completions");
        shared.http.post(url).header(CONTENT_TYPE, "application/json").body(body.clone())
    };
    let (in_flight, sent) = match dispatch(shared, call, &hold, in_flight, send).await {
        Ok(sent) => sent,
        Err(progress) => return progress,
    };
    let mut relay = Relay::new(shared, call, driver, *limit, *stream);
    let (end, mut in_flight) = match sent {
        Sent::Answered(response) => relay.read_to_end(response, in_flight, &attempt_id).await,
        Sent::Uncertain(unknown) => (Err(unknown), in_flight),
        Sent::NotRun { .. } => unreachable!("dispatch tries another endpoint or refuses"),
    };
    if end.is_err() {
        in_flight.failure = Some(Failure::Broken);
    }
    let charged = relay.settle(hold, &end, &in_flight);
    if let Some(claim) = claim {
        match &end {
            Ok(()) => claim.answered(relay.claim_answer(model)),
            Err(_) => claim.leave_open(),
        }
    }
    relay.close(end, charged, model)
}

/// Relays a run that another box started; `None` if its engine no longer has it.
///
/// The box that started the run has recorded it and charges for it, so nothing is reserved here.
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
    let Sent::Answered(mut response) = send(request, call.time_left(), &place.dispatch).await
    else {
        return None;
    };
    if !response.status().is_success() {
        return None;
    }
    let mut relay = Relay::new(shared, call, driver, *limit, *stream);
    let read = relay.read(&mut response).await;
    let end = match read {
        Ok(()) => Ok(()),
        // No event arrived, so nothing was sent to the caller: run the request again.
        Err(_) if relay.nothing_received => return None,
        Err(_) => Err(Unknown::Incomplete),
    };
    shared.log.add_for_request(&call.key, &call.caller.budget, EventKind::Replayed);
    Some(relay.close(end, 0, model))
}

struct Relay<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Call,
    driver: &'a Driver,
    limit: u64,
    transcript: Arc<Transcript>,
    is_streamed: bool,
    token_count: u64,
    usage: Option<(u64, u64)>,
    text: String,
    finish_reason: Option<String>,
    nothing_received: bool,
}

enum Flow {
    Continue,
    Complete,
}

impl<'a> Relay<'a> {
    fn new(
        shared: &'a Arc<Shared>,
        call: &'a Call,
        driver: &'a Driver,
        limit: u64,
        is_streamed: bool,
    ) -> Relay<'a> {
        Relay {
            shared,
            call,
            driver,
            limit,
            transcript: Arc::new(Transcript::default()),
            is_streamed,
            token_count: 0,
            usage: None,
            text: String::new(),
            finish_reason: None,
            nothing_received: true,
        }
    }

    /// Reads the stream to its end, resuming it at the engine if it breaks.
    async fn read_to_end(
        &mut self,
        response: Response,
        in_flight: InFlight,
        attempt_id: &str,
    ) -> (Result<(), Unknown>, InFlight) {
        let mut response = response;
        if !response.status().is_success() {
            return (Err(Unknown::Incomplete), in_flight);
        }
        for _ in 0..=MAX_RESUMES {
            match self.read(&mut response).await {
                Ok(()) => return (Ok(()), in_flight),
                Err(Stop::Abandoned) => return (Err(Unknown::Incomplete), in_flight),
                Err(Stop::Broken) => {}
            }
            let url = format!("http://{}/runs/{attempt_id}/stream", in_flight.target.address);
            let request = self.shared.http.get(url).query(&[("from", self.token_count)]);
            match send(request, self.call.time_left().max(ABANDON_TIMEOUT), attempt_id).await {
                Sent::Answered(again) if again.status().is_success() => response = again,
                _ => return (Err(Unknown::Incomplete), in_flight),
            }
        }
        (Err(Unknown::Incomplete), in_flight)
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
                if let Flow::Complete = self.handle_event(event) {
                    return Ok(());
                }
            }
            if self.is_streamed {
                tokio::select! {
                    () = self.transcript.wait_drained() => {}
                    () = self.abandoned() => return Err(Stop::Abandoned),
                }
            }
        }
    }

    /// Waits until no caller has followed the request for a while. Never returns if it must not run
    /// twice.
    async fn abandoned(&self) {
        let mut since = None;
        loop {
            tokio::time::sleep(ABANDON_TIMEOUT / 3).await;
            let wanted = self.driver.is_wanted() || !self.call.route.repeatable;
            since = match (wanted, since) {
                (true, _) => None,
                (false, None) => Some(tokio::time::Instant::now()),
                (false, some) => some,
            };
            if since.is_some_and(|at| at.elapsed() >= ABANDON_TIMEOUT) {
                return;
            }
        }
    }

    fn handle_event(&mut self, event: Bytes) -> Flow {
        match sse::classify(&event) {
            Event::Token if self.token_count >= self.limit => {
                // The engine ignores the output limit: end the answer at the reserved tokens.
                self.forward(chat::truncation_events(
                    &self.call.key,
                    self.prompt_tokens(),
                    self.token_count,
                ));
                self.finish_reason = Some("length".into());
                self.usage = Some((self.prompt_tokens(), self.token_count));
                return Flow::Complete;
            }
            Event::Token => {
                self.token_count += 1;
                self.collect(&event);
                self.forward(event);
            }
            Event::Usage { prompt, completion } => {
                self.usage = Some((prompt, completion));
                self.collect(&event);
                self.forward(event);
            }
            Event::Done => {
                self.forward(event);
                return Flow::Complete;
            }
            Event::Other => {}
        }
        Flow::Continue
    }

    fn prompt_tokens(&self) -> u64 {
        self.call.worst_case.saturating_sub(self.limit)
    }

    fn collect(&mut self, event: &[u8]) {
        if !self.is_streamed {
            let (text, finish_reason) = sse::text(event);
            self.text.push_str(&text);
            self.finish_reason = finish_reason.or(self.finish_reason.take());
        }
    }

    fn forward(&mut self, event: Bytes) {
        if std::mem::take(&mut self.nothing_received) {
            let class = self.call.class().as_str();
            let seconds = self.call.received_at.elapsed().as_secs_f64();
            self.shared.metrics.first_byte.get_or_create(&ClassLabel { class }).observe(seconds);
            if self.is_streamed {
                self.driver.streaming(self.transcript.clone());
            }
        }
        if self.is_streamed {
            self.transcript.push(event);
        }
    }

    /// Charges the reported usage. Without one, a task asks the engine how the run ended.
    fn settle(&self, hold: Hold, end: &Result<(), Unknown>, in_flight: &InFlight) -> u64 {
        match (end, self.usage) {
            (Ok(()), Some((prompt, output))) => {
                let overshot = output >= self.limit && self.token_count >= self.limit;
                if overshot {
                    self.shared.tasks.spawn(cancel(self.shared.clone(), in_flight, &hold));
                }
                hold.finish(prompt + output, Ended::Answered)
            }
            _ => {
                let polling = poll_until_ended(self.shared.clone(), hold, in_flight);
                self.shared.tasks.spawn(polling);
                0
            }
        }
    }

    fn claim_answer(&self, model: &str) -> claim::Answer {
        let body = (!self.is_streamed).then(|| self.completion(model));
        let text = body.and_then(|body| String::from_utf8(body.to_vec()).ok());
        claim::Answer {
            status: 200,
            content_type: "application/json".into(),
            body: text.filter(|text| text.len() <= claim::MAX_ANSWER_BYTES).map(Into::into),
        }
    }

    fn completion(&self, model: &str) -> Bytes {
        let (prompt, output) = self.usage.unwrap_or((self.prompt_tokens(), self.token_count));
        let finish_reason = self.finish_reason.as_deref().unwrap_or("stop");
        chat::completion(model, &self.call.key, &self.text, finish_reason, prompt, output)
    }

    fn close(self, end: Result<(), Unknown>, charged: u64, model: &str) -> Progress {
        let budget = &self.call.caller.budget;
        if end.is_ok() {
            self.shared.metrics.tokens.inc_by(charged);
            self.shared.log.add_for_request(
                &self.call.key,
                budget,
                EventKind::Answered { tokens: charged },
            );
        }
        match (end, self.is_streamed, self.nothing_received) {
            (Ok(()), true, _) => {
                self.transcript.end(End::Complete);
                Progress::Streaming(self.transcript)
            }
            (Err(unknown), true, false) => {
                self.transcript.end(End::Incomplete(unknown));
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

/// Why reading a stream ended early.
enum Stop {
    /// The stream broke off.
    Broken,
    /// No caller followed the request for [`ABANDON_TIMEOUT`].
    Abandoned,
}
