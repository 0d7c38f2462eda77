//! Responses of the box itself, sent when a caller cannot get a response of an endpoint.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde_json::json;

use crate::freshness::{Source, Validity};

/// `Retry-After` where an endpoint, its connections or this box are at capacity; some requests
/// complete meanwhile.
pub const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// `Retry-After` while this box lacks tokens or a configuration; a settlement or a read of the
/// configuration has completed by then.
pub const UNREADY_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Why a request got no response of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The head or the body is malformed.
    Malformed,
    /// The body did not arrive in time.
    BodyLate,
    /// The body exceeds the size limit.
    TooLarge,
    /// No configuration has been loaded yet.
    NoConfig,
    /// The configuration has no such route or key, or too little paid, and may have been replaced since.
    ConfigOutdated,
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or belongs to no customer.
    NoCustomer,
    /// The remaining budget does not cover the request.
    BudgetExhausted,
    /// This box did not obtain enough tokens in time.
    TokensShort,
    /// The memory for request bodies is exhausted.
    Memory,
    /// No endpoint was reachable and accepted the request.
    NoEndpoint,
    /// It is not known at which software version the stream that it takes up began.
    VersionUnknown,
    /// No endpoint runs the software version that began the stream.
    VersionGone,
    /// The deadline passed before the request was sent.
    TooLate,
    /// Endpoints crashed each time they ran the request.
    Quarantined,
    /// Endpoints may have crashed on the request; this is being verified.
    Unconfirmed,
    /// An endpoint got the request and did not respond in time.
    Silent,
    /// An endpoint got the request, and its response was lost or belongs to another request.
    Lost,
}

/// What a denial rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Denial {
    /// What the configuration does not have: a host and path, or the hash of a key.
    pub missing: String,
    pub validity: Validity,
    /// Time since the store confirmed the configuration; `None` if it never did.
    pub age: Option<Duration>,
    /// Who confirmed it.
    pub source: Option<Source>,
    /// Time since the start of the box.
    pub up: Duration,
}

/// A response of the box itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    pub reason: Reason,
    /// Explanation for humans.
    pub detail: String,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Reason {
    /// Machine-readable name.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::BodyLate => "body_late",
            Reason::TooLarge => "too_large",
            Reason::NoConfig => "no_config",
            Reason::ConfigOutdated => "config_outdated",
            Reason::NoRoute => "no_route",
            Reason::NoCustomer => "no_customer",
            Reason::BudgetExhausted => "budget_exhausted",
            Reason::TokensShort => "tokens_short",
            Reason::Memory => "memory",
            Reason::NoEndpoint => "no_endpoint",
            Reason::VersionUnknown => "version_unknown",
            Reason::VersionGone => "version_gone",
            Reason::TooLate => "too_late",
            Reason::Quarantined => "quarantined",
            Reason::Unconfirmed => "unproved",
            Reason::Silent => "endpoint_silent",
            Reason::Lost => "answer_lost",
        }
    }

    /// HTTP status. 408, 429 and 503 guarantee that the request has not run and never will.
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
            | Reason::ConfigOutdated
            | Reason::Memory
            | Reason::NoEndpoint
            | Reason::VersionUnknown
            | Reason::VersionGone
            | Reason::TooLate
            | Reason::Quarantined
            | Reason::Unconfirmed => StatusCode::SERVICE_UNAVAILABLE,
            Reason::Silent => StatusCode::GATEWAY_TIMEOUT,
            Reason::Lost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the request is known not to have run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Reason::Silent | Reason::Lost)
    }

    /// A refusal without a time to retry.
    pub fn with(self, detail: impl Into<String>) -> Refusal {
        Refusal { reason: self, detail: detail.into(), retry_after: None }
    }

    /// A refusal that may be retried after a delay.
    pub fn after(self, retry_after: Duration, detail: impl Into<String>) -> Refusal {
        Refusal { reason: self, detail: detail.into(), retry_after: Some(retry_after) }
    }
}

impl Refusal {
    /// The route names no service.
    pub fn no_service() -> Refusal {
        Reason::NoEndpoint.after(UNREADY_RETRY_DELAY, "the route has no service")
    }

    /// Replaces the detail with the more specific one of an earlier failure.
    pub fn with_detail_of(self, cause: Refusal) -> Refusal {
        Refusal { detail: cause.detail, ..self }
    }

    /// The refusal of a request that may have run, which no promise fits.
    pub fn without_promise(self) -> Refusal {
        match self.reason.is_not_run() {
            true => Reason::Lost.with(self.detail),
            false => self,
        }
    }

    /// The HTTP response.
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
        self.insert_retry_after(headers);
        if self.reason == Reason::Malformed || self.reason == Reason::TooLarge {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn insert_retry_after(&self, headers: &mut HeaderMap) {
        let Some(after) = self.retry_after else { return };
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
}
