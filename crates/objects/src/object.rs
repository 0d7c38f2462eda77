//! Objects, their versions, and the results of writing them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One stored object: its value is JSON text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Kind, such as `ledger`.
    pub kind: Arc<str>,
    /// Name within the kind.
    pub name: Arc<str>,
    /// Version, growing over all objects of the platform.
    pub version: u64,
    /// JSON text.
    pub value: Arc<str>,
}

/// What a conditional write expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// No object: create only.
    Absent,
    /// The object at exactly this version.
    Version(u64),
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// It took effect and made this version.
    Landed(u64),
    /// It did not take effect: the object was not as expected.
    Refused,
    /// It certainly was not carried out: the platform said so before acting.
    Failed,
    /// It may have taken effect, now or later.
    Unknown,
}

/// One change seen by a watch; no value means deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Kind of the object.
    pub kind: Arc<str>,
    /// Name of the object.
    pub name: Arc<str>,
    /// Version this change made.
    pub version: u64,
    /// JSON text, or `None` once deleted.
    pub value: Option<Arc<str>>,
}

/// What a watch returned.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    /// Changes in order of version.
    pub changes: Vec<Change>,
    /// Where the next watch starts.
    pub next: u64,
    /// The platform forgot changes in between: list again.
    pub gap: bool,
}

/// One box of the platform's list.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct Host {
    /// Box name.
    pub name: Arc<str>,
    /// Whether the box is about to go.
    pub leaving: bool,
}
