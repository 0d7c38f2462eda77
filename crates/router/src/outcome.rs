//! Outcomes without a complete answer: "not run" or "unknown", each with a reason.

use std::time::Duration;

use salvo::http::StatusCode;

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No API key, or a wrong one.
    Unauthenticated,
    /// The customer may not use this route.
    Forbidden,
    /// No such route.
    NoRoute,
    /// The request is not valid.
    Malformed,
    /// The body is larger than the route allows.
    TooLarge,
    /// The key was used for another request.
    KeyReused,
    /// The budget has not enough tokens left.
    BudgetExhausted,
    /// The platform is unreachable and the offline part is used up.
    OfflineExhausted,
    /// The platform is unreachable and this call must not run twice.
    ClaimUnreachable,
    /// No endpoint is available.
    NoEndpoint,
    /// Too many requests in flight of this customer or on this route.
    LimitReached,
    /// The request could not start before its deadline.
    Overloaded,
    /// This router is being stopped.
    Stopping,
    /// Another box sealed this box's journal.
    Replaced,
}

/// A refusal; it guarantees that the request did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Reason, for programs.
    pub reason: Reason,
    /// Explanation, for people.
    pub message: String,
    /// Delay before a retry, where known.
    pub retry_after: Option<Duration>,
}

/// Why it is unknown whether the request ran, or what it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Unknown {
    /// The endpoint did not answer.
    NoResponse,
    /// The answer was incomplete, or belonged to another request.
    Incomplete,
    /// An earlier attempt may have run.
    Claimed,
    /// It ran, but its answer was not stored.
    NotStored,
}

impl Reason {
    /// Name for programs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Unauthenticated => "unauthenticated",
            Reason::Forbidden => "forbidden",
            Reason::NoRoute => "no_route",
            Reason::Malformed => "malformed",
            Reason::TooLarge => "too_large",
            Reason::KeyReused => "key_reused",
            Reason::BudgetExhausted => "budget_exhausted",
            Reason::OfflineExhausted => "offline_exhausted",
            Reason::ClaimUnreachable => "claim_unreachable",
            Reason::NoEndpoint => "no_endpoint",
            Reason::LimitReached => "limit_reached",
            Reason::Overloaded => "overloaded",
            Reason::Stopping => "stopping",
            Reason::Replaced => "replaced",
        }
    }

    /// HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
            Reason::Forbidden => StatusCode::FORBIDDEN,
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::Malformed => StatusCode::BAD_REQUEST,
            Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Reason::LimitReached => StatusCode::TOO_MANY_REQUESTS,
            Reason::OfflineExhausted
            | Reason::ClaimUnreachable
            | Reason::NoEndpoint
            | Reason::Overloaded
            | Reason::Stopping
            | Reason::Replaced => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// A refusal without a retry delay.
    pub fn with(self, message: impl Into<String>) -> Refusal {
        Refusal { reason: self, message: message.into(), retry_after: None }
    }

    /// A refusal with a retry delay.
    pub fn after(self, message: impl Into<String>, retry_after: Duration) -> Refusal {
        Refusal { reason: self, message: message.into(), retry_after: Some(retry_after) }
    }
}

impl Unknown {
    /// Name for programs.
    pub fn as_str(self) -> &'static str {
        match self {
            Unknown::NoResponse => "endpoint_silent",
            Unknown::Incomplete => "answer_broken",
            Unknown::Claimed => "claimed",
            Unknown::NotStored => "answer_not_kept",
        }
    }

    /// HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Unknown::NoResponse => StatusCode::GATEWAY_TIMEOUT,
            Unknown::Incomplete => StatusCode::BAD_GATEWAY,
            Unknown::Claimed | Unknown::NotStored => StatusCode::CONFLICT,
        }
    }

    /// Explanation, for people.
    pub fn message(self) -> &'static str {
        match self {
            Unknown::NoResponse => "the endpoint did not answer; the request may have run",
            Unknown::Incomplete => "the answer was incomplete; the request may have run",
            Unknown::Claimed => "an earlier attempt with this key may have run",
            Unknown::NotStored => "the request ran before; its answer was not stored",
        }
    }
}
