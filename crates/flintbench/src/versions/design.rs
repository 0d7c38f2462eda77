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
}

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
    pub const ALL: [(&str, Design); 15] = [
        ("A", homes(2, Sent::Always, Unknown::Refused)),
        ("A1", homes(1, Sent::Always, Unknown::Refused)),
        ("A2", homes(2, Sent::WhileMixed, Unknown::Before)),
        ("A3", homes(2, Sent::Always, Unknown::RefusedSinceStart)),
        ("A4", homes(2, Sent::Always, Unknown::FirstLook)),
        ("A5", homes(2, Sent::WhileMixedAndRunning, Unknown::JustBefore)),
        ("A6", homes(2, Sent::Always, Unknown::Recomputed { views_s: 20 })),
        ("A7", homes(2, Sent::Always, Unknown::Recomputed { views_s: 30 })),
        ("A8", homes(2, Sent::WhileMixed, Unknown::Recomputed { views_s: 30 })),
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
            Design::Recomputed(_) | Design::Homes { unknown: Unknown::Recomputed { .. }, .. }
        )
    }
}

const fn homes(copies: usize, sent: Sent, unknown: Unknown) -> Design {
    Design::Homes { copies, sent, unknown }
}
