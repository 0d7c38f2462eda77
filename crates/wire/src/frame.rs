//! Messages between boxes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use balance::{Limit, Prompt, Snapshot};
use ledger::{Bill, Entry, Incarnation, Promise, RangeSet, Supply, Transfer};
use quarantine::{Finding, Fingerprint};
use serde::{Deserialize, Serialize};
use timeline::Timestamp;

/// A frame with its sender and time stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: Incarnation,
    /// Hybrid logical clock of the sender.
    pub stamp: Timestamp,
    pub frame: Frame,
}

/// State that boxes exchange periodically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Requests in flight to endpoints, by pool.
    pub in_flight: Vec<(Arc<str>, Vec<Snapshot>)>,
    /// Newest source version of the configuration in force.
    #[serde(rename = "newest")]
    pub newest_version: u64,
    /// Sum of all versions in force, which reveals a gap below the newest.
    #[serde(rename = "versions")]
    pub version_sum: u64,
    #[serde(rename = "platform")]
    pub is_platform_reachable: bool,
}

/// Where a request is or was executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Incarnation of the box that executes it.
    pub by: Incarnation,
    /// Address of the endpoint.
    pub endpoint: Arc<str>,
    /// Id of the dispatch.
    pub dispatch: Arc<str>,
}

/// What the box that tracks an idempotency key knows about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Location {
    /// Nobody executes the request: the sender may.
    Nowhere,
    /// Another incarnation is about to execute it.
    #[serde(rename = "Soon")]
    Pending,
    /// It is or was executed there.
    Place(Place),
}

/// A stored object, as read on behalf of another box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    pub kind: Arc<str>,
    pub name: Arc<str>,
    pub version: u64,
    /// JSON text.
    pub value: Arc<str>,
}

/// Result of a write on behalf of another box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// The write took effect and created this version.
    Landed(u64),
    /// The object was not in the expected state.
    Refused,
    /// The write was certainly not carried out.
    Failed,
    /// The write may have taken effect.
    Unknown,
}

/// A platform call on behalf of a box that does not reach the platform itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformCall {
    /// Reads one object.
    Get { kind: Arc<str>, name: Arc<str> },
    /// Reads all objects of a kind whose names start with a prefix.
    List { kind: Arc<str>, prefix: Arc<str> },
    /// Writes an object; version 0 creates it and fails if it exists.
    Put { kind: Arc<str>, name: Arc<str>, value: String, version: u64 },
    /// Deletes an object.
    Delete { kind: Arc<str>, name: Arc<str>, version: u64 },
}

/// Usage totals and demand that a box sends to its keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    /// Incarnation of the keeper that is addressed; another one does not have the totals before.
    pub keeper: Incarnation,
    /// Customers with new totals or demand.
    pub items: Vec<ledger::Demand>,
    /// How long the keeper may wait for tokens, in milliseconds.
    pub within_ms: u64,
    /// The sender is about to stop; this is its last message.
    #[serde(rename = "leaves")]
    pub is_stopping: bool,
}

/// A keeper's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drawn {
    /// Customers that were asked for.
    pub items: Vec<Supply>,
    /// The keeper does not reach the store; another one may.
    #[serde(rename = "cut")]
    pub is_store_unreachable: bool,
    /// The keeper is about to stop: unused tokens go back to it, and another keeper is to be used.
    #[serde(rename = "leaves")]
    pub is_stopping: bool,
}

/// Address and capacity of a box that has just registered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Availability zone of the box.
    pub zone: Arc<str>,
    /// Address on which it serves other boxes.
    pub peer: SocketAddr,
    /// Its capacity, for the choice of keepers and watchers.
    #[serde(rename = "strength")]
    pub capacity: u64,
    /// Version of its entry in the store.
    pub version: u64,
}

/// A page of bills in its stored form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillPage {
    /// Object name, which only its writer uses.
    pub name: String,
    /// JSON text.
    pub text: String,
}

