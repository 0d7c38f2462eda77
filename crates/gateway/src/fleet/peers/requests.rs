//! What boxes ask and tell each other, and what came of it.

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
use wire::{BillPage, Draw, Drawn, Frame, Message, Peer, Subscribe, Update};

use super::{LEAVES, Peers, REST};

/// Longest wait for an answer. What arrives until then is taken over, also if the request that
/// asked has gone: tokens passed on would be stranded otherwise.
const LENT_WITHIN: Duration = Duration::from_millis(1_000);
/// Longest wait for the witness to take a promise; a request may be waiting for it. Many times
/// the way there and back between availability zones.
const PROMISE_WITHIN: Duration = Duration::from_millis(150);
/// Longest wait of a start for the witness of the box's earlier life: the boxes know each other
/// for longer than this before the first tokens are granted.
const SEAL_WITHIN: Duration = Duration::from_millis(400);
/// Longest wait until another box heard of a prompt, which an engine reads in less, or of a report.
pub(super) const TOLD_WITHIN: Duration = Duration::from_millis(200);
/// Longest wait until another box took pages of bills: some 200 KB each over a narrow link.
const BILLS_WITHIN: Duration = Duration::from_millis(500);
/// Boxes that take pages of bills over.
const BILLS_WITH: usize = 2;

/// What a witness says of a life that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WitnessReply {
    /// What that one certainly left untouched, by customer.
    Untouched(BTreeMap<Arc<str>, u64>),
    /// It was promised nothing, or died itself: nobody knows.
    Nothing,
    /// It did not answer.
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

    /// What was left untouched, if the witness knows.
    pub fn untouched(&self) -> Option<&BTreeMap<Arc<str>, u64>> {
        match self {
            WitnessReply::Untouched(tokens) => Some(tokens),
            WitnessReply::Nothing | WitnessReply::NoAnswer => None,
        }
    }
}

/// A prompt that other boxes were told of, until it was read.
#[derive(Debug)]
pub struct PromptNotice {
    peers: Peers,
    prompt: Prompt,
}

impl Drop for PromptNotice {
    fn drop(&mut self) {
        self.prompt.size = 0;
        self.prompt.blocks = Arc::default();
        self.peers.tell(&self.prompt);
    }
}

/// Whether a box knows what it was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// It does.
    Taken,
    /// It certainly does not; what it was told before, it knows.
    Not,
    /// It knows nothing of this box any more: it is about to stop, or a later start of it answers.
    Gone,
    /// It may.
    Unknown,
}

/// What came of asking a box.
#[derive(Debug)]
pub(super) enum Heard {
    /// It answered.
    Frame(Frame),
    /// Another start of the box answered: the one that was asked has ended.
    Replaced,
    /// No answer.
    Nothing,
}

impl Peers {
    /// Listens to a home once; `None` if it does not answer in time, or does not look at the store.
    pub async fn listen(&self, listen: Subscribe, within: Duration) -> Option<Update> {
        let home = listen.watcher.clone();
        let peer = self.peer(&home)?;
        match self.ask(&home, &peer, Frame::Subscribe(listen), within).await {
            Heard::Frame(Frame::Update(news)) => Some(news),
            Heard::Frame(_) | Heard::Replaced | Heard::Nothing => None,
        }
    }

    /// Asks a keeper, or tells it; `None` if it did not answer, or not as this life of it.
    pub async fn draw(&self, keeper: &Incarnation, draw: Draw, within: Duration) -> Option<Drawn> {
        let peer = self.peer(keeper)?;
        match self.ask(keeper, &peer, Frame::Draw(draw), within).await {
            Heard::Frame(Frame::Drawn(drawn)) => {
                if drawn.leaves {
                    self.rest(keeper, LEAVES);
                }
                Some(drawn)
            }
            Heard::Frame(_) | Heard::Replaced | Heard::Nothing => None,
        }
    }

    /// Tells other boxes of a large prompt that this one sent to an endpoint; those that do not
    /// answer do not matter. When what is returned is dropped, they are told that it was read.
    pub fn publish_prompt(&self, endpoint: &Arc<str>, prefix: &Prefix, size: u64) -> PromptNotice {
        let number = self.prompts.fetch_add(1, Ordering::Relaxed);
        let (endpoint, blocks) = (endpoint.clone(), prefix.hashes());
        let prompt = Prompt { endpoint, number, size, blocks };
        self.tell(&prompt);
        PromptNotice { peers: self.clone(), prompt }
    }

