//! Requests to other boxes, and their results.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use balance::{Prefix, Prompt};
use ledger::{Claim, Incarnation, Promise, Transfer, Witness};
use quarantine::Report;
use timeline::Timestamp;
use tokio::time::Instant;
use wire::{
    Ages, Draw, Drawn, Frame, Message, Peer, Replica, Segment, StreamKey, StreamRecord,
    SubscribeAged, UpdateAged,
};

use super::{Peers, SILENT_RETRY_DELAY, STOPPING_RETRY_DELAY};

/// Timeout of a loan. An answer within it is accepted even if the request that needed the tokens
/// has ended; they would be stranded otherwise.
const BORROW_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a promise, for which a request may be waiting: many round trips between availability
/// zones.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of sealing the promise of an earlier incarnation, when a box starts. Shorter than the
/// time for which boxes know each other before the first tokens are granted.
const SEAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a published prompt, which endpoints process in less time, and of other notifications.
pub(super) const NOTIFY_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of sending new bills to a box that writes them.
pub const REPLICATE_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of handing over bills before a planned stop: some 100 KB over a slow link.
pub const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);
/// Incarnations of a box that are asked for streams: the known one, and one that replaced it.
const MAX_INCARNATIONS: usize = 2;

/// What a witness reports of an incarnation that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WitnessReply {
    /// Tokens that it certainly left untouched, by customer.
    Untouched(BTreeMap<Arc<str>, u64>),
    /// The witness has no promise, or has ended itself: nothing is known.
    Nothing,
    /// The witness did not answer.
    NoAnswer,
}

impl WitnessReply {
    /// Name for log lines.
    pub fn as_str(&self) -> &'static str {
        match self {
            WitnessReply::Untouched(_) => "untouched",
            WitnessReply::Nothing => "nothing",
            WitnessReply::NoAnswer => "unheard",
        }
    }

    /// Tokens left untouched, if the witness knows them.
    pub fn untouched(&self) -> Option<&BTreeMap<Arc<str>, u64>> {
        match self {
            WitnessReply::Untouched(tokens) => Some(tokens),
            WitnessReply::Nothing | WitnessReply::NoAnswer => None,
        }
    }
}

/// A published prompt; when dropped, it is published that the endpoint has processed the prompt.
#[derive(Debug)]
pub struct PromptNotice {
    peers: Peers,
    prompt: Prompt,
}

impl Drop for PromptNotice {
    fn drop(&mut self) {
        self.prompt.size = 0;
        self.prompt.blocks = Arc::default();
        self.peers.publish(&self.prompt);
    }
}

/// Whether a box received a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// It was accepted.
    Taken,
    /// It was certainly not accepted; an earlier one is still in force.
    Not,
    /// The box is about to stop or has restarted, and has forgotten all earlier messages too.
    Gone,
    /// It may have been accepted.
    Unknown,
}

/// Result of a request.
#[derive(Debug)]
pub(super) enum Reply {
    /// The box answered.
    Frame(Frame),
    /// A later incarnation of the box answered: the one that was asked has ended.
    Replaced,
    NoAnswer,
}

impl Peers {
    /// Polls a watcher once, with a further request for each part of an answer that is too large for
    /// one message; `None` if it does not answer all of them in time. The first answer may take
    /// `timeout`, each other one `part_timeout`.
    pub async fn subscribe(
        &self,
        mut request: SubscribeAged,
        timeout: Duration,
        part_timeout: Duration,
    ) -> Option<UpdateAged> {
        let watcher = request.subscribe.watcher.clone();
        let mut timeout = timeout;
        let mut received: Option<UpdateAged> = None;
        loop {
            let peer = self.peer(&watcher)?;
            let frame = Frame::SubscribeAged(request.clone());
            let part = match self.exchange(&watcher, &peer, frame, timeout).await {
                Ok(Reply::Frame(Frame::UpdateAged(part))) => part,
                Ok(Reply::Frame(_) | Reply::Replaced | Reply::NoAnswer) => return None,
                Err(wire::Error::Malformed { .. }) => {
                    self.subscribe_to_older_version(&watcher, &peer, &request, timeout).await?
                }
                Err(error) => {
                    self.record_silence(&watcher, &error);
                    return None;
                }
            };
            request.subscribe.since = Some(part.update.last);
            request.subscribe.wait_ms = 0;
            timeout = part_timeout;
            let is_complete = part.is_complete;
            match &mut received {
                // The ages of the first part hold for all of them.
                Some(received) => received.update.append(part.update),
                None => received = Some(part),
            }
            if is_complete {
                return received;
            }
        }
    }

