//! Other boxes: which are in reach, what they told, and asking them.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use ledger::{Entry, Incarnation, Transfer};
use member::Member;
use parking_lot::Mutex;
use rand::{SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use timeline::{EventKind, Log};
use wire::{Frame, Message, Peer, Status};

/// Longest wait for an answer.
const WITHIN: Duration = Duration::from_millis(250);
/// Longest wait for a peer that makes a platform call for this box.
const CALL_WITHIN: Duration = Duration::from_secs(2);
/// Peers that carry one entry.
const CARRIERS: usize = 2;
/// Peers asked at once for tokens.
const ASKED: usize = 8;
/// Exchanges that fail in a row before a peer counts as out of reach.
const LOST_AFTER: u32 = 2;

#[derive(Clone)]
struct Known {
    peer: Peer,
    zone: Arc<str>,
    failures: u32,
    up: bool,
    told: Option<Status>,
}

struct State {
    known: HashMap<Incarnation, Known>,
    random: ChaCha8Rng,
}

/// The registry of other boxes.
#[derive(Clone)]
pub struct Peers {
    state: Arc<Mutex<State>>,
    me: Arc<Mutex<Incarnation>>,
    source: IpAddr,
    zone: Arc<str>,
    log: Log,
}

impl Peers {
    /// No peers yet; questions leave from `source`.
    pub fn new(source: IpAddr, zone: Arc<str>, log: Log, seed: u64) -> Peers {
        let state = State { known: HashMap::new(), random: ChaCha8Rng::seed_from_u64(seed) };
        let me = Arc::new(Mutex::new(Incarnation::from("")));
        Peers { state: Arc::new(Mutex::new(state)), me, source, zone, log }
    }

    /// The name under which this box asks from now on.
    pub fn rename(&self, me: Incarnation) {
        *self.me.lock() = me;
    }

    /// A member object was read.
    pub fn observe(&self, member: &Member) {
        let Ok(address) = member.peer.parse::<SocketAddr>() else { return };
        let own_box = member.incarnation.box_name() == self.me.lock().box_name();
        let mut state = self.state.lock();
        let known = state.known.get(&member.incarnation);
        let same = known.is_some_and(|known| known.peer.address() == address);
        if same || own_box {
            return;
        }
        let peer = Peer::new(address, self.source);
        let zone = member.zone.clone();
        let known = Known { peer, zone, failures: 0, up: false, told: None };
        state.known.insert(member.incarnation.clone(), known);
    }

    /// Exchanges with an address given in the settings, whoever answers there.
    pub async fn seed(&self, address: SocketAddr, told: Status) -> Option<(Incarnation, Status)> {
        let peer = Peer::new(address, self.source);
        let answer = peer.ask(&self.message(Frame::Status(told)), WITHIN).await.ok()?;
        let Frame::Status(told) = answer.frame else { return None };
        let known = Known {
            peer,
            zone: self.zone.clone(),
            failures: 0,
            up: true,
            told: Some(told.clone()),
        };
        self.state.lock().known.entry(answer.from.clone()).or_insert(known);
        Some((answer.from, told))
    }

    /// A member object was removed.
    pub fn remove(&self, incarnation: &Incarnation) {
        self.state.lock().known.remove(incarnation);
    }

    /// Peers in reach, in random order, those of other zones first if `spread`.
    fn up(&self, spread: bool) -> Vec<(Incarnation, Peer)> {
        let mut state = self.state.lock();
        let State { known, random } = &mut *state;
        let mut up: Vec<_> = known.iter().filter(|(_, known)| known.up).collect();
        up.sort_by(|a, b| a.0.cmp(b.0));
        up.shuffle(random);
        if spread {
            up.sort_by_key(|(_, known)| known.zone == self.zone);
        }
        up.into_iter().map(|(name, known)| (name.clone(), known.peer.clone())).collect()
    }

    /// A random few of all known peers, to exchange with.
    pub fn some(&self, most: usize) -> Vec<Incarnation> {
        let mut state = self.state.lock();
        let State { known, random } = &mut *state;
        let mut names: Vec<Incarnation> = known.keys().cloned().collect();
        names.sort();
        names.shuffle(random);
        names.truncate(most);
        names
    }

    /// Names of the peers in reach.
    pub fn in_reach(&self) -> Vec<Incarnation> {
        let state = self.state.lock();
        let up = state.known.iter().filter(|(_, known)| known.up);
        up.map(|(name, _)| name.clone()).collect()
    }

    fn message(&self, frame: Frame) -> Message {
        Message { from: self.me.lock().clone(), stamp: self.log.stamp(), frame }
    }

    async fn ask(&self, peer: &Peer, frame: Frame, within: Duration) -> Option<Frame> {
        let answer = peer.ask(&self.message(frame), within).await.ok()?;
        self.log.observe(answer.stamp);
        Some(answer.frame)
    }

    /// Asks one peer by name.
    pub async fn ask_one(&self, name: &Incarnation, frame: Frame) -> Option<Frame> {
        let peer = self.state.lock().known.get(name).map(|known| known.peer.clone())?;
        self.ask(&peer, frame, WITHIN).await
    }

    /// Exchanges what both sides know; `None` if the peer is out of reach.
    pub async fn tell(&self, name: &Incarnation, told: Status) -> Option<Status> {
        let answer = self.ask_one(name, Frame::Status(told)).await;
        let told = match answer {
            Some(Frame::Status(told)) => Some(told),
            _ => None,
        };
        self.note(name, told.clone());
        told
    }

    /// A peer told something, or did not answer.
    pub fn note(&self, name: &Incarnation, told: Option<Status>) {
        let mut state = self.state.lock();
        let Some(known) = state.known.get_mut(name) else { return };
        let was = known.up;
        match told {
            Some(told) => {
                known.failures = 0;
                known.up = true;
                known.told = Some(told);
            }
            None => {
                known.failures += 1;
                known.up &= known.failures < LOST_AFTER;
            }
        }
        let peer = name.as_str().into();
        match (was, known.up) {
            (false, true) => self.log.add(EventKind::PeerBack { peer }),
            (true, false) => self.log.add(EventKind::PeerLost { peer }),
            _ => {}
        }
    }

    /// Makes a platform call through a peer that reaches the platform.
    pub async fn call(&self, question: wire::PlatformCall) -> Option<Frame> {
        let reaches = |name: &Incarnation| {
            let state = self.state.lock();
            let told = state.known.get(name).and_then(|known| known.told.as_ref());
            told.is_some_and(|told| told.platform)
        };
        let (_, peer) = self.up(false).into_iter().find(|(name, _)| reaches(name))?;
        self.ask(&peer, Frame::Call(question), CALL_WITHIN).await
    }

    /// Whether any peer in reach says that it reaches the platform.
    pub fn reaches_platform(&self) -> bool {
        let state = self.state.lock();
        let reaches = |known: &Known| known.up && known.told.as_ref().is_some_and(|t| t.platform);
        state.known.values().any(reaches)
    }
}

#[async_trait::async_trait]
impl session::Peers for Peers {
    async fn replicate(&self, by: &Incarnation, entry: &Entry) -> usize {
        let asked = self.up(true).into_iter().take(CARRIERS).map(|(_, peer)| async move {
            let frame = Frame::Carry { by: by.clone(), entries: vec![entry.clone()] };
            self.ask(&peer, frame, WITHIN).await
        });
        let answers = futures_util::future::join_all(asked).await;
        let took = |answer: &&Option<Frame>| matches!(answer, Some(Frame::Taken { count: 1.. }));
        answers.iter().filter(took).count()
    }

    async fn return_surplus(&self, budget: &Arc<str>, tokens: u64) -> bool {
        let asked = self.up(false).into_iter().take(ASKED).map(|(_, peer)| async move {
            let frame = Frame::Spare { budget: budget.clone(), tokens };
            self.ask(&peer, frame, CALL_WITHIN).await
        });
        let answers = futures_util::future::join_all(asked).await;
        answers.iter().any(|answer| matches!(answer, Some(Frame::Spared { returned: true })))
    }

    async fn lend(&self, budget: &Arc<str>, tokens: u64, _: &Incarnation) -> Option<Transfer> {
        // One after the other: whoever gives debits itself, so asking all would strand tokens.
        for (_, peer) in self.up(false).into_iter().take(ASKED) {
            let frame = Frame::Lend { budget: budget.clone(), tokens };
            if let Some(Frame::Lent { transfer: Some(transfer) }) =
                self.ask(&peer, frame, WITHIN).await
            {
                return Some(transfer);
            }
        }
        None
    }
}
