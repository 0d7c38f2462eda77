//! Other boxes: which are reachable, their last status, and requests to them.

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

/// Timeout of a request to a peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a request for which the peer calls the platform.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers asked to store a replica of one journal entry.
const MAX_REPLICAS: usize = 2;
/// Most peers asked for tokens by one request.
const MAX_ASKED: usize = 8;
/// Consecutive failed exchanges after which a peer counts as unreachable.
const MAX_FAILURES: u32 = 2;

#[derive(Clone)]
struct PeerState {
    peer: Peer,
    zone: Arc<str>,
    failures: u32,
    reachable: bool,
    status: Option<Status>,
}

struct State {
    known: HashMap<Incarnation, PeerState>,
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
    /// Starts without peers; connections to them are made from `source`.
    pub fn new(source: IpAddr, zone: Arc<str>, log: Log, seed: u64) -> Peers {
        let state = State { known: HashMap::new(), random: ChaCha8Rng::seed_from_u64(seed) };
        let me = Arc::new(Mutex::new(Incarnation::from("")));
        Peers { state: Arc::new(Mutex::new(state)), me, source, zone, log }
    }

    /// Sets the incarnation that this box names as the sender.
    pub fn set_incarnation(&self, me: Incarnation) {
        *self.me.lock() = me;
    }

    /// Adds or updates a peer from its member object.
    pub fn observe(&self, member: &Member) {
        let Ok(address) = member.peer.parse::<SocketAddr>() else { return };
        let is_own_box = member.incarnation.box_name() == self.me.lock().box_name();
        let mut state = self.state.lock();
        let known = state.known.get(&member.incarnation);
        let same = known.is_some_and(|known| known.peer.address() == address);
        if same || is_own_box {
            return;
        }
        let peer = Peer::new(address, self.source);
        let zone = member.zone.clone();
        let known = PeerState { peer, zone, failures: 0, reachable: false, status: None };
        state.known.insert(member.incarnation.clone(), known);
    }

    /// Exchanges status with an address from the settings and adds the peer that answers.
    pub async fn contact_seed(
        &self,
        address: SocketAddr,
        status: Status,
    ) -> Option<(Incarnation, Status)> {
        let peer = Peer::new(address, self.source);
        let answer = peer.ask(&self.message(Frame::Status(status)), REQUEST_TIMEOUT).await.ok()?;
        let Frame::Status(status) = answer.frame else { return None };
        let known = PeerState {
            peer,
            zone: self.zone.clone(),
            failures: 0,
            reachable: true,
            status: Some(status.clone()),
        };
        self.state.lock().known.entry(answer.from.clone()).or_insert(known);
        Some((answer.from, status))
    }

    /// Removes a peer whose member object was deleted.
    pub fn remove(&self, incarnation: &Incarnation) {
        self.state.lock().known.remove(incarnation);
    }

    /// Reachable peers in random order, those of other zones first if `spread`.
    fn reachable(&self, spread: bool) -> Vec<(Incarnation, Peer)> {
        let mut state = self.state.lock();
        let State { known, random } = &mut *state;
        let mut reachable: Vec<_> = known.iter().filter(|(_, known)| known.reachable).collect();
        reachable.sort_by(|a, b| a.0.cmp(b.0));
        reachable.shuffle(random);
        if spread {
            reachable.sort_by_key(|(_, known)| known.zone == self.zone);
        }
        reachable.into_iter().map(|(name, known)| (name.clone(), known.peer.clone())).collect()
    }

    /// Up to `max` random peers, reachable or not.
    pub fn sample(&self, max: usize) -> Vec<Incarnation> {
        let mut state = self.state.lock();
        let State { known, random } = &mut *state;
        let mut names: Vec<Incarnation> = known.keys().cloned().collect();
        names.sort();
        names.shuffle(random);
        names.truncate(max);
        names
    }

    /// Names of the reachable peers.
    pub fn reachable_names(&self) -> Vec<Incarnation> {
        let state = self.state.lock();
        let reachable = state.known.iter().filter(|(_, known)| known.reachable);
        reachable.map(|(name, _)| name.clone()).collect()
    }

    fn message(&self, frame: Frame) -> Message {
        Message { from: self.me.lock().clone(), stamp: self.log.stamp(), frame }
    }