    /// Polls a watcher of an older version, which does not say how old its updates are. They count as
    /// confirmed while the store answers it.
    async fn subscribe_to_older_version(
        &self,
        watcher: &Incarnation,
        peer: &Peer,
        request: &SubscribeAged,
        timeout: Duration,
    ) -> Option<UpdateAged> {
        let subscribe = request.subscribe.clone();
        let frame = match request.is_relay {
            true => Frame::SubscribeToRoot(subscribe),
            false => Frame::Subscribe(subscribe),
        };
        let (update, is_complete) = match self.ask(watcher, peer, frame, timeout).await {
            Reply::Frame(Frame::Update(update)) => (update, true),
            Reply::Frame(Frame::UpdatePart(update)) => (update, false),
            Reply::Frame(_) | Reply::Replaced | Reply::NoAnswer => return None,
        };
        let age = update.store_unreachable_ms.is_none().then_some(0);
        let ages = Ages { config: age, endpoints: age, evacuations: age, crashes: age };
        Some(UpdateAged { update, is_complete, ages, held_ms: 0, confirmation: 0 })
    }

    /// Sends usage and demand to a keeper; `None` if that incarnation of it did not answer.
    pub async fn draw(&self, keeper: &Incarnation, draw: Draw, timeout: Duration) -> Option<Drawn> {
        let peer = self.peer(keeper)?;
        match self.ask(keeper, &peer, Frame::Draw(draw), timeout).await {
            Reply::Frame(Frame::Drawn(drawn)) => {
                if drawn.is_stopping {
                    self.avoid_for(keeper, STOPPING_RETRY_DELAY);
                }
                Some(drawn)
            }
            Reply::Frame(_) | Reply::Replaced | Reply::NoAnswer => None,
        }
    }

    /// Publishes a large prompt that this box sent to an endpoint. Delivery is best effort. When
    /// the returned value is dropped, it is published that the prompt was processed.
    pub fn publish_prompt(&self, endpoint: &Arc<str>, prefix: &Prefix, size: u64) -> PromptNotice {
        let number = self.prompts.fetch_add(1, Ordering::Relaxed);
        let (endpoint, blocks) = (endpoint.clone(), prefix.hashes());
        let prompt = Prompt { endpoint, number, size, blocks };
        self.publish(&prompt);
        PromptNotice { peers: self.clone(), prompt }
    }

