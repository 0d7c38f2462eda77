//! Sends a call to an endpoint, and to another one if the first provably did not receive it.

use std::{sync::Arc, time::Duration};

use balance::Failure;
use reqwest::Response;
use serde::Deserialize;
use session::Hold;
use timeline::EventKind;
use wire::Place;

use crate::{
    call::Call,
    in_flight::{InFlight, no_endpoint},
    outcome::{Reason, Unknown},
    requests::Progress,
    shared::Shared,
};

/// Most endpoints tried for one call, each after the last one provably did not receive it.
const MAX_TRIES: usize = 3;

/// Result of sending a request to one endpoint.
pub enum Sent {
    /// The endpoint answered with these headers; the body follows.
    Answered(Response),
    /// Provably not run, with the back-off that the endpoint asked for, if any.
    NotRun { failure: Failure, back_off: Option<Duration> },
    /// It may have run.
    Uncertain(Unknown),
}

/// Sends to the chosen endpoint, then to others as long as each provably did not run the call.
pub async fn dispatch(
    shared: &Arc<Shared>,
    call: &Call,
    hold: &Hold,
    mut in_flight: InFlight,
    build: impl Fn(&str) -> reqwest::RequestBuilder,
) -> Result<(InFlight, Sent), Progress> {
    let mut tried = Vec::new();
    let attempt_id = hold.attempt_id();
    loop {
        if hold.is_sealed() {
            let message = "another box sealed this box's journal before the request was dispatched";
            return Err(Progress::Refused(Reason::Replaced.with(message)));
        }
        let endpoint = in_flight.target.name.clone();
        let event = EventKind::Dispatched { endpoint: endpoint.clone() };
        shared.log.add_for_request(&call.key, &call.caller.budget, event);
        let request = build(&in_flight.target.address)
            .header("x-request-id", &attempt_id)
            .header("idempotency-key", format!("{}.{}", call.caller.customer, call.key))
            .header("x-budget", &*call.caller.budget)
            .header("x-priority", call.class().priority().to_string())
            .header("x-stamp", shared.log.stamp().to_string());
        let sent = send(request, call.time_left(), &attempt_id).await;
        match sent {
            Sent::NotRun { failure, back_off } => {
                if let Some(back_off) = back_off {
                    shared.endpoints.back_off(&in_flight.target.name, back_off, shared.now());
                }
                in_flight.failure = Some(failure);
                tried.push(endpoint);
                drop(in_flight);
                let next = (tried.len() < MAX_TRIES).then(|| InFlight::start(shared, call, &tried));
                in_flight = next.flatten().ok_or_else(|| Progress::Refused(no_endpoint()))?;
            }
            Sent::Uncertain(_) => {
                in_flight.failure = Some(Failure::Silent);
                return Ok((in_flight, sent));
            }
            Sent::Answered(_) => {
                report_place(shared, call, &in_flight, &attempt_id);
                return Ok((in_flight, sent));
            }
        }
    }
}

fn report_place(shared: &Arc<Shared>, call: &Call, in_flight: &InFlight, attempt_id: &str) {
    if call.has_caller_key && call.route.repeatable {
        let endpoint = in_flight.target.address.clone();
        let place = Place { by: shared.me(), endpoint, dispatch: attempt_id.into() };
        shared.report_place(&call.caller.customer, &call.key, place);
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

/// Sends one request and decides whether it may have run.
pub async fn send(request: reqwest::RequestBuilder, timeout: Duration, attempt_id: &str) -> Sent {
    let answer = match tokio::time::timeout(timeout, request.send()).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.is_connect() => {
            return Sent::NotRun { failure: Failure::Silent, back_off: None };
        }
        Ok(Err(_)) | Err(_) => return Sent::Uncertain(Unknown::NoResponse),
    };
    let echoed = answer.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    if echoed != Some(attempt_id) {
        // The answer belongs to another request, whatever it says.
        return Sent::Uncertain(Unknown::Incomplete);
    }
    if answer.status() != http::StatusCode::SERVICE_UNAVAILABLE {
        return Sent::Answered(answer);
    }
    // An invalid Retry-After counts as none.
    let back_off = retry_after::read(answer.headers()).and_then(Result::ok);
    match answer.json::<Refused>().await {
        Ok(Refused { error: RefusedError { ran: false } }) => {
            Sent::NotRun { failure: Failure::Refused, back_off }
        }
        _ => Sent::Uncertain(Unknown::Incomplete),
    }
}
