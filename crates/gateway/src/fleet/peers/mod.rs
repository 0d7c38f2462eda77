//! The other boxes, and requests to them.
//!
//! A box knows the others by their entries in the store. It draws tokens from its keeper, borrows
//! from other keepers while the store is unavailable, sends promises to its witness, and publishes
//! large prompts. None of this needs consensus: if the answer to a transfer of tokens is lost, the
//! tokens are stranded in a grant but never doubled.

mod greetings;
mod requests;
mod permits;
mod tunnels;

pub use permits::MAX_HOPS;
pub use requests::{Delivery, HAND_OVER_TIMEOUT, PromptNotice, REPLICATE_TIMEOUT, WitnessReply};

use std::{
    collections::{HashMap, HashSet},
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
    bill_writers::bill_writers,
    entry::Entry,
    keepers::{keepers, stand_ins, with_stand_ins},
    profile::Profile,
    promises::Promises,
    regions::Regions,
    streams::homes::{Homes, homes},
    traffic::Traffic,
    watchers::{Watchers, watchers},
};

/// Maximum number of boxes that a prompt is published to, or that bills are offered to.
const MAX_RECIPIENTS: usize = 12;
/// How long a box that did not answer is not asked again; shorter than most outages.
const SILENT_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// How long a box that announced its stop is not asked again. It has ended by then, and the next
/// start has another incarnation.
const STOPPING_RETRY_DELAY: Duration = Duration::from_secs(10);

/// The other boxes, as listed in the store.
#[derive(Clone)]
pub struct Peers {
    me: Incarnation,
    source: IpAddr,
    state: Arc<Mutex<State>>,
    /// Promises of other boxes to this one.
    pub promises: Promises,
    /// Number of the next published prompt.
    prompts: Arc<AtomicU64>,
    /// Notified when the list of boxes turns out to be stale.
    stale_list: Arc<Notify>,
    /// Bytes of this box's requests and their answers.
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
    regions: Regions,
    known: HashMap<Incarnation, Known>,
    /// Roles in the fleet as known; `None` if they are to be chosen anew.
    roles: Option<Arc<Roles>>,
    random: SmallRng,
    /// When another box was last heard from, and when a request last got no answer.
    last_received: Option<Instant>,
    last_unanswered: Option<Instant>,
}

/// The boxes with a role for the fleet, whether they are reachable or not.
struct Roles {
    keepers: Vec<Incarnation>,
    /// Keepers and the boxes that stand in for them, in the order in which they are asked.
    with_stand_ins: Vec<Incarnation>,
    watchers: Arc<Watchers>,
    bill_writers: Vec<Incarnation>,
    stream_homes: Arc<Homes>,
}

impl State {
    /// The known incarnation of each box.
    fn current_incarnations(&self) -> HashMap<Arc<str>, Incarnation> {
        self.known.keys().map(|name| (name.box_name().into(), name.clone())).collect()
    }

    /// The roles in the fleet; chosen once for each state of the list of boxes.
    fn roles(&mut self) -> Arc<Roles> {
        let State { profile, regions, known, roles, .. } = self;
        let choose = || {
            let others: Vec<Profile> = known.values().map(|known| known.entry.profile()).collect();
            let watchers = Arc::new(watchers(profile, &others, regions));
            let bill_writers = bill_writers(profile, &others);
            let stream_homes = Arc::new(homes(profile, &others));
            let keepers = keepers(profile, &others);
            let stand_ins = stand_ins(profile, &others);
            let with_stand_ins = with_stand_ins(profile, &others, &keepers, &stand_ins);
            Arc::new(Roles { keepers, with_stand_ins, watchers, bill_writers, stream_homes })
        };
        roles.get_or_insert_with(choose).clone()
    }
}

struct Known {
    entry: Entry,
    /// Version of the entry in the store.
    version: u64,
    peer: Peer,
    avoid_until: Option<Instant>,
    /// Until when it is asked last for connections to endpoints.
    avoid_as_exit_until: Option<Instant>,
}

impl Known {
    fn new(entry: Entry, version: u64, peer: Peer) -> Known {
        Known { entry, version, peer, avoid_until: None, avoid_as_exit_until: None }
    }

    fn is_reachable(&self, now: Instant) -> bool {
        self.avoid_until.is_none_or(|end| end <= now)
    }
}

