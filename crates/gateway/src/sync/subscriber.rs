//! Chooses the source of this box's updates: the store itself if it is a watcher, else a watcher,
//! and the store as a fallback.
//!
//! Endpoints and callers rely on updates within a bounded time, 2 s in the strictest deployments. A
//! watcher that is suspended or gone is noticed after [`SIGN`] plus [`LATE`]; one that cannot reach
//! the store reports that itself (see `watcher`). The next watcher answers within [`LATE`] or is
//! skipped. If none does, the box reads the store itself.

use std::time::Duration;

use ledger::Incarnation;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};
use wire::{Subscribe, Update};

use crate::{
    clock::Dataset,
    fleet::{entry::BOXES, peers::Peers, watchers::Watchers},
    outage::Probe,
    sync::watcher::{Looking, Setup},
};

/// Time after which a watcher without updates answers anyway, as a heartbeat.
const SIGN: Duration = Duration::from_millis(500);
/// Additional time allowed for the answer: many times the round trip between availability zones,
/// with a margin for a busy box.
const LATE: Duration = Duration::from_millis(300);
/// The same for a full snapshot, which a watcher may have to send to all its subscribers at once.
const LATE_WHOLE: Duration = Duration::from_millis(600);
/// Pause before watchers are asked again if none answered: standby watchers start to watch when
/// they are asked, which takes a few calls to the store.
const AGAIN: Duration = Duration::from_millis(100);
/// Longest random delay before a box without a source watches the store itself, so that boxes that
/// lost the same watchers do not read the store at the same moment.
const SPREAD: Duration = Duration::from_millis(200);
/// How long it watches then before it asks watchers again; up to half longer at random.
const ON_ITS_OWN: Duration = Duration::from_secs(5);
/// A standby watcher keeps watching for this long after the last request: longer than the other
/// watchers of its subscribers take to restart.
const STANDS_IN: Duration = Duration::from_secs(10);
/// Interval at which a box probes the store itself while no watcher reaches it, up to half longer
/// at random: the store may be reachable from here only. Long enough that a whole fleet may do so
/// during an outage; each probe is a cheap read.
const OWN_LOOK: Duration = Duration::from_millis(1_500);
/// Timeout of that probe: twice the latency of a slow store.
const OWN_LOOK_WITHIN: Duration = Duration::from_millis(500);
/// Time for a watcher to reach the store again after an outage, two of its probes. A box that finds
/// the store first waits this long before it reads the store itself.
const RETURN: Duration = Duration::from_millis(1_000);
/// Interval at which a box checks whether it is a watcher.
const ROLE: Duration = Duration::from_millis(500);
/// Longest time that a starting box waits to learn of other boxes.
const KNOWN: Duration = Duration::from_secs(3);

/// Receives the updates of this box.
pub struct Subscriber {
    peers: Peers,
    setup: Setup,
    /// Set once this box has read the list of boxes.
    listed: watch::Receiver<Option<u64>>,
    random: SmallRng,
}

/// State of the subscription to one watcher.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Heard {
    home: Incarnation,
    last: u64,
    away: bool,
}

impl Subscriber {
    pub fn new(
        peers: Peers,
        setup: Setup,
        listed: watch::Receiver<Option<u64>>,
        seed: u64,
    ) -> Subscriber {
        Subscriber { peers, setup, listed, random: SmallRng::seed_from_u64(seed) }
    }

    /// Receives updates for as long as the box runs.
    pub async fn run(mut self) {
        self.wait_for_others().await;
        loop {
            if self.peers.is_empty() || self.peers.watchers().is_active(self.peers.me()) {
                self.look("home", None).await;
            } else if self.was_asked() {
                self.look("asked", None).await;
            } else if !self.listen().await {
                let time = self.spread(ON_ITS_OWN);
                self.look("alone", Some(time)).await;
            }
        }
    }

    /// Waits until this box knows others or has read the list: boxes that start together know few
    /// others at first.
    async fn wait_for_others(&mut self) {
        let peers = self.peers.clone();
        let listed = async {
            while peers.is_empty() && self.listed.borrow().is_none() {
                let _ = timeout(AGAIN, self.listed.changed()).await;
            }
        };
        let _ = timeout(KNOWN, listed).await;
    }

    fn was_asked(&self) -> bool {
        self.setup.view.asked().is_some_and(|at| at.elapsed() < STANDS_IN)
    }

    /// Watches the store for as long as this box is a watcher or was asked recently, or for `time`.
    async fn look(&self, why: &str, time: Option<Duration>) {
        tracing::info!(event = "news_from_store", why);
        let probe = if why == "home" { Probe::Eager } else { Probe::Lazy };
        let looking = Looking::spawn(&self.setup, probe);
        let began = Instant::now();
        loop {
            sleep(ROLE).await;
            let is_home = self.peers.is_empty() || self.peers.watchers().is_active(self.peers.me());
            let goes_on = match time {
                _ if is_home && probe == Probe::Lazy => false,
                Some(time) => began.elapsed() < time || self.was_asked(),
                None => is_home || self.was_asked(),
            };
            if !goes_on {
                drop(looking);
                self.setup.view.start_over();
                return;
            }
        }
    }

