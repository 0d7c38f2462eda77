//! Other boxes, and asking them.
//!
//! A box knows the others from the book. It asks a few at a time for tokens while the store cannot
//! give them, tells its witness what it keeps, and tells some of the large prompts that it sends.
//! Nothing is agreed between boxes: of tokens passed on, a lost answer strands some in a grant and
//! never doubles them.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use balance::{Prefix, Prompt};
use futures_util::future::join_all;
use ledger::{Incarnation, Promise, Transfer, Writer};
use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use timeline::Stamp;
use tokio::time::Instant;
use wire::{Frame, Message, Peer};

use crate::{
    funds::{Funds, Hold},
    witness::Records,
};

/// Time after which the next boxes are asked: many times the way there and back between
/// availability zones, with room for a box that is busy.
const NEXT: Duration = Duration::from_millis(50);
/// Longest wait for an answer. What arrives until then is taken over, also if the request that
/// asked has gone: tokens passed on would be stranded otherwise.
const LENT_WITHIN: Duration = Duration::from_millis(1_000);
/// Longest wait for the witness to take a promise; a request may be waiting for it. Many times
/// the way there and back between availability zones.
const PROMISE_WITHIN: Duration = Duration::from_millis(150);
/// Longest wait of a start for the witness of the box's earlier life: the boxes know each other
/// for longer than this before the first tokens are granted.
const SEAL_WITHIN: Duration = Duration::from_millis(400);
/// Longest wait until another box heard of a prompt, which an engine reads in less.
const TOLD_WITHIN: Duration = Duration::from_millis(200);
/// Boxes asked at once.
const ASKED: usize = 3;
/// Boxes asked for one request, or told of one prompt.
const MOST_ASKED: usize = 12;
/// A box that did not answer is passed over for this long: shorter than outages are.
const REST: Duration = Duration::from_millis(2_000);

/// The other boxes, as the book lists them.
#[derive(Clone)]
pub struct Peers {
    me: Incarnation,
    source: IpAddr,
    state: Arc<Mutex<State>>,
    /// What others promised this box.
    pub records: Records,
    /// Number of the next prompt that others are told of.
    prompts: Arc<AtomicU64>,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers").field("me", &self.me).finish_non_exhaustive()
    }
}

/// A prompt that other boxes were told of, until it was read.
#[derive(Debug)]
pub struct Reading {
    peers: Peers,
    prompt: Prompt,
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.prompt.size = 0;
        self.prompt.blocks = Arc::default();
        self.peers.tell(&self.prompt);
    }
}

/// Whether a box knows what it was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
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
enum Heard {
    /// It answered.
    Frame(Frame),
    /// Another start of the box answered: the one that was asked has ended.
    Replaced,
    /// No answer.
    Nothing,
}

struct State {
    address: Option<SocketAddr>,
    known: HashMap<Incarnation, Known>,
    random: SmallRng,
}

struct Known {
    peer: Peer,
    rests_until: Option<Instant>,
}