/// Bills that belong to the same log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Incarnation after which the pages of the log are named.
    pub log: Incarnation,
    /// First page that may show any of the bills, or may not exist yet.
    pub page: u64,
    pub bills: Vec<Bill>,
}

/// State of the bills that a box holds for another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// First page of the receiver's own log that is not known to exist.
    pub next_page: u64,
    /// Numbers of the sender's bills that are held and not known to be written. All others that the
    /// receiver ever took from the sender are written.
    pub unwritten: RangeSet,
    /// The receiver does not reach the store; another box may.
    pub is_store_unreachable: bool,
}

/// The current state of a stored object, or its deletion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub kind: Arc<str>,
    pub name: Arc<str>,
    /// Version in the store; for a deleted object, the last one seen.
    pub version: u64,
    /// JSON text; `None` if the object was deleted.
    pub value: Option<Arc<str>>,
}

/// A subscriber's request for updates, with what it knows already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// Incarnation of the watcher that is addressed; another one numbers its changes differently.
    #[serde(rename = "teller")]
    pub watcher: Incarnation,
    /// Number of the newest change known, 0 for none. `None` asks for no changes, only whether the
    /// watcher reaches the store.
    pub since: Option<u64>,
    /// Version of the configuration known; only a newer one is sent.
    pub config: u64,
    /// Whether the subscriber knows that the watcher does not reach the store.
    #[serde(rename = "away")]
    pub is_store_unreachable: bool,
    /// How long the watcher may hold the request while nothing changes, in milliseconds.
    pub wait_ms: u64,
}

/// A subscriber's request for updates that say how old they are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscribeAged {
    pub subscribe: Subscribe,
    /// Whether only a box that reads the store itself may answer: the sender relays to others.
    pub is_relay: bool,
    /// The last confirmation that the subscriber knows, as the watcher named it; 0 for none. A later
    /// one is an update.
    pub confirmation: u64,
}

/// How long ago the store confirmed what a box knows, in milliseconds; `None` if it never did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    pub config: Option<u64>,
    pub endpoints: Option<u64>,
    pub evacuations: Option<u64>,
    pub crashes: Option<u64>,
}

/// A watcher's answer to [`SubscribeAged`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateAged {
    pub update: Update,
    /// Whether the update is complete; else the rest follows on requests for the changes since then.
    pub is_complete: bool,
    /// Ages of the watcher's state when it answered.
    pub ages: Ages,
    /// How long the watcher held the request before it answered, in milliseconds.
    pub held_ms: u64,
    /// The watcher's last confirmation, which grows; only the watcher knows its meaning.
    pub confirmation: u64,
}

/// A watcher's answer to a subscriber.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Number of the newest change included.
    pub last: u64,
    /// Whether the changes are a full snapshot.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// Changed objects, oldest change first.
    pub changes: Vec<Change>,
    /// Store version up to which the watcher has seen all entries of endpoints.
    pub endpoints_at: u64,
    /// Store version up to which the watcher has seen all entries of boxes.
    pub boxes_at: u64,
    /// How long the watcher has not reached the store, in milliseconds; `None` while it does.
    #[serde(rename = "away_ms")]
    pub store_unreachable_ms: Option<u64>,
}

impl Update {
    /// Adds the next part of the same answer. If the watcher had to begin anew, that part is the
    /// first of another full snapshot, which replaces what came before.
    pub fn append(&mut self, next: Update) {
        let earlier = std::mem::replace(self, next);
        if !self.is_snapshot {
            let later = std::mem::replace(&mut self.changes, earlier.changes);
            self.changes.extend(later);
            self.is_snapshot = earlier.is_snapshot;
        }
    }
}

/// A crash report of an older version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    pub finding: Finding,
    pub requests: Vec<Fingerprint>,
    pub at_s: u64,
}