    async fn ask(&self, peer: &Peer, frame: Frame, timeout: Duration) -> Option<Frame> {
        let answer = peer.ask(&self.message(frame), timeout).await.ok()?;
        self.log.observe(answer.stamp);
        Some(answer.frame)
    }

    /// Sends a request to the peer with this name.
    pub async fn ask_one(&self, name: &Incarnation, frame: Frame) -> Option<Frame> {
        let peer = self.state.lock().known.get(name).map(|known| known.peer.clone())?;
        self.ask(&peer, frame, REQUEST_TIMEOUT).await
    }

    /// Exchanges status with a peer; `None` if it does not answer.
    pub async fn exchange_status(&self, name: &Incarnation, status: Status) -> Option<Status> {
        let answer = self.ask_one(name, Frame::Status(status)).await;
        let status = match answer {
            Some(Frame::Status(status)) => Some(status),
            _ => None,
        };
        self.record_status(name, status.clone());
        status
    }

    /// Records a peer's status, or that it did not answer.
    pub fn record_status(&self, name: &Incarnation, status: Option<Status>) {
        let mut state = self.state.lock();
        let Some(known) = state.known.get_mut(name) else { return };
        let was_reachable = known.reachable;
        match status {
            Some(status) => {
                known.failures = 0;
                known.reachable = true;
                known.status = Some(status);
            }
            None => {
                known.failures += 1;
                known.reachable &= known.failures < MAX_FAILURES;
            }
        }
        let peer = name.as_str().into();
        match (was_reachable, known.reachable) {
            (false, true) => self.log.add(EventKind::PeerBack { peer }),
            (true, false) => self.log.add(EventKind::PeerLost { peer }),
            _ => {}
        }
    }

    /// Makes a platform call through a peer that can reach the platform.
    pub async fn call(&self, request: wire::PlatformCall) -> Option<Frame> {
        let reaches = |name: &Incarnation| {
            let state = self.state.lock();
            let status = state.known.get(name).and_then(|known| known.status.as_ref());
            status.is_some_and(|status| status.is_platform_reachable)
        };
        let (_, peer) = self.reachable(false).into_iter().find(|(name, _)| reaches(name))?;
        self.ask(&peer, Frame::Call(request), PLATFORM_CALL_TIMEOUT).await
    }

    /// Whether any reachable peer reports that it can reach the platform.
    pub fn reaches_platform(&self) -> bool {
        let state = self.state.lock();
        let reaches = |known: &PeerState| {
            known.reachable
                && known.status.as_ref().is_some_and(|status| status.is_platform_reachable)
        };
        state.known.values().any(reaches)
    }
}

#[async_trait::async_trait]
impl session::Peers for Peers {
    async fn replicate(&self, by: &Incarnation, entry: &Entry) -> usize {
        let requests =
            self.reachable(true).into_iter().take(MAX_REPLICAS).map(|(_, peer)| async move {
                let frame = Frame::Carry { by: by.clone(), entries: vec![entry.clone()] };
                self.ask(&peer, frame, REQUEST_TIMEOUT).await
            });
        let answers = futures_util::future::join_all(requests).await;
        let accepted =
            |answer: &&Option<Frame>| matches!(answer, Some(Frame::Taken { count: 1.. }));
        answers.iter().filter(accepted).count()
    }

    async fn return_surplus(&self, budget: &Arc<str>, tokens: u64) -> bool {
        let requests =
            self.reachable(false).into_iter().take(MAX_ASKED).map(|(_, peer)| async move {
                let frame = Frame::Spare { budget: budget.clone(), tokens };
                self.ask(&peer, frame, PLATFORM_CALL_TIMEOUT).await
            });
        let answers = futures_util::future::join_all(requests).await;
        answers.iter().any(|answer| matches!(answer, Some(Frame::Spared { returned: true })))
    }

    async fn lend(&self, budget: &Arc<str>, tokens: u64, _: &Incarnation) -> Option<Transfer> {
        // Sequentially: a lender debits itself, so tokens lent by a second peer would be stranded.
        for (_, peer) in self.reachable(false).into_iter().take(MAX_ASKED) {
            let frame = Frame::Lend { budget: budget.clone(), tokens };
            if let Some(Frame::Lent { transfer: Some(transfer) }) =
                self.ask(&peer, frame, REQUEST_TIMEOUT).await
            {
                return Some(transfer);
            }
        }
        None
    }
}
