//! The frames.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use balance::{Limit, Prompt, Snapshot};
use ledger::{Entry, Incarnation, Promise, Supply, Transfer};
use quarantine::Report;
use serde::{Deserialize, Serialize};
use timeline::Timestamp;

/// A frame with its sender and its moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it.
    pub from: Incarnation,
    /// Hybrid logical time of the sender.
    pub stamp: Timestamp,
    /// What it says.
    pub frame: Frame,
}

/// What a box tells of itself now and then.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Requests under way at endpoints, by pool.
    pub in_flight: Vec<(Arc<str>, Vec<Snapshot>)>,
    /// Newest source version in force.
    pub newest: u64,
    /// Sum of all versions in force, so that a gap below the newest shows.
    pub versions: u64,
    /// Whether the sender reaches the platform.
    pub platform: bool,
}

/// Where a request is or was run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Incarnation that runs it.
    pub by: Incarnation,
    /// Address of the endpoint.
    pub endpoint: Arc<str>,
    /// Id of the dispatch.
    pub dispatch: Arc<str>,
}

/// What the home of a key knows of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Location {
    /// Nobody runs it: whoever asked may.
    Nowhere,
    /// Another incarnation is about to run it.
    Soon,
    /// It is or was run there.
    Place(Place),
}

/// A stored object passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Kind.
    pub kind: Arc<str>,
    /// Name.
    pub name: Arc<str>,
    /// Version.
    pub version: u64,
    /// JSON text.
    pub value: Arc<str>,
}

/// Result of a write passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// It made this version.
    Landed(u64),
    /// The object was not as expected.
    Refused,
    /// It was certainly not carried out.
    Failed,
    /// It may have taken effect.
    Unknown,
}

/// A platform call made for a box that does not reach the platform itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformCall {
    /// Reads one object.
    Get { kind: Arc<str>, name: Arc<str> },
    /// Reads all objects of a kind with a prefix.
    List { kind: Arc<str>, prefix: Arc<str> },
    /// Writes an object; version 0 means create only.
    Put { kind: Arc<str>, name: Arc<str>, value: String, version: u64 },
    /// Deletes an object.
    Delete { kind: Arc<str>, name: Arc<str>, version: u64 },
}

/// What a box tells its keeper and wants of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    /// The life of the keeper that is meant: another one knows nothing of these totals.
    pub keeper: Incarnation,
    /// Customers of whom there is something to tell or to ask.
    pub items: Vec<ledger::Demand>,
    /// How long the keeper may look for tokens, in milliseconds.
    pub within_ms: u64,
    /// The sender ends by plan: nothing comes after this.
    pub leaves: bool,
}

/// A keeper's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drawn {
    /// Customers asked for.
    pub items: Vec<Supply>,
    /// The keeper does not reach the store: another one may.
    pub cut: bool,
    /// The keeper ends by plan: it wants back what is not used, and another one is to be asked.
    pub leaves: bool,
}

/// Where a box is that has just registered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it answers other boxes.
    pub peer: SocketAddr,
    /// What it can carry.
    pub strength: u64,
    /// Version of its entry in the store.
    pub version: u64,
}

/// A page of bills as the store takes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillPage {
    /// Its name, which is the writer's alone.
    pub name: String,
    /// JSON text.
    pub text: String,
}

/// An object of the store as it stands, or that it went.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Kind.
    pub kind: Arc<str>,
    /// Name.
    pub name: Arc<str>,
    /// Version that the store gave it; of one that went, the last that was seen.
    pub version: u64,
    /// JSON text; nothing if it went.
    pub value: Option<Arc<str>>,
}

/// What a box that listens knows already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscribe {
    /// The life of the teller that is meant: another one counts its changes anew.
    #[serde(rename = "teller")]
    pub watcher: Incarnation,
    /// Number of the newest change known, 0 for none; nothing where no changes are wanted, but whether
    /// the teller reaches the store.
    pub since: Option<u64>,
    /// Version of the configuration known: an older one is not told.
    pub config: u64,
    /// Whether the listener was told that the teller does not reach the store.
    pub away: bool,
    /// How long the teller waits for news before it answers all the same, in milliseconds.
    pub wait_ms: u64,
}

/// What a box that looks at the store tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Number of the newest change told.
    pub last: u64,
    /// What is told is all there is.
    pub whole: bool,
    /// Objects that changed, the oldest change first.
    pub changes: Vec<Change>,
    /// Version of the store up to which the teller has seen all entries of endpoints.
    pub endpoints_at: u64,
    /// Version of the store up to which it has seen all entries of boxes.
    pub boxes_at: u64,
    /// How long the store has not answered the teller, in milliseconds, if it does not.
    pub away_ms: Option<u64>,
}

/// What an endpoint said of the requests that it takes from all boxes together, and how long ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// This life of the endpoint.
    pub endpoint: Arc<str>,
    /// How much it takes; nothing where it named no limit.
    pub limit: Option<Limit>,
    /// Milliseconds since the request was sent whose answer said so.
    #[serde(rename = "asked_ms")]
    pub sent_ms: u64,
    /// Milliseconds since that answer came.
    #[serde(rename = "heard_ms")]
    pub answered_ms: u64,
}

