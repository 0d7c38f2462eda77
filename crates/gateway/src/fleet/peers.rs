//! Other boxes, and asking them.
//!
//! A box knows the others from the objects that each keeps in the store. It draws tokens from its
//! keeper, borrows from other keepers while the store cannot give them, tells its witness what it
//! keeps, and tells some of the large prompts that it sends. Nothing is agreed between boxes: of
//! tokens passed on, a lost answer strands some in a grant and never doubles them.

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

use balance::{Fleet, Prefix, Prompt};
use ledger::{Claim, Incarnation, Promise, Transfer, Witness};
use parking_lot::Mutex;
use quarantine::Report;
use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use timeline::Stamp;
use tokio::sync::Notify;
use tokio::time::Instant;
use wire::{Draw, Drawn, Frame, Listen, Message, News, Peer, Sheet};

use crate::fleet::{
    entry::Entry,
    homes::{Homes, homes},
    order::{Place, order},
    records::Records,
};

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
const TOLD_WITHIN: Duration = Duration::from_millis(200);
/// Longest wait until another box took pages of bills: some 200 KB each over a narrow link.
const BILLS_WITHIN: Duration = Duration::from_millis(500);
/// Boxes told of one prompt.
const MOST_ASKED: usize = 12;
/// A box that did not answer is passed over for this long: shorter than outages are.
const REST: Duration = Duration::from_millis(2_000);
/// A keeper that ends by plan is passed over for this long: it is gone by then, and its next life
/// has another name.
const LEAVES: Duration = Duration::from_secs(10);

/// What a witness says of a life that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Word {
    /// What that one certainly left untouched, by customer.
    Untouched(BTreeMap<Arc<str>, u64>),
    /// It was promised nothing, or died itself: nobody knows.
    Nothing,
    /// It did not answer.
    Unheard,
}

impl Word {
    /// Name for log lines.
    pub fn as_str(&self) -> &'static str {
        match self {
            Word::Untouched(_) => "untouched",
            Word::Nothing => "nothing",
            Word::Unheard => "unheard",
        }
    }

    /// What was left untouched, if the witness knows.
    pub fn untouched(&self) -> Option<&BTreeMap<Arc<str>, u64>> {
        match self {
            Word::Untouched(tokens) => Some(tokens),
            Word::Nothing | Word::Unheard => None,
        }
    }
}

/// The other boxes, as the store lists them.
#[derive(Clone)]
pub struct Peers {
    me: Incarnation,
    source: IpAddr,
    state: Arc<Mutex<State>>,
    /// What others promised this box.
    pub records: Records,
    /// Number of the next prompt that others are told of.
    prompts: Arc<AtomicU64>,
    /// Something shows that the list of boxes is old.
    unknown: Arc<Notify>,
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
    place: Place,
    known: HashMap<Incarnation, Known>,
    random: SmallRng,
}

struct Known {
    entry: Entry,
    /// Version of the entry in the store.
    version: u64,
    peer: Peer,
    rests_until: Option<Instant>,
}

impl Known {
    fn is_awake(&self, now: Instant) -> bool {
        self.rests_until.is_none_or(|end| end <= now)
    }
}