impl Peers {
    /// No others yet; questions leave from the address at which this box answers.
    pub fn open(me: Incarnation, address: Option<SocketAddr>, seed: u64) -> Peers {
        let source = address.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |address| address.ip());
        let random = SmallRng::seed_from_u64(seed);
        let state = State { address: None, known: HashMap::new(), random };
        Peers {
            me,
            source,
            state: Arc::new(Mutex::new(state)),
            records: Records::default(),
            prompts: Arc::default(),
        }
    }

    /// This box answers at an address.
    pub fn listens_at(&self, address: SocketAddr) {
        self.state.lock().address = Some(address);
    }

    /// Where this box answers.
    pub fn address(&self) -> Option<SocketAddr> {
        self.state.lock().address
    }

    /// Takes over who stands in the book.
    pub fn update(&self, writers: &BTreeMap<Incarnation, Writer>) {
        self.records.retain(|name| writers.contains_key(name));
        let mut state = self.state.lock();
        state.known.retain(|name, _| writers.contains_key(name));
        for (name, writer) in writers.iter().filter(|(name, _)| **name != self.me) {
            let Some(address) = writer.peer else { continue };
            let fresh = || Known { peer: Peer::new(address, self.source), rests_until: None };
            state.known.entry(name.clone()).or_insert_with(fresh);
        }
    }

    /// Number of other boxes that stand in the book.
    pub fn len(&self) -> usize {
        self.state.lock().known.len()
    }

    /// Whether no other box stands in the book.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a box stands in the book.
    pub fn knows(&self, name: &Incarnation) -> bool {
        self.state.lock().known.contains_key(name)
    }

    /// Tells other boxes of a large prompt that this one sent to an endpoint; those that do not
    /// answer do not matter. When what is returned is dropped, they are told that it was read.
    pub fn tell_prompt(&self, endpoint: &Arc<str>, prefix: &Prefix, size: u64) -> Reading {
        let number = self.prompts.fetch_add(1, Ordering::Relaxed);
        let (endpoint, blocks) = (endpoint.clone(), prefix.hashes());
        let prompt = Prompt { endpoint, number, size, blocks };
        self.tell(&prompt);
        Reading { peers: self.clone(), prompt }
    }

    fn tell(&self, prompt: &Prompt) {
        // There is none while the process ends.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        for (name, peer) in self.in_reach() {
            let (peers, frame) = (self.clone(), Frame::Prompt(prompt.clone()));
            runtime.spawn(async move { peers.ask(&name, &peer, frame, TOLD_WITHIN).await });
        }
    }

    /// A box that stands in the book and did not fail to answer lately, other than `not`.
    pub fn any_in_reach(&self, not: Option<&Incarnation>) -> Option<Incarnation> {
        let others = self.in_reach().into_iter().map(|(name, _)| name);
        others.into_iter().find(|name| Some(name) != not)
    }

    /// Tells a box what this one keeps untouched from now on.
    pub async fn promise(&self, witness: &Incarnation, promise: Promise) -> Told {
        let number = promise.number;
        let Some(peer) = self.peer(witness) else { return Told::Not };
        match self.ask(witness, &peer, Frame::Promise(promise), PROMISE_WITHIN).await {
            Heard::Frame(Frame::Promised { number: taken }) if taken == number => Told::Taken,
            Heard::Frame(Frame::Sealed { tokens: None }) | Heard::Replaced => Told::Gone,
            Heard::Frame(Frame::Refused { .. }) => Told::Not,
            Heard::Frame(_) | Heard::Nothing => Told::Unknown,
        }
    }

    /// This box is about to stop: it is nobody's witness any more.
    pub fn forget_promises(&self) {
        self.records.close();
    }

    /// Asks the witness of a box that died what that one had kept, and to take no more promises
    /// from it; `None` if it does not say.
    pub async fn seal(
        &self,
        witness: &Incarnation,
        address: SocketAddr,
        holder: Incarnation,
        term: u64,
    ) -> Option<BTreeMap<Arc<str>, u64>> {
        let peer = Peer::new(address, self.source);
        let answer = self.ask(witness, &peer, Frame::Seal { holder, term }, SEAL_WITHIN).await;
        match answer {
            Heard::Frame(Frame::Sealed { tokens }) => tokens,
            Heard::Frame(_) | Heard::Replaced | Heard::Nothing => None,
        }
    }

    fn peer(&self, name: &Incarnation) -> Option<Peer> {
        self.state.lock().known.get(name).map(|known| known.peer.clone())
    }

    /// Holds the worst case of a request with tokens of other boxes, until `until`.
    pub async fn borrow_for(
        &self,
        funds: &Funds,
        customer: &Arc<str>,
        worst: u64,
        until: Instant,
    ) -> Option<Hold> {
        if funds.are_others_dry(customer) {
            return None;
        }
        let asking = funds.asking(customer);
        let ask = async {
            let _one_at_a_time = asking.lock().await;
            let mut asked = 0;
            // Another request may have brought enough for both.
            let mut missing = funds.missing(customer, worst);
            let others = self.in_reach();
            for few in others.chunks(ASKED) {
                if missing == 0 {
                    break;
                }
                let wanted = missing.div_ceil(few.len() as u64);
                let answers = few.iter().map(|(name, peer)| {
                    let (peers, funds, customer) = (self.clone(), funds.clone(), customer.clone());
                    let (name, peer) = (name.clone(), peer.clone());
                    tokio::spawn(async move {
                        let lent = peers.borrow(&name, &peer, &customer, wanted).await;
                        lent.into_iter().for_each(|transfer| funds.receive(&customer, transfer));
                    })
                });
                let _ = tokio::time::timeout(NEXT, join_all(answers)).await;
                asked += few.len();
                missing = funds.missing(customer, worst);
            }
            asked
        };
        let asked = tokio::time::timeout_at(until, ask).await.unwrap_or(0);
        let hold = funds.try_hold(customer, worst);
        if hold.is_none() {
            funds.note_others_dry(customer);
        }
        tracing::info!(
            event = "asked_other_boxes",
            customer = &**customer,
            worst,
            asked,
            held = hold.is_some(),
        );
        hold
    }

    fn in_reach(&self) -> Vec<(Incarnation, Peer)> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let State { known, random, .. } = &mut *state;
        let awake =
            known.iter().filter(|(_, known)| known.rests_until.is_none_or(|end| end <= now));
        let mut peers: Vec<(Incarnation, Peer)> =
            awake.map(|(name, known)| (name.clone(), known.peer.clone())).collect();
        peers.sort_by(|a, b| a.0.cmp(&b.0));
        peers.shuffle(random);
        peers.truncate(MOST_ASKED);
        peers
    }

    async fn borrow(
        &self,
        name: &Incarnation,
        peer: &Peer,
        customer: &Arc<str>,
        tokens: u64,
    ) -> Option<Transfer> {
        let frame = Frame::Lend { budget: customer.clone(), tokens };
        match self.ask(name, peer, frame, LENT_WITHIN).await {
            Heard::Frame(Frame::Lent { transfer }) => {
                transfer.filter(|transfer| transfer.from == *name && transfer.to == self.me)
            }
            Heard::Frame(_) | Heard::Replaced | Heard::Nothing => None,
        }
    }

    /// Asks a box.
    async fn ask(&self, name: &Incarnation, peer: &Peer, frame: Frame, within: Duration) -> Heard {
        match peer.ask(&self.message(frame), within).await {
            Ok(answer) if answer.from != *name => {
                let (peer, now) = (name.as_str(), answer.from.as_str());
                tracing::info!(event = "peer_replaced", peer, now);
                // A box has one life at a time; of another box at its address nothing follows.
                match answer.from.box_name() == name.box_name() {
                    true => Heard::Replaced,
                    false => Heard::Nothing,
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
                let rests_until = Some(Instant::now() + REST);
                if let Some(known) = self.state.lock().known.get_mut(name) {
                    known.rests_until = rests_until;
                }
                Heard::Nothing
            }
        }
    }

    /// A frame of this box's.
    pub fn message(&self, frame: Frame) -> Message {
        // The order of events does not matter here: log lines carry the times.
        Message { from: self.me.clone(), stamp: Stamp::default(), frame }
    }
}
