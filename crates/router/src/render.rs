//! Writes outcomes as HTTP responses.

use bytes::Bytes;
use salvo::{Response, http::StatusCode};
use serde_json::json;

use crate::{
    answer::Answer,
    outcome::{Refusal, Unknown},
};

/// Header with the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "flintstall-outcome";
/// Header with the request's idempotency key.
pub const REQUEST: &str = "x-request-id";

/// Writes a refusal: the request did not run.
pub fn refusal(response: &mut Response, refusal: &Refusal, request: &str) {
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
        let _ = response.add_header("retry-after", seconds.to_string(), true);
    }
    let reason = refusal.reason.as_str();
    error(response, refusal.reason.status(), "not-run", reason, &refusal.message, request);
}

/// Writes that the request may have run, or that it ran and its answer is lost.
pub fn unknown(response: &mut Response, unknown: Unknown, request: &str) {
    error(response, unknown.status(), "unknown", unknown.as_str(), unknown.message(), request);
}

fn error(
    response: &mut Response,
    status: StatusCode,
    outcome: &str,
    reason: &str,
    message: &str,
    request: &str,
) {
    response.status_code(status);
    let _ = response.add_header(OUTCOME, outcome.to_owned(), true);
    let _ = response.add_header(REQUEST, request.to_owned(), true);
    let _ = response.add_header("content-type", "application/json", true);
    let body = json!({"error": {
        "message": message, "type": outcome, "code": reason, "outcome": outcome,
        "request_id": request,
    }});
    let _ = response.write_body(body.to_string());
}

/// Writes a complete answer.
pub fn answer(response: &mut Response, answer: &Answer, request: &str) {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    response.status_code(status);
    for (name, value) in &answer.headers {
        response.headers_mut().append(name, value.clone());
    }
    let _ = response.add_header(OUTCOME, "answered", true);
    let _ = response.add_header(REQUEST, request.to_owned(), true);
    let _ = response.write_body(answer.body.clone());
}

/// Final event of an incomplete stream.
pub fn error_event(unknown: Unknown) -> Bytes {
    let body = json!({"error": {
        "message": unknown.message(), "type": "unknown", "code": unknown.as_str(),
        "outcome": "unknown",
    }});
    format!("event: error\ndata: {body}\n\n").into()
}
