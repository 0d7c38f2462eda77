//! The record of a service in the store, and when it has to be written.
//!
//! A record names a version only if no other was seen for as long as streams can be taken up. It is
//! set to `null` as soon as a second version is seen. A service without a record has not been served
//! before, so the version present at first is the only one so far.

use std::sync::Arc;

use objects::Object;
use serde::{Deserialize, Serialize};

use super::history::{Seen, VersionHistory};

/// Kind of the objects, which are named after the service.
pub const VERSIONS: &str = "soleversions";

/// What the store says about a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The only version at which streams of the service began; `None` if there are several.
    pub sole: Option<Arc<str>>,
}

impl Record {
    /// The record in an object. One that cannot be read names no version.
    pub fn read(object: &Object) -> Record {
        serde_json::from_str(&object.value).unwrap_or_else(|error| {
            tracing::warn!(event = "entry_unreadable", kind = VERSIONS, name = &*object.name, %error);
            Record::default()
        })
    }

    /// The JSON text of its object.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("records always serialize")
    }

    /// The record to write in place of this one, if it has to change.
    pub fn next(
        current: Option<&Record>,
        service: &str,
        history: &VersionHistory,
        now_ms: u64,
    ) -> Option<Record> {
        let sole = match (history.seen(service, now_ms), current.map(|record| &record.sole)) {
            (Seen::Nothing, _) => return None,
            (Seen::Several, _) => None,
            (Seen::Sole { version, .. }, None) => Some(version),
            (Seen::Sole { version, .. }, Some(Some(known))) if version == *known => return None,
            (Seen::Sole { .. }, Some(_)) => history.lasting(service, now_ms),
        };
        let next = Record { sole };
        (current != Some(&next)).then_some(next)
    }
}
