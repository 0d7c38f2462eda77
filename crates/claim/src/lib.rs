//! Claims: whoever creates one runs an unrepeatable request, and nobody else ever does.
//!
//! A claim must land, create-only, before the request is dispatched. It is never deleted while a
//! retry could come; a claim without an outcome means *unknown*, never "not run". Only the
//! claimant's own word that it did not dispatch lets another take the claim over.

use std::sync::Arc;

use ledger::Incarnation;
use serde::{Deserialize, Serialize};

/// Largest answer recorded with a claim, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 10;

/// A recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body, or nothing if it was too large or not text.
    pub body: Option<Arc<str>>,
}

/// How far a claim has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It may be running or have run.
    Open,
    /// It ran, and this was the answer.
    Done(Answer),
    /// The claimant's own word: it was not dispatched.
    NotRun,
}

/// The claim of one unrepeatable request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Customer that asked.
    pub customer: Arc<str>,
    /// Request key.
    pub key: Arc<str>,
    /// Incarnation that may run it.
    pub by: Incarnation,
    /// Number of the attempt, unique for the incarnation.
    pub attempt: u64,
    /// Hash of the request, against a key used for two requests.
    pub fingerprint: u64,
    /// How far it has come.
    pub state: State,
}

/// What a box may do on finding a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Answer what was recorded.
    Replay(Answer),
    /// Own attempt: the create landed although its answer was lost.
    Own,
    /// Say that it is not known whether it ran.
    Unknown,
    /// Take it over by conditional update.
    Take,
    /// The key was used for another request: refuse, not run.
    Mismatch,
}

impl Claim {
    /// Decides for the attempt `mine` that found this claim.
    pub fn decide(&self, mine: &Claim) -> Decision {
        match &self.state {
            _ if self.fingerprint != mine.fingerprint => Decision::Mismatch,
            State::Done(answer) => Decision::Replay(answer.clone()),
            State::Open if (&self.by, self.attempt) == (&mine.by, mine.attempt) => Decision::Own,
            State::Open => Decision::Unknown,
            State::NotRun => Decision::Take,
        }
    }

    /// The same claim with an outcome.
    pub fn with(&self, state: State) -> Claim {
        Claim { state, ..self.clone() }
    }

    /// JSON text for the platform.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("claims always serialize")
    }
}

/// Name of the claim object of a request.
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
    fn only_own_word_lets_another_take_over() {
        let answer = Answer { status: 200, content_type: "text/plain".into(), body: None };
        let mine = claim("b.1", 1, State::Open);
        let cases = [
            (claim("b.1", 1, State::Open), Decision::Own),
            (claim("b.1", 2, State::Open), Decision::Unknown),
            (claim("a.1", 1, State::Open), Decision::Unknown),
            (claim("a.1", 1, State::NotRun), Decision::Take),
            (claim("a.1", 1, State::Done(answer.clone())), Decision::Replay(answer)),
            (Claim { fingerprint: 2, ..claim("a.1", 1, State::NotRun) }, Decision::Mismatch),
        ];
        for (found, want) in cases {
            assert_eq!(found.decide(&mine), want);
        }
    }
}