/// The rate limit that an endpoint named for all boxes together, and how long ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Instance of the endpoint.
    pub endpoint: Arc<str>,
    /// The limit; `None` if the endpoint named none.
    pub limit: Option<Limit>,
    /// Milliseconds since the request was sent whose answer carried the signal.
    #[serde(rename = "asked_ms")]
    pub sent_ms: u64,
    /// Milliseconds since that answer was received.
    #[serde(rename = "heard_ms")]
    pub answered_ms: u64,
}

/// Asks the issuer of an endpoint's permits for one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the sender knows of the endpoint's limit.
    #[serde(rename = "said")]
    pub signal: LimitNotice,
    /// How often this request has been forwarded.
    pub hops: u8,
}

/// Answer to a request for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// One request may be sent now.
    #[serde(rename = "Given")]
    Granted,
    /// No permit is available; retry after this many milliseconds.
    After { ms: u64 },
    /// The endpoint no longer names a limit.
    Free {
        #[serde(rename = "said")]
        signal: LimitNotice,
    },
    /// The box is about to stop and issues no more permits.
    #[serde(rename = "Leaves")]
    Stopping,
}

/// Identifies a stream that callers may take up again: a hash of its customer and its first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(pub u128);

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    pub service: Arc<str>,
    /// Software version of the endpoint.
    pub version: Arc<str>,
}

/// The origin of a stream, as boxes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    pub key: StreamKey,
    pub origin: StreamOrigin,
    /// Time since the stream began or was taken up, in milliseconds.
    pub age_ms: u64,
}

/// A request or an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Periodic exchange of state; the answer is the receiver's own.
    #[serde(rename = "Tell")]
    Status(Status),
    /// Entries to hold while the platform is unreachable.
    Carry { by: Incarnation, entries: Vec<Entry> },
    /// How many of the entries were accepted.
    Taken { count: u64 },
    /// Requests all accepted objects.
    Accepted,
    /// Accepted objects as JSON text.
    Objects { objects: Vec<Arc<str>> },
    /// A platform call on behalf of the sender.
    Call(PlatformCall),
    /// Objects found; `None` if the platform did not answer.
    Found { objects: Option<Vec<Value>> },
    /// Result of a write on behalf of the sender.
    Written(Write),
    /// The ledger lacks tokens for a request of this size: return what can be spared.
    Spare { budget: Arc<str>, tokens: u64 },
    /// Whether any tokens were returned.
    Spared { returned: bool },
    /// Requests offline tokens for a request of this size.
    Lend { budget: Arc<str>, tokens: u64 },
    /// Lent offline tokens, if any.
    Lent { transfer: Option<Transfer> },
    /// The sender executes the request with this idempotency key.
    Note { customer: Arc<str>, key: Arc<str>, place: Place },
    /// Asks where the request with this key is executed; if nowhere, the sender is about to execute
    /// it.
    #[serde(rename = "Where")]
    Locate { customer: Arc<str>, key: Arc<str> },
    /// Answer to [`Frame::Locate`].
    #[serde(rename = "There")]
    Location(Location),
    /// Accepted; there is nothing to return.
    Done,
    /// The receiver cannot serve the request.
    Refused { reason: Arc<str> },
    /// Tokens that the sender leaves untouched until its witness, the receiver, accepts a newer
    /// promise.
    Promise(Promise),
    /// The promise with this number is in force.
    Promised { number: u64 },
    /// The holder died: accept no more promises from it, and return the last one it made in this
    /// term.
    Seal { holder: Incarnation, term: u64 },
    /// Tokens by customer in the sealed promise; `None` if there is none.
    Sealed { tokens: Option<BTreeMap<Arc<str>, u64>> },
    /// A large prompt that the sender sent to an endpoint, or whose processing there has ended.
    Prompt(Prompt),
    /// Requests tokens from a keeper, and reports the use of earlier ones.
    Draw(Draw),
    /// Totals of what the keeper passed on.
    Drawn(Drawn),
    /// Pages of bills that the sender could not write before it stops, for the receiver to write.
    /// Sent by older versions only.
    Bills { pages: Vec<BillPage> },
    /// Requests updates about the store.
    #[serde(rename = "Listen")]
    Subscribe(Subscribe),
    /// Answer to [`Frame::Subscribe`].
    #[serde(rename = "News")]
    Update(Update),
    /// A crash report for the receiver to distribute. Sent by older versions only.
    Crash { name: Arc<str>, report: RequestReport },
    /// Requests a permit for an endpoint.
    #[serde(rename = "Turn")]
    PermitRequest(PermitRequest),
    /// Answer to [`Frame::PermitRequest`].
    #[serde(rename = "Turned")]
    PermitReply(PermitReply),
    /// The latest limit of an endpoint, for the receiver to distribute.
    Limit { endpoint: Arc<str>, limit: Option<Limit> },
    /// Pages of bills that the sender could not write before it stops, for this incarnation of the
    /// receiver to write. Sent by older versions only.
    HandOver { to: Incarnation, pages: Vec<BillPage> },
    /// The sender registered later than the receiver, which may not know of it yet.
    Greet { to: Incarnation, sender: Greeting },
    /// The endpoint at this address is leaving; for the receiver to distribute.
    Departure { endpoint: Arc<str>, address: SocketAddr },
    /// Answer to [`Frame::Subscribe`] that does not fit into one message: its first part. The rest
    /// follows on requests for the changes since then.
    UpdatePart(Update),
    /// Requests updates like [`Frame::Subscribe`], but only from a box that reads the store itself:
    /// the sender relays them to others.
    SubscribeToRoot(Subscribe),
    /// Bills for this incarnation of the receiver to hold and to write.
    Replicate { to: Incarnation, segments: Vec<Segment> },
    /// Answer to [`Frame::Replicate`].
    Replica(Replica),
    /// Origins of streams, for this incarnation of the receiver to remember.
    StreamsBegan { to: Incarnation, records: Vec<StreamRecord> },
    /// Asks this incarnation of the receiver for the origins of streams.
    FindStreams { to: Incarnation, keys: Vec<StreamKey> },
    /// Answer to [`Frame::FindStreams`]: the origins that the receiver knows.
    StreamsFound { records: Vec<StreamRecord> },
    /// Requests updates like [`Frame::Subscribe`], with their ages.
    SubscribeAged(SubscribeAged),
    /// Answer to [`Frame::SubscribeAged`].
    UpdateAged(UpdateAged),
    /// A crash report for the receiver to distribute, as JSON text.
    CrashText { name: Arc<str>, report: Arc<str> },
    /// Origins of streams, for this incarnation of the receiver to write to the store.
    KeepStreams { to: Incarnation, records: Vec<StreamRecord> },
}

