//! Objects, their versions, and the results of writing them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Kind, such as `ledger`.
    pub kind: Arc<str>,
    /// Name within the kind.
    pub name: Arc<str>,
    /// Version, which grows over all objects of the platform.
    pub version: u64,
    /// JSON text.
    pub value: Arc<str>,
}

/// Precondition of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The object does not exist: create only.
    Absent,
    /// The object has exactly this version.
    Version(u64),
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// The write took effect and created this version.
    Landed(u64),
    /// The write did not take effect: the precondition did not hold.
    Refused,
    /// The write was certainly not carried out: the platform rejected it before acting.
    Failed,
    /// The write may have taken effect, or may still do so.
    Unknown,
}

/// A change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    pub kind: Arc<str>,
    pub name: Arc<str>,
    /// Version that the change created.
    pub version: u64,
    /// JSON text; `None` if the object was deleted.
    pub value: Option<Arc<str>>,
}

/// Result of a watch.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    /// Changes in order of version.
    pub changes: Vec<Change>,
    /// Version from which the next watch starts.
    pub next: u64,
    /// The platform has discarded changes in between: list the objects again.
    pub gap: bool,
}

/// A box in the platform's list.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct Host {
    pub name: Arc<str>,
    /// Whether the box is about to be removed.
    pub leaving: bool,
}
