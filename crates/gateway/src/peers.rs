//! Other boxes: passing tokens on while the store cannot give them.
//!
//! A box knows the others from the book. It asks a few at a time, and what they pass on is told
//! to the book by both sides. Nothing is agreed between boxes: a lost answer strands tokens in a
//! grant and never doubles them. Only boxes that stand in the book are answered; the name of an
//! incarnation holds 64 random bits that only the store and the fleet know.

use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use futures_util::future::join_all;
use ledger::{Incarnation, Transfer, Writer};
use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use timeline::Stamp;
use tokio::time::Instant;
use wire::{Frame, Message, Peer};

use crate::funds::{Funds, Hold};

/// Time after which the next boxes are asked: many times the way there and back between
/// availability zones, with room for a box that is busy.
const NEXT: Duration = Duration::from_millis(50);
/// Longest wait for an answer. What arrives until then is taken over, also if the request that
/// asked has gone: tokens passed on would be stranded otherwise.
const WITHIN: Duration = Duration::from_millis(1_000);
/// Boxes asked at once.
const ASKED: usize = 3;
/// Boxes asked for one request.
const MOST_ASKED: usize = 12;
/// A box that did not answer is passed over for this long: shorter than outages are.
const REST: Duration = Duration::from_millis(2_000);

/// The other boxes, as the book lists them.
#[derive(Clone)]
pub struct Peers {
    me: Incarnation,
    source: IpAddr,
    state: Arc<Mutex<State>>,
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
        Peers { me, source, state: Arc::new(Mutex::new(state)) }
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
                        let lent = peers.ask(&name, &peer, &customer, wanted).await;
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

    async fn ask(
        &self,
        name: &Incarnation,
        peer: &Peer,
        customer: &Arc<str>,
        tokens: u64,
    ) -> Option<Transfer> {
        let frame = Frame::Lend { budget: customer.clone(), tokens };
        match peer.ask(&self.message(frame), WITHIN).await {
            Ok(Message { frame: Frame::Lent { transfer }, .. }) => {
                transfer.filter(|transfer| transfer.from == *name && transfer.to == self.me)
            }
            Ok(answer) => {
                tracing::warn!(event = "peer_refused", peer = name.as_str(), answer = ?answer.frame);
                None
            }
            Err(error) => {
                tracing::info!(event = "peer_silent", peer = name.as_str(), %error);
                let rests_until = Some(Instant::now() + REST);
                if let Some(known) = self.state.lock().known.get_mut(name) {
                    known.rests_until = rests_until;
                }
                None
            }
        }
    }

    fn message(&self, frame: Frame) -> Message {
        // The order of events does not matter here: log lines carry the times.
        Message { from: self.me.clone(), stamp: Stamp::default(), frame }
    }
}

/// Answers other boxes that ask for tokens.
pub struct Desk {
    me: Incarnation,
    funds: Funds,
    peers: Peers,
}

impl Desk {
    /// Answers from the accounts of this box.
    pub fn new(me: Incarnation, funds: Funds, peers: Peers) -> Desk {
        Desk { me, funds, peers }
    }
}

#[async_trait::async_trait]
impl wire::Answer for Desk {
    async fn answer(&self, question: Message) -> Message {
        let frame = match question.frame {
            Frame::Lend { .. } if !self.peers.knows(&question.from) => {
                Frame::Refused { reason: "this box does not stand in the book".into() }
            }
            Frame::Lend { budget, tokens } => {
                let transfer = self.funds.lend(&budget, tokens, &self.me, &question.from);
                tracing::info!(
                    event = "tokens_passed_on",
                    customer = &*budget,
                    to = question.from.as_str(),
                    wanted = tokens,
                    passed = transfer.as_ref().map_or(0, |transfer| transfer.tokens),
                );
                Frame::Lent { transfer }
            }
            _ => Frame::Refused { reason: "boxes ask each other for tokens only".into() },
        };
        self.peers.message(frame)
    }
}
