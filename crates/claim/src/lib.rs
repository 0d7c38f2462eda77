//! Claims: the box that creates a claim runs an unrepeatable request, and no other box ever does.
//!
//! The claim must be created in the platform's store before the request is dispatched. It is not
//! deleted while a retry could still arrive. A claim without an outcome means that the outcome is
//! *unknown*, never that the request did not run. Another box may take the claim over only if the
//! claimant itself recorded that it did not dispatch the request.

use std::sync::Arc;

use ledger::Incarnation;
use serde::{Deserialize, Serialize};

/// Largest answer body recorded with a claim, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 10;

/// A recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    pub content_type: Arc<str>,
    /// `None` if the body was too large or not text.
    pub body: Option<Arc<str>>,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The request may be running or have run.
    Open,
    /// The request ran, with this answer.
    Done(Answer),
    /// The claimant recorded that it did not dispatch the request.
    NotRun,
}

/// The claim of one unrepeatable request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Customer that sent the request.
    pub customer: Arc<str>,
    /// Request key.
    pub key: Arc<str>,
    /// Incarnation that may run the request.
    pub by: Incarnation,
    /// Number of the attempt, unique for the incarnation.
    pub attempt: u64,
    /// Hash of the request, to detect a key that is used for two requests.
    pub fingerprint: u64,
    pub state: State,
}

/// What a box that finds a claim has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send the recorded answer.
    Replay(Answer),
    /// Go on: the claim is its own attempt, created although the answer to the write was lost.
    Own,
    /// Answer that it is unknown whether the request ran.
    Unknown,
    /// Take the claim over by a conditional update.
    TakeOver,
    /// Refuse the request without running it, as its key was used for another one.
    Mismatch,
}

impl Claim {
    /// Decides what the attempt `mine` has to do on finding this claim.
    pub fn decide(&self, mine: &Claim) -> Decision {
        match &self.state {
            _ if self.fingerprint != mine.fingerprint => Decision::Mismatch,
            State::Done(answer) => Decision::Replay(answer.clone()),
            State::Open if (&self.by, self.attempt) == (&mine.by, mine.attempt) => Decision::Own,
            State::Open => Decision::Unknown,
            State::NotRun => Decision::TakeOver,
        }
    }

    /// Returns the same claim in another state.
    pub fn with_state(&self, state: State) -> Claim {
        Claim { state, ..self.clone() }
    }

    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("claims always serialize")
    }
}

/// Name of the object that holds the claim of a request.
pub fn object_name(customer: &str, key: &str) -> String {
    let seed = xxhash_rust::xxh3::xxh3_64(customer.as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_128_with_seed(key.as_bytes(), seed);
    format!("{customer}.{hash:032x}")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn claim(by: &str, attempt: u64, state: State) -> Claim {
        let by = Incarnation::from(by);
        Claim { customer: "c".into(), key: "k".into(), by, attempt, fingerprint: 1, state }
    }

    #[test]
    fn only_a_claim_that_did_not_run_is_taken_over() {
        let answer = Answer { status: 200, content_type: "text/plain".into(), body: None };
        let mine = claim("b.1", 1, State::Open);
        let cases = [
            (claim("b.1", 1, State::Open), Decision::Own),
            (claim("b.1", 2, State::Open), Decision::Unknown),
            (claim("a.1", 1, State::Open), Decision::Unknown),
            (claim("a.1", 1, State::NotRun), Decision::TakeOver),
            (claim("a.1", 1, State::Done(answer.clone())), Decision::Replay(answer)),
            (Claim { fingerprint: 2, ..claim("a.1", 1, State::NotRun) }, Decision::Mismatch),
        ];
        for (found, want) in cases {
            assert_eq!(found.decide(&mine), want);
        }
    }
}