impl Frame {
    /// Topic for traffic counters; a request and its answer have the same one.
    pub fn topic(&self) -> &'static str {
        match self {
            Frame::Subscribe(_)
            | Frame::SubscribeToRoot(_)
            | Frame::SubscribeAged(_)
            | Frame::UpdateAged(_)
            | Frame::Update(_)
            | Frame::UpdatePart(_) => "news",
            Frame::Draw(_) | Frame::Drawn(_) => "draws",
            Frame::Lend { .. } | Frame::Lent { .. } => "loans",
            Frame::Promise(_) | Frame::Promised { .. } => "promises",
            Frame::Seal { .. } | Frame::Sealed { .. } => "seals",
            Frame::Prompt(_) => "prompts",
            Frame::Bills { .. }
            | Frame::HandOver { .. }
            | Frame::Replicate { .. }
            | Frame::Replica(_) => "bills",
            Frame::Crash { .. } | Frame::CrashText { .. } => "crashes",
            Frame::PermitRequest(_) | Frame::PermitReply(_) => "turns",
            Frame::Limit { .. } => "limits",
            Frame::Departure { .. } => "departures",
            Frame::Greet { .. } => "greetings",
            Frame::StreamsBegan { .. }
            | Frame::FindStreams { .. }
            | Frame::StreamsFound { .. }
            | Frame::KeepStreams { .. } => "streams",
            _ => "other",
        }
    }
}
