//! Kinds of resources.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// A kind of resource that operators write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// See [`Customer`](crate::Customer).
    Customer,
    /// See [`Budget`](crate::Budget).
    Budget,
    /// See [`Route`](crate::Route).
    Route,
    /// See [`Pool`](crate::Pool).
    Pool,
    /// See [`Destroyed`](crate::Destroyed).
    Destroyed,
}

impl Kind {
    /// All kinds, in the order in which they are applied.
    pub const ALL: [Kind; 5] =
        [Kind::Budget, Kind::Customer, Kind::Pool, Kind::Route, Kind::Destroyed];

    /// The name used in files and in the platform's store.
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
