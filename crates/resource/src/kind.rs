//! Kinds of objects in the platform.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// A kind that operators write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Who calls.
    Customer,
    /// What was paid.
    Budget,
    /// Where calls go and under which limits.
    Route,
    /// Endpoints that serve the same model or service.
    Pool,
    /// Declares that an incarnation or box is gone for good.
    Destroyed,
}

impl Kind {
    /// All kinds that operators write, in the order they are applied.
    pub const ALL: [Kind; 5] =
        [Kind::Budget, Kind::Customer, Kind::Pool, Kind::Route, Kind::Destroyed];

    /// The name used in files and in the platform.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Customer => "customer",
            Kind::Budget => "budget",
            Kind::Route => "route",
            Kind::Pool => "pool",
            Kind::Destroyed => "destroyed",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        let found = Kind::ALL.into_iter().find(|kind| kind.as_str() == text);
        let names = Kind::ALL.map(Kind::as_str).join(", ");
        found.ok_or_else(|| format!("`{text}` is not a kind; the kinds are {names}"))
    }
}