impl Peers {
    /// Knows no other boxes yet. Requests are sent from the IP address on which this box serves
    /// others.
    pub fn open(me: Profile, address: Option<SocketAddr>, seed: u64) -> Peers {
        let source = address.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |address| address.ip());
        let random = SmallRng::seed_from_u64(seed);
        let incarnation = me.incarnation.clone();
        let (address, last_received, last_unanswered) = Default::default();
        let state = State {
            address,
            profile: me,
            regions: Regions::default(),
            known: HashMap::new(),
            roles: None,
            random,
            last_received,
            last_unanswered,
        };
        Peers {
            me: incarnation,
            source,
            state: Arc::new(Mutex::new(state)),
            promises: Promises::default(),
            prompts: Arc::default(),
            stale_list: Arc::default(),
            traffic: Traffic::default(),
        }
    }

    /// Sets which regions the availability zones are in.
    pub fn set_regions(&self, regions: Regions) {
        let mut state = self.state.lock();
        state.regions = regions;
        state.roles = None;
    }

    /// Sets the address on which this box serves others.
    pub fn set_address(&self, address: SocketAddr) {
        self.state.lock().address = Some(address);
    }

    /// Address on which this box serves others.
    pub fn address(&self) -> Option<SocketAddr> {
        self.state.lock().address
    }

    /// Updates the list of boxes to its state at version `at` of the store; each entry comes with
    /// its own version. A stale list never replaces a newer entry.
    pub fn update(&self, entries: Vec<(Entry, u64)>, at: u64) {
        let listed: HashSet<&str> =
            entries.iter().map(|(entry, _)| entry.incarnation.box_name()).collect();
        let is_listed = |name: &Incarnation| listed.contains(name.box_name());
        let mut state = self.state.lock();
        let before = state.known.len();
        state.known.retain(|name, known| known.version > at || is_listed(name));
        let mut is_changed = state.known.len() != before;
        self.promises.retain(|name| state.known.contains_key(name) || is_listed(name));
        let mut current = state.current_incarnations();
        for (entry, version) in &entries {
            let name = &entry.incarnation;
            let known = current.get(name.box_name());
            let is_current = known.is_some_and(|name| state.known[name].version >= *version);
            if is_current || name.box_name() == self.me.box_name() {
                continue;
            }
            if let Some(replaced) = current.insert(name.box_name().into(), name.clone()) {
                state.known.remove(&replaced);
            }
            let peer = Peer::new(entry.peer, self.source);
            let known = Known::new(entry.clone(), *version, peer);
            state.known.insert(name.clone(), known);
            is_changed = true;
        }
        if is_changed {
            state.roles = None;
        }
    }

    /// Waits until the list of boxes turns out to be stale.
    pub async fn stale_list(&self) {
        self.stale_list.notified().await;
    }

    /// Reports that the list of boxes is stale.
    pub fn report_stale_list(&self) {
        self.stale_list.notify_one();
    }

    /// Reachable boxes to ask for tokens, most preferred first; includes this box where it is one
    /// of them.
    pub fn keepers(&self) -> Vec<Incarnation> {
        self.reachable_of(|roles| &roles.keepers)
    }

    /// Reachable keepers and boxes that stand in for them, most preferred first; includes this box
    /// where it is one of them.
    pub fn with_stand_ins(&self) -> Vec<Incarnation> {
        self.reachable_of(|roles| &roles.with_stand_ins)
    }

    /// Reachable boxes to send bills to, most preferred first; includes this box where it is one of
    /// them.
    pub fn bill_writers(&self) -> Vec<Incarnation> {
        self.reachable_of(|roles| &roles.bill_writers)
    }

    /// Boxes with a role that did not recently fail to answer.
    fn reachable_of(&self, of_role: impl FnOnce(&Roles) -> &Vec<Incarnation>) -> Vec<Incarnation> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let mut names = of_role(&state.roles()).clone();
        names.retain(|name| state.known.get(name).is_none_or(|known| known.is_reachable(now)));
        names
    }

    /// Watchers of the store, in the order in which this box asks them; may include this box.
    pub fn watchers(&self) -> Arc<Watchers> {
        self.state.lock().roles().watchers.clone()
    }

    /// The boxes that take the place of all watchers and those on standby once none of these answers:
    /// the watchers of a fleet without the boxes that recently failed to answer. `None` if one of them
    /// does, or if this box is one of them.
    pub fn successors(&self) -> Option<Watchers> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let roles = state.roles();
        let answers = |name| state.known.get(name).is_some_and(|known| known.is_reachable(now));
        if roles.watchers.all().any(|name| *name == self.me || answers(name)) {
            return None;
        }
        let reachable = state.known.values().filter(|known| known.is_reachable(now));
        let others: Vec<Profile> = reachable.map(|known| known.entry.profile()).collect();
        Some(watchers(&state.profile, &others, &state.regions))
    }

    /// Whether this box takes the place of a watcher or of one on standby.
    pub fn is_successor(&self) -> bool {
        self.successors().is_some_and(|watchers| watchers.all().any(|name| *name == self.me))
    }

    /// Boxes that remember where streams began; may include this box.
    pub fn stream_homes(&self) -> Arc<Homes> {
        self.state.lock().roles().stream_homes.clone()
    }

    /// Whether a box is known and has not recently failed to answer.
    pub fn is_reachable(&self, name: &Incarnation) -> bool {
        let state = self.state.lock();
        state.known.get(name).is_some_and(|known| known.is_reachable(Instant::now()))
    }

    /// Whether this box is first in its own order of keepers.
    pub fn is_keeper(&self) -> bool {
        self.keepers().first() == Some(&self.me)
    }

    /// This incarnation of the box.
    pub fn me(&self) -> &Incarnation {
        &self.me
    }

    fn avoid_for(&self, name: &Incarnation, time: Duration) {
        if let Some(known) = self.state.lock().known.get_mut(name) {
            known.avoid_until = Some(Instant::now() + time);
        }
    }

    /// Replaces an incarnation by a later one of the same box that answered in its place.
    fn replace(&self, name: &Incarnation, successor: &Incarnation) {
        let mut state = self.state.lock();
        if let Some(Known { entry, version, peer, .. }) = state.known.remove(name) {
            let entry = Entry { incarnation: successor.clone(), ..entry };
            let known = Known::new(entry, version, peer);
            state.known.entry(successor.clone()).or_insert(known);
            state.roles = None;
        }
    }

    /// Names of all boxes, regardless of their incarnation.
    pub fn fleet(&self) -> Fleet {
        let state = self.state.lock();
        let others = state.known.keys().map(|name| name.box_name().into()).collect();
        Fleet { me: self.me.box_name().into(), others }
    }

    /// Number of other known boxes.
    pub fn len(&self) -> usize {
        self.state.lock().known.len()
    }

    /// Number of boxes in the fleet, including this one.
    pub fn boxes(&self) -> u64 {
        self.len() as u64 + 1
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn knows(&self, name: &Incarnation) -> bool {
        self.state.lock().known.contains_key(name)
    }

    /// A reachable box other than `excluded`.
    pub fn any_reachable(&self, excluded: Option<&Incarnation>) -> Option<Incarnation> {
        let others = self.some_reachable().into_iter().map(|(name, _)| name);
        others.into_iter().find(|name| Some(name) != excluded)
    }

    /// Stops being a witness, before a planned stop.
    pub fn stop_witnessing(&self) {
        self.promises.close();
    }

    /// The known incarnation of the same box.
    fn current_incarnation(&self, name: &Incarnation) -> Option<Incarnation> {
        let state = self.state.lock();
        state.known.keys().find(|other| other.box_name() == name.box_name()).cloned()
    }

    /// Client for whichever incarnation of the same box is known. An answer from a later one shows
    /// that `name` has ended.
    fn current_peer(&self, name: &Incarnation) -> Option<Peer> {
        let state = self.state.lock();
        let mut known = state.known.iter();
        let same_box = known.find(|(other, _)| other.box_name() == name.box_name());
        same_box.map(|(_, known)| known.peer.clone())
    }

    /// Whether a box is in the same availability zone.
    fn is_same_zone(&self, name: &Incarnation) -> bool {
        let state = self.state.lock();
        state.known.get(name).is_some_and(|known| known.entry.zone == state.profile.zone)
    }

    /// Address of a box, if known.
    pub fn address_of(&self, name: &Incarnation) -> Option<SocketAddr> {
        self.peer(name).map(|peer| peer.address())
    }

    fn peer(&self, name: &Incarnation) -> Option<Peer> {
        self.state.lock().known.get(name).map(|known| known.peer.clone())
    }

    /// Boxes that may lend tokens: the keepers other than this box.
    pub fn lenders(&self) -> Vec<Incarnation> {
        self.keepers().into_iter().filter(|name| *name != self.me).collect()
    }

    /// Reachable boxes in random order, at most [`MAX_RECIPIENTS`].
    fn some_reachable(&self) -> Vec<(Incarnation, Peer)> {
        let mut peers = self.reachable();
        peers.truncate(MAX_RECIPIENTS);
        peers.into_iter().map(|(name, peer, _)| (name, peer)).collect()
    }

    /// Reachable boxes that bills may be handed over to, in random order but with one of each
    /// availability zone first, since boxes of one zone may die together.
    pub fn bill_receivers(&self) -> Vec<Incarnation> {
        let mut in_zone: HashMap<Arc<str>, usize> = HashMap::new();
        let reachable = self.reachable();
        let state = self.state.lock();
        let mut ranked: Vec<(usize, Incarnation)> = reachable
            .into_iter()
            .filter_map(|(name, ..)| {
                let count = in_zone.entry(state.known.get(&name)?.entry.zone.clone()).or_default();
                *count += 1;
                Some((*count, name))
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.truncate(MAX_RECIPIENTS);
        ranked.into_iter().map(|(_, name)| name).collect()
    }

    /// Some reachable boxes to publish a prompt to. Boxes in the same availability zone come first,
    /// since traffic between zones costs money; each box learns of as many prompts either way.
    pub fn prompt_recipients(&self) -> Vec<Incarnation> {
        let mut peers = self.reachable();
        peers.sort_by_key(|(.., is_same_zone)| !is_same_zone);
        peers.truncate(MAX_RECIPIENTS);
        peers.into_iter().map(|(name, ..)| name).collect()
    }

    /// All reachable boxes in random order, and whether they are in the same zone.
    fn reachable(&self) -> Vec<(Incarnation, Peer, bool)> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let State { known, random, profile, .. } = &mut *state;
        let reachable = known.iter().filter(|(_, known)| known.is_reachable(now));
        let info = |(name, known): (&Incarnation, &Known)| {
            (name.clone(), known.peer.clone(), known.entry.zone == profile.zone)
        };
        let mut peers: Vec<(Incarnation, Peer, bool)> = reachable.map(info).collect();
        peers.sort_by(|a, b| a.0.cmp(&b.0));
        peers.shuffle(random);
        peers
    }
}