    fn tell(&self, prompt: &Prompt) {
        // There is none while the process ends.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        for name in self.prompt_recipients() {
            let Some(peer) = self.peer(&name) else { continue };
            let (peers, frame) = (self.clone(), Frame::Prompt(prompt.clone()));
            runtime.spawn(async move { peers.ask(&name, &peer, frame, TOLD_WITHIN).await });
        }
    }

    /// Tells a box what this one keeps untouched from now on.
    pub async fn promise(&self, witness: &Incarnation, promise: Promise) -> Delivery {
        let number = promise.number;
        let Some(peer) = self.peer(witness) else { return Delivery::Not };
        match self.ask(witness, &peer, Frame::Promise(promise), PROMISE_WITHIN).await {
            Heard::Frame(Frame::Promised { number: taken }) if taken == number => Delivery::Taken,
            Heard::Frame(Frame::Sealed { tokens: None }) | Heard::Replaced => Delivery::Gone,
            Heard::Frame(Frame::Refused { .. }) => Delivery::Not,
            Heard::Frame(_) | Heard::Nothing => Delivery::Unknown,
        }
    }

    /// Gives pages of bills to boxes that write them; says which took them. One of those may be killed before it reaches
    /// the store, so that two of them have each page; it is there once, whoever writes it first.
    pub async fn hand_over_bills(&self, pages: &[BillPage]) -> Vec<Incarnation> {
        let mut took = Vec::new();
        for (name, peer) in self.in_reach() {
            let frame = Frame::HandOver { to: name.clone(), pages: pages.to_vec() };
            if let Heard::Frame(Frame::Done) = self.ask(&name, &peer, frame, BILLS_WITHIN).await {
                took.push(name);
            }
            if took.len() >= BILLS_WITH {
                break;
            }
        }
        took
    }

    /// Asks the witness of a life that ended what that one had kept, and to take no more promises from it.
    pub async fn seal(&self, holder: &Incarnation, claim: &Claim) -> WitnessReply {
        let Claim { witness: Witness { by, term }, at } = claim;
        let told_where = || at.map(|address| Peer::new(address, self.source));
        let peer = self.peer(by).or_else(|| self.peer_of_box(by)).or_else(told_where);
        let Some(peer) = peer else { return WitnessReply::NoAnswer };
        let frame = Frame::Seal { holder: holder.clone(), term: *term };
        match self.ask(by, &peer, frame, SEAL_WITHIN).await {
            Heard::Frame(Frame::Sealed { tokens: Some(tokens) }) => WitnessReply::Untouched(tokens),
            Heard::Frame(Frame::Sealed { tokens: None }) | Heard::Replaced => WitnessReply::Nothing,
            Heard::Frame(_) | Heard::Nothing => WitnessReply::NoAnswer,
        }
    }

    /// Asks a box for tokens.
    pub async fn borrow(
        &self,
        name: &Incarnation,
        customer: &Arc<str>,
        tokens: u64,
    ) -> Option<Transfer> {
        let peer = self.peer(name)?;
        let frame = Frame::Lend { budget: customer.clone(), tokens };
        match self.ask(name, &peer, frame, LENT_WITHIN).await {
            Heard::Frame(Frame::Lent { transfer }) => {
                transfer.filter(|transfer| transfer.from == *name && transfer.to == self.me)
            }
            Heard::Frame(_) | Heard::Replaced | Heard::Nothing => None,
        }
    }

    /// Tells the homes of news of a report; what they miss, the store tells.
    pub fn publish_crash(&self, name: &Arc<str>, report: &Report) {
        let watchers = self.watchers();
        for home in watchers.all().filter(|home| **home != self.me) {
            let Some(peer) = self.peer(home) else { continue };
            let frame = Frame::Crash { name: name.clone(), report: report.clone() };
            let (peers, home) = (self.clone(), home.clone());
            tokio::spawn(async move { peers.ask(&home, &peer, frame, TOLD_WITHIN).await });
        }
    }

    /// Asks a box.
    pub(super) async fn ask(
        &self,
        name: &Incarnation,
        peer: &Peer,
        frame: Frame,
        within: Duration,
    ) -> Heard {
        let topic = frame.topic();
        let asked = peer.ask_counted(&self.message(frame), within).await;
        let answered = asked.map(|(answer, size)| {
            self.note_heard();
            self.traffic.add(topic, self.is_near(name), size);
            answer
        });
        match answered {
            Ok(answer) if answer.from != *name => {
                let (peer, now) = (name.as_str(), answer.from.as_str());
                tracing::info!(event = "peer_replaced", peer, now);
                // A box has one life at a time; of another box at its address nothing follows.
                match answer.from.box_name() == name.box_name() {
                    true => {
                        self.replace(name, &answer.from);
                        Heard::Replaced
                    }
                    false => {
                        self.rest(name, REST);
                        self.note_unknown();
                        Heard::Nothing
                    }
                }
            }
            Ok(answer) => {
                if let Frame::Refused { reason } = &answer.frame {
                    tracing::info!(
                        event = "peer_refused",
                        peer = name.as_str(),
                        reason = &**reason
                    );
                }
                Heard::Frame(answer.frame)
            }
            Err(error) => {
                tracing::info!(event = "peer_silent", peer = name.as_str(), %error);
                self.state.lock().silent = Some(Instant::now());
                self.rest(name, REST);
                Heard::Nothing
            }
        }
    }

    /// A frame of this box's.
    pub fn message(&self, frame: Frame) -> Message {
        // The order of events does not matter here: log lines carry the times.
        Message { from: self.me.clone(), stamp: Timestamp::default(), frame }
    }
}
