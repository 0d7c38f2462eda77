//! What a caller is told when it gets no whole answer: "not run" or "unknown", and why.

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
    /// The request could not be understood.
    Malformed,
    /// The body is larger than the route allows.
    TooLarge,
    /// The key was used for another request.
    KeyReused,
    /// The budget has not enough tokens left.
    BudgetExhausted,
    /// The platform is out of reach and the offline part is used up.
    OfflineExhausted,
    /// The platform is out of reach and this call may not run twice.
    ClaimUnreachable,
    /// No endpoint could take it.
    NoEndpoint,
    /// Too many requests of this customer or on this route.
    LimitReached,
    /// Too much work of this class for the time the caller waits.
    Overloaded,
    /// This router is being stopped.
    Stopping,
    /// The box found itself replaced.
    Replaced,
}

/// A truthful refusal: the request did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// For people.
    pub message: String,
    /// When to come back, where known.
    pub retry_after: Option<Duration>,
}

/// The request was dispatched, but no whole answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Unknown {
    /// The endpoint did not answer.
    Silent,
    /// The answer broke off or was not this request's.
    Broken,
    /// An earlier attempt may have run.
    Claimed,
    /// It ran, but its answer was not kept.
    NotKept,
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

    /// The refusal with a message.
    pub fn with(self, message: impl Into<String>) -> Refusal {
        Refusal { reason: self, message: message.into(), retry_after: None }
    }

    /// The refusal with a message and a time to come back.
    pub fn after(self, message: impl Into<String>, retry_after: Duration) -> Refusal {
        Refusal { reason: self, message: message.into(), retry_after: Some(retry_after) }
    }
}

impl Unknown {
    /// Name for programs.
    pub fn as_str(self) -> &'static str {
        match self {
            Unknown::Silent => "endpoint_silent",
            Unknown::Broken => "answer_broken",
            Unknown::Claimed => "claimed",
            Unknown::NotKept => "answer_not_kept",
        }
    }

    /// HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Unknown::Silent => StatusCode::GATEWAY_TIMEOUT,
            Unknown::Broken => StatusCode::BAD_GATEWAY,
            Unknown::Claimed | Unknown::NotKept => StatusCode::CONFLICT,
        }
    }

    /// For people.
    pub fn message(self) -> &'static str {
        match self {
            Unknown::Silent => "the endpoint did not answer; the request may have run",
            Unknown::Broken => "the answer broke off; the request may have run",
            Unknown::Claimed => "an earlier attempt with this key may have run",
            Unknown::NotKept => "the request ran before; its answer was not kept",
        }
    }
}
