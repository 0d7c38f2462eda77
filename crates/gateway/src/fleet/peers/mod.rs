//! Other boxes, and asking them.
//!
//! A box knows the others from the objects that each keeps in the store. It draws tokens from its
//! keeper, borrows from other keepers while the store cannot give them, tells its witness what it
//! keeps, and tells some of the large prompts that it sends. Nothing is agreed between boxes: of
//! tokens passed on, a lost answer strands some in a grant and never doubles them.

mod greetings;
mod requests;
mod permits;

pub use permits::MAX_HOPS;
pub use requests::{Delivery, PromptNotice, WitnessReply};

use std::{
    collections::HashMap,
    fmt,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use balance::Fleet;
use ledger::Incarnation;
use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use tokio::sync::Notify;
use tokio::time::Instant;
use wire::Peer;

use crate::fleet::{
    entry::Entry,
    keepers::{Profile, keepers},
    promises::Promises,
    traffic::Traffic,
    watchers::{Watchers, watchers},
};

/// Boxes told of one prompt.
const MOST_ASKED: usize = 12;
/// A box that did not answer is passed over for this long: shorter than outages are.
const REST: Duration = Duration::from_millis(2_000);
/// A keeper that ends by plan is passed over for this long: it is gone by then, and its next life
/// has another name.
const LEAVES: Duration = Duration::from_secs(10);

/// The other boxes, as the store lists them.
#[derive(Clone)]
pub struct Peers {
    me: Incarnation,
    source: IpAddr,
    state: Arc<Mutex<State>>,
    /// What others promised this box.
    pub promises: Promises,
    /// Number of the next prompt that others are told of.
    prompts: Arc<AtomicU64>,
    /// Something shows that the list of boxes is old.
    unknown: Arc<Notify>,
    /// What this box's questions and their answers took.
    pub traffic: Traffic,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers").field("me", &self.me).finish_non_exhaustive()
    }
}

struct State {
    address: Option<SocketAddr>,
    profile: Profile,
    known: HashMap<Incarnation, Known>,
    random: SmallRng,
    /// When another box was heard last, and when one that was asked was silent.
    heard: Option<Instant>,
    silent: Option<Instant>,
}

struct Known {
    entry: Entry,
    /// Version of the entry in the store.
    version: u64,
    peer: Peer,
    rests_until: Option<Instant>,
}

impl Known {
    fn is_reachable(&self, now: Instant) -> bool {
        self.rests_until.is_none_or(|end| end <= now)
    }
}

impl Peers {
    /// No others yet; questions leave from the address at which this box answers.
    pub fn open(me: Profile, address: Option<SocketAddr>, seed: u64) -> Peers {
        let source = address.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |address| address.ip());
        let random = SmallRng::seed_from_u64(seed);
        let name = me.name.clone();
        let (address, heard, silent) = Default::default();
        let state = State { address, profile: me, known: HashMap::new(), random, heard, silent };
        Peers {
            me: name,
            source,
            state: Arc::new(Mutex::new(state)),
            promises: Promises::default(),
            prompts: Arc::default(),
            unknown: Arc::default(),
            traffic: Traffic::default(),
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
        self.promises.retain(|name| state.known.contains_key(name) || is_listed(name));
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
        let others: Vec<Profile> =
            state.known.values().map(|known| known.entry.profile()).collect();
        let mut keepers = keepers(&state.profile, &others);
        keepers.retain(|name| state.known.get(name).is_none_or(|known| known.is_reachable(now)));
        keepers
    }

    /// Whom this box listens to.
    pub fn watchers(&self) -> Watchers {
        let state = self.state.lock();
        let others: Vec<Profile> =
            state.known.values().map(|known| known.entry.profile()).collect();
        watchers(&state.profile, &others)
    }

    /// Whether a box that is known did not fail to answer lately.
    pub fn is_reachable(&self, name: &Incarnation) -> bool {
        let state = self.state.lock();
        state.known.get(name).is_some_and(|known| known.is_reachable(Instant::now()))
    }

    /// Whether this box keeps tokens for its availability zone.
    pub fn is_keeper(&self) -> bool {
        self.keepers().first() == Some(&self.me)
    }

    /// This start of the box.
    pub fn me(&self) -> &Incarnation {
        &self.me
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

    /// A box that is known and did not fail to answer lately, other than `not`.
    pub fn any_reachable(&self, not: Option<&Incarnation>) -> Option<Incarnation> {
        let others = self.in_reach().into_iter().map(|(name, _)| name);
        others.into_iter().find(|name| Some(name) != not)
    }

    /// This box is about to stop: it is nobody's witness any more.
    pub fn forget_promises(&self) {
        self.promises.close();
    }

    /// Another life of a box, if one is known: it answers that the one which was meant is gone.
    fn peer_of_box(&self, name: &Incarnation) -> Option<Peer> {
        let state = self.state.lock();
        let mut known = state.known.iter();
        let of_box = known.find(|(other, _)| other.box_name() == name.box_name());
        of_box.map(|(_, known)| known.peer.clone())
    }

    /// Whether a box is in the own availability zone.
    fn is_near(&self, name: &Incarnation) -> bool {
        let state = self.state.lock();
        state.known.get(name).is_some_and(|known| known.entry.zone == state.profile.zone)
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

    /// Boxes that did not fail to answer lately, in random order, at most [`MOST_ASKED`].
    fn in_reach(&self) -> Vec<(Incarnation, Peer)> {
        let mut peers = self.awake();
        peers.truncate(MOST_ASKED);
        peers.into_iter().map(|(name, peer, _)| (name, peer)).collect()
    }

    /// Boxes to tell of a prompt: those in reach of the own availability zone first. What goes to another zone
    /// has its price, and a box is told by as many others either way.
    pub fn prompt_recipients(&self) -> Vec<Incarnation> {
        let mut peers = self.awake();
        peers.sort_by_key(|(.., is_near)| !is_near);
        peers.truncate(MOST_ASKED);
        peers.into_iter().map(|(name, ..)| name).collect()
    }

    /// All boxes that did not fail to answer lately, in random order, and whether they are of the own zone.
    fn awake(&self) -> Vec<(Incarnation, Peer, bool)> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let State { known, random, profile, .. } = &mut *state;
        let awake = known.iter().filter(|(_, known)| known.is_reachable(now));
        let told = |(name, known): (&Incarnation, &Known)| {
            (name.clone(), known.peer.clone(), known.entry.zone == profile.zone)
        };
        let mut peers: Vec<(Incarnation, Peer, bool)> = awake.map(told).collect();
        peers.sort_by(|a, b| a.0.cmp(&b.0));
        peers.shuffle(random);
        peers
    }
}
