//! Answers of the box's own: what a caller is told when an endpoint's answer does not reach it.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde_json::json;

/// When to come back where an endpoint, a connection or the box was full: some requests end
/// meanwhile.
pub const SOON: Duration = Duration::from_millis(100);

/// Why a request got no answer of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The head or the body is not a proper request.
    Malformed,
    /// The body did not arrive in time.
    BodyLate,
    /// The body is larger than allowed.
    TooLarge,
    /// No configuration was read yet.
    NoConfig,
    /// No such route.
    NoRoute,
    /// No key, or a key that no customer holds.
    NoCustomer,
    /// What remains of the budget cannot hold the request.
    BudgetExhausted,
    /// This box did not get tokens for it in time.
    TokensShort,
    /// Too many bodies are held at once.
    Memory,
    /// No endpoint could be reached or took it.
    NoEndpoint,
    /// Its time was over before it was sent.
    TooLate,
    /// Endpoints ended each time they ran it.
    Quarantined,
    /// Endpoints may have ended when they ran it, which is being found out.
    Unconfirmed,
    /// An endpoint has it and did not answer in time.
    Silent,
    /// An endpoint has it, and its answer was lost or not its own.
    Lost,
}

/// An answer of the box's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// For people.
    pub detail: String,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Reason {
    /// Name for programs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::BodyLate => "body_late",
            Reason::TooLarge => "too_large",
            Reason::NoConfig => "no_config",
            Reason::NoRoute => "no_route",
            Reason::NoCustomer => "no_customer",
            Reason::BudgetExhausted => "budget_exhausted",
            Reason::TokensShort => "tokens_short",
            Reason::Memory => "memory",
            Reason::NoEndpoint => "no_endpoint",
            Reason::TooLate => "too_late",
            Reason::Quarantined => "quarantined",
            Reason::Unconfirmed => "unproved",
            Reason::Silent => "endpoint_silent",
            Reason::Lost => "answer_lost",
        }
    }

    /// HTTP status. 408, 429 and 503 promise that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Reason::Malformed => StatusCode::BAD_REQUEST,
            Reason::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::NoCustomer => StatusCode::UNAUTHORIZED,
            Reason::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Reason::TokensShort => StatusCode::TOO_MANY_REQUESTS,
            Reason::NoConfig
            | Reason::Memory
            | Reason::NoEndpoint
            | Reason::TooLate
            | Reason::Quarantined
            | Reason::Unconfirmed => StatusCode::SERVICE_UNAVAILABLE,
            Reason::Silent => StatusCode::GATEWAY_TIMEOUT,
            Reason::Lost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the request certainly did not run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Reason::Silent | Reason::Lost)
    }

    /// The answer with a detail for people.
    pub fn with(self, detail: impl Into<String>) -> Refusal {
        Refusal { reason: self, detail: detail.into(), retry_after: None }
    }

    /// The answer with a detail and a time to come back.
    pub fn after(self, retry_after: Duration, detail: impl Into<String>) -> Refusal {
        Refusal { reason: self, detail: detail.into(), retry_after: Some(retry_after) }
    }
}

impl Refusal {
    /// The same for what an endpoint said, which tells people more.
    pub fn because(self, said: Refusal) -> Refusal {
        Refusal { detail: said.detail, ..self }
    }

    /// The HTTP answer.
    pub fn response(&self, id: Option<&str>) -> Response<String> {
        let outcome = if self.reason.is_not_run() { "not_run" } else { "unknown" };
        let body = json!({
            "outcome": outcome,
            "reason": self.reason.as_str(),
            "detail": self.detail,
        });
        let mut response = Response::new(format!("{body}\n"));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        id.into_iter().for_each(|id| platform::answer::set_request_id(headers, id));
        self.tell_return(headers);
        if self.reason == Reason::Malformed || self.reason == Reason::TooLarge {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn tell_return(&self, headers: &mut HeaderMap) {
        let Some(after) = self.retry_after else { return };
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
}
