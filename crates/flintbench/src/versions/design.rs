//! Ways for a box to know which version began a stream that it takes up.

/// When a box sends the origins of its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    Always,
    /// Only while the service is not settled, as the box sees it.
    WhileMixed,
    /// As before, and those of all running streams when the service stops being settled.
    WhileMixedAndRunning,
}

/// What a box does with a stream whose origin nobody knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unknown {
    /// Refuses it, unless the directory shows one version for long enough.
    Refused,
    /// The same, but a box counts from its own start.
    RefusedSinceStart,
    /// The same, but a box takes the versions of its first look for those of the time before.
    FirstLook,
    /// Takes the only version before the service was mixed, if that was not long ago.
    Before,
    /// The same for a few seconds.
    JustBefore,
    /// Computes the version again, if all views of the last `views_s` seconds give the same.
    Recomputed { views_s: u32 },
    /// Reads it in the store, where it is some time after the stream began.
    Stored { delay_ms: u32, store: Store },
    /// Computes the version again from a record in the store, which all boxes know before they go by it, if it gives the
    /// same for the last `views_s` seconds.
    OfRecord { views_s: u32, store: Store },
}

/// Whether the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Store {
    Up,
    /// It is away around the fault of the day.
    Away,
}

impl Store {
    /// When a call that is sent now is answered: at once, or once the store is back.
    pub fn answers(self, at: f64) -> f64 {
        let (from, until) = AWAY_S;
        if self == Store::Away && from <= at && at < until { until } else { at }
    }
}

/// Bounds of the time for which the store is away, in seconds.
const AWAY_S: (f64, f64) = (22.0, 28.0);

/// What has to stay the same for a version to be computed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Steady {
    Nothing,
    /// The set of versions.
    Set,
    /// The set of versions, and the number of endpoints of each.
    Counts,
    /// The version computed for the key, in all views of the last `views_s` seconds.
    Key {
        views_s: u32,
    },
}

/// A design.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Design {
    /// Origins are sent to some boxes by a hash of the key.
    Homes { copies: usize, sent: Sent, unknown: Unknown },
    /// The version is a function of the key and the versions seen.
    Recomputed(Steady),
    /// Origins stay with the box that relayed; all boxes are asked.
    AskAll,
    /// Any version.
    Any,
}

impl Design {
    /// Designs by the name under which they are weighed.
    pub const ALL: [(&str, Design); 21] = [
        ("A", homes(2, Sent::Always, Unknown::Refused)),
        ("A1", homes(1, Sent::Always, Unknown::Refused)),
        ("A2", homes(2, Sent::WhileMixed, Unknown::Before)),
        ("A3", homes(2, Sent::Always, Unknown::RefusedSinceStart)),
        ("A4", homes(2, Sent::Always, Unknown::FirstLook)),
        ("A5", homes(2, Sent::WhileMixedAndRunning, Unknown::JustBefore)),
        ("A6", homes(2, Sent::Always, Unknown::Recomputed { views_s: 20 })),
        ("A7", homes(2, Sent::Always, Unknown::Recomputed { views_s: 30 })),
        ("A8", homes(2, Sent::WhileMixed, Unknown::Recomputed { views_s: 30 })),
        ("S", stored(50, Store::Up)),
        ("S1", stored(250, Store::Up)),
        ("S2", stored(50, Store::Away)),
        ("R", of_record(20, Store::Up)),
        ("R1", of_record(10, Store::Up)),
        ("R2", of_record(20, Store::Away)),
        ("B", Design::Recomputed(Steady::Nothing)),
        ("B1", Design::Recomputed(Steady::Set)),
        ("B2", Design::Recomputed(Steady::Counts)),
        ("B3", Design::Recomputed(Steady::Key { views_s: 20 })),
        ("C", Design::AskAll),
        ("D", Design::Any),
    ];

    /// Whether the version of a new stream is a function of its key.
    pub fn is_computed(self) -> bool {
        matches!(
            self,
            Design::Recomputed(_)
                | Design::Homes {
                    unknown: Unknown::Recomputed { .. } | Unknown::OfRecord { .. },
                    ..
                }
        )
    }
}

const fn stored(delay_ms: u32, store: Store) -> Design {
    homes(2, Sent::WhileMixedAndRunning, Unknown::Stored { delay_ms, store })
}

const fn of_record(views_s: u32, store: Store) -> Design {
    homes(2, Sent::WhileMixedAndRunning, Unknown::OfRecord { views_s, store })
}

const fn homes(copies: usize, sent: Sent, unknown: Unknown) -> Design {
    Design::Homes { copies, sent, unknown }
}
