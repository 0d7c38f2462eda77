//! Sending a held call to an endpoint, and to another while it was provably not received.

use std::{sync::Arc, time::Duration};

use balance::Failure;
use reqwest::Response;
use serde::Deserialize;
use session::Hold;
use timeline::EventKind;
use wire::Place;

use crate::{
    call::Call,
    flight::{Flight, no_endpoint},
    outcome::{Reason, Unknown},
    requests::Progress,
    shared::Shared,
};

/// Endpoints tried for one call, each after the last provably did not receive it.
const TRIES: usize = 3;

/// What came of sending.
pub enum Sent {
    /// It answers.
    Answering(Response),
    /// Provably not received, and how long the endpoint wants nothing from this box, if it said so.
    NotReceived { failure: Failure, rest: Option<Duration> },
    /// It may have been received.
    Doubt(Unknown),
}

/// Sends to the chosen endpoint, and to another while it was provably not received.
pub async fn dispatch(
    shared: &Arc<Shared>,
    call: &Call,
    hold: &Hold,
    mut flight: Flight,
    build: impl Fn(&str) -> reqwest::RequestBuilder,
) -> Result<(Flight, Sent), Progress> {
    let mut tried = Vec::new();
    let dispatch = hold.attempt_id();
    loop {
        if hold.is_sealed() {
            let message = "this box was taken for gone before it dispatched the request";
            return Err(Progress::Refused(Reason::Replaced.with(message)));
        }
        let endpoint = flight.target.name.clone();
        let what = EventKind::Dispatched { endpoint: endpoint.clone() };
        shared.log.add_for_request(&call.key, &call.caller.budget, what);
        let request = build(&flight.target.address)
            .header("x-request-id", &dispatch)
            .header("idempotency-key", format!("{}.{}", call.caller.customer, call.key))
            .header("x-budget", &*call.caller.budget)
            .header("x-priority", call.class().priority().to_string())
            .header("x-stamp", shared.log.stamp().to_string());
        let sent = send(request, call.left(), &dispatch).await;
        match sent {
            Sent::NotReceived { failure, rest } => {
                if let Some(rest) = rest {
                    shared.endpoints.rest(&flight.target.name, rest, shared.now());
                }
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

/// Sends one request; what was received and what was not is told apart.
pub async fn send(request: reqwest::RequestBuilder, within: Duration, dispatch: &str) -> Sent {
    let answer = match tokio::time::timeout(within, request.send()).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.is_connect() => {
            return Sent::NotReceived { failure: Failure::Silent, rest: None };
        }
        Ok(Err(_)) | Err(_) => return Sent::Doubt(Unknown::Silent),
    };
    if answer.status() == http::StatusCode::SERVICE_UNAVAILABLE {
        // A time that cannot be read is none: no engine of this interface asks for it in another form.
        let rest = retry_after::read(answer.headers()).and_then(Result::ok);
        let refused = answer.json::<Refused>().await;
        return match refused {
            Ok(Refused { error: RefusedError { ran: false } }) => {
                Sent::NotReceived { failure: Failure::Refused, rest }
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