/// Asks the box that hands out turns at an endpoint for one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the asker knows of the endpoint.
    #[serde(rename = "said")]
    pub signal: LimitNotice,
    /// Boxes that passed this question on.
    pub hops: u8,
}

/// What came of asking for a turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// A request may be sent at once.
    Given,
    /// None is left; to be asked for again after so many milliseconds.
    After { ms: u64 },
    /// The endpoint named no limit last.
    Free {
        #[serde(rename = "said")]
        signal: LimitNotice,
    },
    /// The box that was asked hands out no turns any more: it is about to stop.
    Leaves,
}

/// One question or answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Regular exchange; answered in kind.
    #[serde(rename = "Tell")]
    Status(Status),
    /// Entries to carry while the platform is out of reach.
    Carry { by: Incarnation, entries: Vec<Entry> },
    /// How many were taken.
    Taken { count: u64 },
    /// Wants all accepted objects.
    Accepted,
    /// Accepted objects as JSON text.
    Objects { objects: Vec<Arc<str>> },
    /// A platform call to pass on.
    Call(PlatformCall),
    /// Objects found, or that the platform did not answer.
    Found { objects: Option<Vec<Value>> },
    /// Result of a write passed on.
    Written(Write),
    /// A ledger has not enough left for a request of this size: return what can be spared.
    Spare { budget: Arc<str>, tokens: u64 },
    /// Whether anything was returned.
    Spared { returned: bool },
    /// Asks for offline tokens, for a request of this size.
    Lend { budget: Arc<str>, tokens: u64 },
    /// Offline tokens passed on, or nothing.
    Lent { transfer: Option<Transfer> },
    /// A request with a key is run here.
    Note { customer: Arc<str>, key: Arc<str>, place: Place },
    /// Where is the request with this key run? If nowhere, the asker is about to run it.
    #[serde(rename = "Where")]
    Locate { customer: Arc<str>, key: Arc<str> },
    /// What the key's home knows.
    #[serde(rename = "There")]
    Location(Location),
    /// Understood, nothing to say.
    Done,
    /// The question made no sense to this box.
    Refused { reason: Arc<str> },
    /// Tokens that the sender keeps untouched until its witness, who is asked, knows better.
    Promise(Promise),
    /// The promise with this number counts now.
    Promised { number: u64 },
    /// The holder died: take no more promises from it. What had it promised under this naming?
    Seal { holder: Incarnation, term: u64 },
    /// Tokens by customer that it had promised last; nothing if no promise is known.
    Sealed { tokens: Option<BTreeMap<Arc<str>, u64>> },
    /// A large prompt that the sender sent to an endpoint, or that was read there.
    Prompt(Prompt),
    /// Asks a keeper for tokens, and tells what became of those it passed on before.
    Draw(Draw),
    /// Totals of what the keeper passed on.
    Drawn(Drawn),
    /// Pages of bills that the sender could not write before it ends: the receiver writes them. Boxes of the version
    /// before send it.
    Bills { pages: Vec<BillPage> },
    /// Wants news of what the store holds.
    #[serde(rename = "Listen")]
    Subscribe(Subscribe),
    /// News.
    #[serde(rename = "News")]
    Update(Update),
    /// What the sender found of requests and an endpoint, for the receiver to pass on.
    Crash { name: Arc<str>, report: Report },
    /// Asks for a turn at an endpoint.
    #[serde(rename = "Turn")]
    PermitRequest(PermitRequest),
    /// What came of that.
    #[serde(rename = "Turned")]
    PermitReply(PermitReply),
    /// What an endpoint named last, for the receiver to pass on.
    Limit { endpoint: Arc<str>, limit: Option<Limit> },
    /// Pages of bills that the sender could not write before it ends, for this life of the receiver to write.
    HandOver { to: Incarnation, pages: Vec<BillPage> },
    /// The sender registered after this life of the receiver did, which may not have heard of it.
    Greet { to: Incarnation, sender: Greeting },
    /// An endpoint at this address said that it leaves, for the receiver to pass on.
    Departure { endpoint: Arc<str>, address: SocketAddr },
}

impl Frame {
    /// What it is about, for counters: a question and its answer are alike.
    pub fn topic(&self) -> &'static str {
        match self {
            Frame::Subscribe(_) | Frame::Update(_) => "news",
            Frame::Draw(_) | Frame::Drawn(_) => "draws",
            Frame::Lend { .. } | Frame::Lent { .. } => "loans",
            Frame::Promise(_) | Frame::Promised { .. } => "promises",
            Frame::Seal { .. } | Frame::Sealed { .. } => "seals",
            Frame::Prompt(_) => "prompts",
            Frame::Bills { .. } | Frame::HandOver { .. } => "bills",
            Frame::Crash { .. } => "crashes",
            Frame::PermitRequest(_) | Frame::PermitReply(_) => "turns",
            Frame::Limit { .. } => "limits",
            Frame::Departure { .. } => "departures",
            Frame::Greet { .. } => "greetings",
            _ => "other",
        }
    }
}
