//! Passing the answer of a chat completion on, token by token.

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
    flight::{Flight, Secured},
    metrics::Stage,
    outcome::Unknown,
    requests::{Driver, Progress},
    runs::{ask_until_ended, cancel},
    shared::Shared,
    sse::{self, Event, Scanner},
    transcript::{End, Transcript},
};

/// Times that a broken stream is resumed at its engine.
const RESUMES: u32 = 2;
/// How long a run goes on after its last caller left.
const ABANDONED: Duration = Duration::from_millis(300);

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
    let id = hold.attempt_id();
    let send = |address: &str| {
        let url = format!("http://{address}/v1/chat/completions");
        shared.http.post(url).header(CONTENT_TYPE, "application/json").body(body.clone())
    };
    let (flight, sent) = match dispatch(shared, call, &hold, flight, send).await {
        Ok(sent) => sent,
        Err(progress) => return progress,
    };
    let mut relay = Relay::new(shared, call, driver, *limit, *stream);
    let (end, mut flight) = match sent {
        Sent::Answering(response) => relay.follow(response, flight, &id).await,
        Sent::Doubt(unknown) => (Err(unknown), flight),
        Sent::NotReceived { .. } => unreachable!("tried elsewhere or refused"),
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
    shared.log.add_for_request(&call.key, &call.caller.budget, EventKind::Replayed);
    Some(relay.close(end, 0, model))
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
            body: text.filter(|text| text.len() <= claim::MAX_ANSWER_BYTES).map(Into::into),
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
            self.shared.log.add_for_request(
                &self.call.key,
                budget,
                EventKind::Answered { tokens: charged },
            );
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