impl Peers {
    /// No others yet; questions leave from the address at which this box answers.
    pub fn open(me: Place, address: Option<SocketAddr>, seed: u64) -> Peers {
        let source = address.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |address| address.ip());
        let random = SmallRng::seed_from_u64(seed);
        let name = me.name.clone();
        let state = State { address: None, place: me, known: HashMap::new(), random };
        Peers {
            me: name,
            source,
            state: Arc::new(Mutex::new(state)),
            records: Records::default(),
            prompts: Arc::default(),
            unknown: Arc::default(),
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

    /// Takes over the list of boxes as it stood at a version of the store, with the version of each
    /// entry. What is known of a box only goes forwards, however old the list is.
    pub fn update(&self, entries: Vec<(Entry, u64)>, at: u64) {
        let is_listed = |name: &Incarnation| {
            entries.iter().any(|(entry, _)| entry.incarnation.box_name() == name.box_name())
        };
        let mut state = self.state.lock();
        state.known.retain(|name, known| known.version > at || is_listed(name));
        self.records.retain(|name| state.known.contains_key(name) || is_listed(name));
        for (entry, version) in entries {
            let name = entry.incarnation.clone();
            let is_same = |known: &Incarnation| known.box_name() == name.box_name();
            let is_old =
                |(known, of): (&Incarnation, &Known)| is_same(known) && of.version >= version;
            if is_same(&self.me) || state.known.iter().any(is_old) {
                continue;
            }
            state.known.retain(|known, _| !is_same(known));
            let peer = Peer::new(entry.peer, self.source);
            state.known.insert(name, Known { entry, version, peer, rests_until: None });
        }
    }

    /// Waits until something shows that the list of boxes is old.
    pub async fn unknown(&self) {
        self.unknown.notified().await;
    }

    /// Something shows that the list of boxes is old.
    pub fn note_unknown(&self) {
        self.unknown.notify_one();
    }

    /// Boxes to ask for tokens, those left out that did not answer lately; this one stands where
    /// it is its own best choice.
    pub fn keepers(&self) -> Vec<Incarnation> {
        let now = Instant::now();
        let state = self.state.lock();
        let others: Vec<Place> = state.known.values().map(|known| known.entry.place()).collect();
        let mut keepers = order(&state.place, &others);
        keepers.retain(|name| state.known.get(name).is_none_or(|known| known.is_awake(now)));
        keepers
    }

    /// Whom this box listens to.
    pub fn homes(&self) -> Homes {
        let state = self.state.lock();
        let others: Vec<Place> = state.known.values().map(|known| known.entry.place()).collect();
        homes(&state.place, &others)
    }

    /// Whether a box that is known did not fail to answer lately.
    pub fn is_awake(&self, name: &Incarnation) -> bool {
        let state = self.state.lock();
        state.known.get(name).is_some_and(|known| known.is_awake(Instant::now()))
    }

    /// Listens to a home once; `None` if it does not answer in time, or does not look at the store.
    pub async fn listen(&self, listen: Listen, within: Duration) -> Option<News> {
        let home = listen.teller.clone();
        let peer = self.peer(&home)?;
        match self.ask(&home, &peer, Frame::Listen(listen), within).await {
            Heard::Frame(Frame::News(news)) => Some(news),
            Heard::Frame(_) | Heard::Replaced | Heard::Nothing => None,
        }
    }

    /// Whether this box keeps tokens for its availability zone.
    pub fn am_keeper(&self) -> bool {
        self.keepers().first() == Some(&self.me)
    }

    /// This start of the box.
    pub fn me(&self) -> &Incarnation {
        &self.me
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

    fn rest(&self, name: &Incarnation, time: Duration) {
        if let Some(known) = self.state.lock().known.get_mut(name) {
            known.rests_until = Some(Instant::now() + time);
        }
    }

    /// Another life of a box answered: it stands in the place of the one that was asked.
    fn replace(&self, name: &Incarnation, now: &Incarnation) {
        let mut state = self.state.lock();
        if let Some(Known { entry, version, peer, .. }) = state.known.remove(name) {
            let entry = Entry { incarnation: now.clone(), ..entry };
            let known = Known { entry, version, peer, rests_until: None };
            state.known.entry(now.clone()).or_insert(known);
        }
    }

    /// All boxes by name, whichever life they are in.
    pub fn fleet(&self) -> Fleet {
        let state = self.state.lock();
        let others = state.known.keys().map(|name| name.box_name().into()).collect();
        Fleet { me: self.me.box_name().into(), others }
    }

    /// Number of other boxes that are known.
    pub fn len(&self) -> usize {
        self.state.lock().known.len()
    }

    /// Boxes of the fleet, this one among them.
    pub fn boxes(&self) -> u64 {
        self.len() as u64 + 1
    }

    /// Whether no other box is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a box is known.
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

    /// Tells the homes of news of a report; what they miss, the store tells.
    pub fn tell_crash(&self, name: &Arc<str>, report: &Report) {
        let homes = self.homes();
        for home in homes.all().filter(|home| **home != self.me) {
            let Some(peer) = self.peer(home) else { continue };
            let frame = Frame::Crash { name: name.clone(), report: report.clone() };
            let (peers, home) = (self.clone(), home.clone());
            tokio::spawn(async move { peers.ask(&home, &peer, frame, TOLD_WITHIN).await });
        }
    }

    /// A box that is known and did not fail to answer lately, other than `not`.
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

    /// Gives pages of bills to a box that writes them; gives them back if none takes them.
    pub async fn hand_bills(&self, pages: Vec<Sheet>) -> Result<Incarnation, Vec<Sheet>> {
        for (name, peer) in self.in_reach() {
            let frame = Frame::Bills { pages: pages.clone() };
            if let Heard::Frame(Frame::Done) = self.ask(&name, &peer, frame, BILLS_WITHIN).await {
                return Ok(name);
            }
        }
        Err(pages)
    }

    /// This box is about to stop: it is nobody's witness any more.
    pub fn forget_promises(&self) {
        self.records.close();
    }

    /// Asks the witness of a life that ended what that one had kept, and to take no more promises from it.
    pub async fn seal(&self, holder: &Incarnation, claim: &Claim) -> Word {
        let Claim { witness: Witness { by, term }, at } = claim;
        let told_where = || at.map(|address| Peer::new(address, self.source));
        let peer = self.peer(by).or_else(|| self.peer_of_box(by)).or_else(told_where);
        let Some(peer) = peer else { return Word::Unheard };
        let frame = Frame::Seal { holder: holder.clone(), term: *term };
        match self.ask(by, &peer, frame, SEAL_WITHIN).await {
            Heard::Frame(Frame::Sealed { tokens: Some(tokens) }) => Word::Untouched(tokens),
            Heard::Frame(Frame::Sealed { tokens: None }) | Heard::Replaced => Word::Nothing,
            Heard::Frame(_) | Heard::Nothing => Word::Unheard,
        }
    }

    /// Another life of a box, if one is known: it answers that the one which was meant is gone.
    fn peer_of_box(&self, name: &Incarnation) -> Option<Peer> {
        let state = self.state.lock();
        let mut known = state.known.iter();
        let of_box = known.find(|(other, _)| other.box_name() == name.box_name());
        of_box.map(|(_, known)| known.peer.clone())
    }

    /// Where a box is asked, if it is known.
    pub fn address_of(&self, name: &Incarnation) -> Option<SocketAddr> {
        self.peer(name).map(|peer| peer.address())
    }

    fn peer(&self, name: &Incarnation) -> Option<Peer> {
        self.state.lock().known.get(name).map(|known| known.peer.clone())
    }

    /// Boxes that may lend: the keepers of the zones.
    pub fn lenders(&self) -> Vec<Incarnation> {
        self.keepers().into_iter().filter(|name| *name != self.me).collect()
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

    fn in_reach(&self) -> Vec<(Incarnation, Peer)> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let State { known, random, .. } = &mut *state;
        let awake = known.iter().filter(|(_, known)| known.is_awake(now));
        let mut peers: Vec<(Incarnation, Peer)> =
            awake.map(|(name, known)| (name.clone(), known.peer.clone())).collect();
        peers.sort_by(|a, b| a.0.cmp(&b.0));
        peers.shuffle(random);
        peers.truncate(MOST_ASKED);
        peers
    }

    /// Asks a box.
    async fn ask(&self, name: &Incarnation, peer: &Peer, frame: Frame, within: Duration) -> Heard {
        match peer.ask(&self.message(frame), within).await {
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
                self.rest(name, REST);
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