    /// Subscribes to watchers until this box should watch the store itself; returns false if no
    /// watcher answers.
    async fn listen(&mut self) -> bool {
        let mut heard: Option<Heard> = None;
        let mut lost = Instant::now();
        let mut next_look = Instant::now();
        // Whether this box probed the store itself during the outage and did not reach it either.
        let mut in_vain = false;
        loop {
            let watchers = self.peers.watchers();
            if watchers.is_active(self.peers.me()) || self.was_asked() || self.peers.is_empty() {
                return true;
            }
            let stays = heard.filter(|heard| watchers.all().any(|home| *home == heard.home));
            heard = match stays {
                Some(known) => self.listen_on(known).await,
                None => self.find(&watchers).await,
            };
            match &heard {
                Some(known) if known.away && next_look <= Instant::now() => {
                    match self.reaches_store().await {
                        true if in_vain => heard = self.after_return(&known.clone()).await,
                        true => return false,
                        false => in_vain = true,
                    }
                    if heard.is_none() {
                        return false;
                    }
                    next_look = Instant::now() + self.spread(OWN_LOOK);
                    lost = Instant::now();
                }
                Some(known) => {
                    in_vain &= known.away;
                    lost = Instant::now();
                }
                None if lost.elapsed() > SIGN + LATE + self.patience() => {
                    sleep(SPREAD.mul_f64(self.random.random())).await;
                    return false;
                }
                None => sleep(AGAIN).await,
            }
        }
    }

    /// Whether the store answers this box, although no watcher reaches it.
    async fn reaches_store(&self) -> bool {
        let Setup { store, name, .. } = &self.setup;
        store.answers(BOXES, name, OWN_LOOK_WITHIN).await.is_ok()
    }

    /// This box reached the store again before its watcher reported that. Gives the watcher time to
    /// reach it too, and continues the subscription if it does.
    async fn after_return(&self, heard: &Heard) -> Option<Heard> {
        sleep(RETURN).await;
        let updates = self.ask(&heard.home, Some(heard.last), true, Duration::ZERO).await?;
        let now = Heard { last: updates.last, away: updates.away_ms.is_some(), ..heard.clone() };
        self.setup.view.hear(updates);
        (!now.away).then_some(now)
    }

    /// A duration, up to half longer at random.
    fn spread(&mut self, time: Duration) -> Duration {
        time.mul_f64(1.0 + self.random.random::<f64>() / 2.0)
    }

    /// How long to look for a watcher after the last one was silent. A box without a configuration
    /// serves no requests yet, and boxes that start together have no watchers at first.
    fn patience(&self) -> Duration {
        match self.setup.view.knows_config() {
            true => AGAIN,
            false => KNOWN,
        }
    }

    /// Waits for the next updates of a watcher; `None` if it is silent.
    async fn listen_on(&self, heard: Heard) -> Option<Heard> {
        let suspensions = self.setup.watchdog.suspensions();
        let listened = self.ask(&heard.home, Some(heard.last), heard.away, SIGN);
        let updates = tokio::select! {
            updates = listened => updates?,
            // Another box asks this one to watch the store.
            () = self.setup.view.wanted() => return Some(heard),
            // After a suspension the watcher may be gone and the connection dead.
            () = self.setup.watchdog.next_suspension(suspensions) => return None,
        };
        let now = Heard { last: updates.last, away: updates.away_ms.is_some(), ..heard.clone() };
        let lost_store = now.away && !heard.away;
        self.setup.view.hear(updates);
        match lost_store {
            true => self.in_touch(&heard.home).await.or(Some(now)),
            false => Some(now),
        }
    }

    /// Subscribes to another watcher, one that reaches the store.
    async fn in_touch(&self, not: &Incarnation) -> Option<Heard> {
        let watchers = self.peers.watchers();
        for home in
            watchers.first.iter().filter(|home| *home != not && self.peers.is_reachable(home))
        {
            match self.ask(home, None, true, Duration::ZERO).await {
                Some(updates) if updates.away_ms.is_none() => return self.whole(home).await,
                _ => {}
            }
        }
        None
    }

    /// Subscribes to the first watcher that answers and reaches the store; if none does, to one
    /// that answers; as a last resort to a standby watcher.
    async fn find(&self, watchers: &Watchers) -> Option<Heard> {
        let awake = |home: &&Incarnation| self.peers.is_reachable(home);
        let mut away = None;
        for home in watchers.first.iter().filter(awake) {
            match self.ask(home, None, true, Duration::ZERO).await {
                Some(updates) if updates.away_ms.is_none() => return self.whole(home).await,
                Some(_) => away = away.or(Some(home)),
                None => {}
            }
        }
        if let Some(home) = away {
            return self.whole(home).await;
        }
        for home in watchers.standby.iter().filter(awake) {
            match self.whole(home).await {
                None => {}
                heard => return heard,
            }
        }
        None
    }

    /// Receives a full snapshot from a watcher.
    async fn whole(&self, home: &Incarnation) -> Option<Heard> {
        let suspensions = self.setup.watchdog.suspensions();
        let updates = self.ask(home, Some(0), false, Duration::ZERO).await?;
        let heard = self.take(home, updates);
        if !heard.away {
            self.setup.watchdog.read(Dataset::Config, suspensions);
            self.setup.watchdog.read(Dataset::Endpoints, suspensions);
        }
        Some(heard)
    }

    fn take(&self, home: &Incarnation, updates: Update) -> Heard {
        tracing::info!(
            event = "news_from_home",
            home = home.as_str(),
            changes = updates.changes.len(),
            whole = updates.whole,
            away_ms = updates.away_ms,
        );
        let heard =
            Heard { home: home.clone(), last: updates.last, away: updates.away_ms.is_some() };
        self.setup.view.hear(updates);
        heard
    }

    async fn ask(
        &self,
        home: &Incarnation,
        since: Option<u64>,
        away: bool,
        wait: Duration,
    ) -> Option<Update> {
        let wait_ms = wait.as_millis() as u64;
        let config = self.setup.view.config_at();
        let listen = Subscribe { watcher: home.clone(), since, config, away, wait_ms };
        let late = if since == Some(0) { LATE_WHOLE } else { LATE };
        self.peers.listen(listen, wait + late).await
    }
}