    fn publish(&self, prompt: &Prompt) {
        // Dropped after the runtime has shut down: nothing can be sent.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        for name in self.prompt_recipients() {
            let Some(peer) = self.peer(&name) else { continue };
            let (peers, frame) = (self.clone(), Frame::Prompt(prompt.clone()));
            runtime.spawn(async move { peers.ask(&name, &peer, frame, NOTIFY_TIMEOUT).await });
        }
    }

    /// Sends a promise to this box's witness. If only a later incarnation of the witness is known, its
    /// answer shows that the earlier promises are forgotten.
    pub async fn promise(&self, witness: &Incarnation, promise: Promise) -> Delivery {
        let number = promise.number;
        let peer = self.peer(witness).or_else(|| self.current_peer(witness));
        let Some(peer) = peer else { return Delivery::Not };
        match self.ask(witness, &peer, Frame::Promise(promise), PROMISE_TIMEOUT).await {
            Reply::Frame(Frame::Promised { number: accepted }) if accepted == number => {
                Delivery::Taken
            }
            Reply::Frame(Frame::Sealed { tokens: None }) | Reply::Replaced => Delivery::Gone,
            Reply::Frame(Frame::Refused { .. }) => Delivery::Not,
            Reply::Frame(_) | Reply::NoAnswer => Delivery::Unknown,
        }
    }

    /// Sends bills to another box, which holds and writes them; `None` if it does not take them.
    pub async fn replicate_bills(
        &self,
        name: &Incarnation,
        segments: &[Segment],
        timeout: Duration,
    ) -> Option<Replica> {
        let peer = self.peer(name)?;
        let frame = Frame::Replicate { to: name.clone(), segments: segments.to_vec() };
        match self.exchange(name, &peer, frame, timeout).await {
            Ok(Reply::Frame(Frame::Replica(replica))) => Some(replica),
            Ok(Reply::Frame(_) | Reply::Replaced | Reply::NoAnswer) => None,
            // Boxes of an older version do not know the request.
            Err(error) => {
                tracing::info!(event = "bills_not_taken", peer = name.as_str(), %error);
                None
            }
        }
    }

    /// Asks the witness of an incarnation that ended for its last promise, and to accept no more.
    pub async fn seal(&self, holder: &Incarnation, claim: &Claim) -> WitnessReply {
        let Claim { witness: Witness { by, term }, at } = claim;
        let last_known = || at.map(|address| Peer::new(address, self.source));
        let peer = self.peer(by).or_else(|| self.current_peer(by)).or_else(last_known);
        let Some(peer) = peer else { return WitnessReply::NoAnswer };
        let frame = Frame::Seal { holder: holder.clone(), term: *term };
        match self.ask(by, &peer, frame, SEAL_TIMEOUT).await {
            Reply::Frame(Frame::Sealed { tokens: Some(tokens) }) => WitnessReply::Untouched(tokens),
            Reply::Frame(Frame::Sealed { tokens: None }) | Reply::Replaced => WitnessReply::Nothing,
            Reply::Frame(_) | Reply::NoAnswer => WitnessReply::NoAnswer,
        }
    }

    /// Borrows tokens from another box.
    pub async fn borrow(
        &self,
        name: &Incarnation,
        customer: &Arc<str>,
        tokens: u64,
    ) -> Option<Transfer> {
        let peer = self.peer(name)?;
        let frame = Frame::Lend { budget: customer.clone(), tokens };
        match self.ask(name, &peer, frame, BORROW_TIMEOUT).await {
            Reply::Frame(Frame::Lent { transfer }) => {
                transfer.filter(|transfer| transfer.from == *name && transfer.to == self.me)
            }
            Reply::Frame(_) | Reply::Replaced | Reply::NoAnswer => None,
        }
    }

    /// Publishes a crash report to the watchers; those that miss it read it from the store.
    pub fn publish_crash(&self, name: &Arc<str>, report: &Report) {
        let text: Arc<str> =
            serde_json::to_string(report).expect("reports always serialize").into();
        let watchers = self.watchers();
        for watcher in watchers.sources().filter(|watcher| **watcher != self.me) {
            let Some(peer) = self.peer(watcher) else { continue };
            let frame = Frame::CrashText { name: name.clone(), report: text.clone() };
            let (peers, watcher) = (self.clone(), watcher.clone());
            tokio::spawn(async move {
                match peers.exchange(&watcher, &peer, frame, NOTIFY_TIMEOUT).await {
                    Ok(_) => {}
                    // A box of an older version learns of it from the store.
                    Err(error @ wire::Error::Malformed { .. }) => {
                        tracing::info!(event = "crash_not_taken", peer = watcher.as_str(), %error);
                    }
                    Err(error) => peers.record_silence(&watcher, &error),
                }
            });
        }
    }

    /// Sends origins of streams to a box that remembers them. Returns whether it took them.
    pub async fn record_streams(&self, home: &Incarnation, records: Vec<StreamRecord>) -> bool {
        let frame = |to| Frame::StreamsBegan { to, records: records.clone() };
        self.ask_home(home, frame, NOTIFY_TIMEOUT).await == Some(Frame::Done)
    }

    /// Sends origins of streams to a box that writes them to the store. Returns whether it took them.
    pub async fn keep_streams(&self, writer: &Incarnation, records: Vec<StreamRecord>) -> bool {
        let frame = |to| Frame::KeepStreams { to, records: records.clone() };
        self.ask_home(writer, frame, NOTIFY_TIMEOUT).await == Some(Frame::Done)
    }

    /// Asks a box for origins of streams; `None` if it does not answer.
    pub async fn find_streams(
        &self,
        home: &Incarnation,
        keys: Vec<StreamKey>,
        timeout: Duration,
    ) -> Option<Vec<StreamRecord>> {
        let frame = |to| Frame::FindStreams { to, keys: keys.clone() };
        match self.ask_home(home, frame, timeout).await? {
            Frame::StreamsFound { records } => Some(records),
            _ => None,
        }
    }

    /// Sends a request about streams to whichever incarnation of a box runs; `None` if it does not
    /// answer or is of an older version, which does not know the request.
    async fn ask_home(
        &self,
        home: &Incarnation,
        frame: impl Fn(Incarnation) -> Frame,
        timeout: Duration,
    ) -> Option<Frame> {
        let mut name = self.current_incarnation(home)?;
        for _ in 0..MAX_INCARNATIONS {
            let peer = self.peer(&name)?;
            match self.exchange(&name, &peer, frame(name.clone()), timeout).await {
                Ok(Reply::Frame(answer)) => return Some(answer),
                Ok(Reply::Replaced) => name = self.current_incarnation(home)?,
                Ok(Reply::NoAnswer) => return None,
                Err(error @ wire::Error::Malformed { .. }) => {
                    tracing::info!(event = "streams_not_known", peer = name.as_str(), %error);
                    return None;
                }
                Err(error) => {
                    self.record_silence(&name, &error);
                    return None;
                }
            }
        }
        None
    }

    /// Sends a request to a box and records whether it is reachable.
    pub(super) async fn ask(
        &self,
        name: &Incarnation,
        peer: &Peer,
        frame: Frame,
        timeout: Duration,
    ) -> Reply {
        match self.exchange(name, peer, frame, timeout).await {
            Ok(reply) => reply,
            Err(error) => {
                self.record_silence(name, &error);
                Reply::NoAnswer
            }
        }
    }

    /// Records that a box did not answer.
    fn record_silence(&self, name: &Incarnation, error: &wire::Error) {
        tracing::info!(event = "peer_silent", peer = name.as_str(), %error);
        self.state.lock().last_unanswered = Some(Instant::now());
        self.avoid_for(name, SILENT_RETRY_DELAY);
    }

    /// Sends a request to a box. If there is no answer, that means nothing for other requests.
    async fn exchange(
        &self,
        name: &Incarnation,
        peer: &Peer,
        frame: Frame,
        timeout: Duration,
    ) -> Result<Reply, wire::Error> {
        let topic = frame.topic();
        let (answer, size) = peer.ask_with_size(&self.message(frame), timeout).await?;
        self.record_contact();
        self.traffic.add(topic, self.is_same_zone(name), size);
        if answer.from != *name {
            return Ok(self.replaced(name, &answer.from));
        }
        if let Frame::Refused { reason } = &answer.frame {
            tracing::info!(event = "peer_refused", peer = name.as_str(), reason = &**reason);
        }
        Ok(Reply::Frame(answer.frame))
    }

    /// Records that another incarnation answered.
    fn replaced(&self, name: &Incarnation, by: &Incarnation) -> Reply {
        tracing::info!(event = "peer_replaced", peer = name.as_str(), now = by.as_str());
        // A box has one incarnation at a time. An answer from a different box proves nothing about
        // it.
        match by.box_name() == name.box_name() {
            true => {
                self.replace(name, by);
                Reply::Replaced
            }
            false => {
                self.avoid_for(name, SILENT_RETRY_DELAY);
                self.report_stale_list();
                Reply::NoAnswer
            }
        }
    }

    /// Builds a message from this box.
    pub fn message(&self, frame: Frame) -> Message {
        // Gateways do not order events by time stamps; only routers do.
        Message { from: self.me.clone(), stamp: Timestamp::default(), frame }
    }
}
