//! Where a box gets its news: from the store if it is a home, else from one, in the end from the store.
//!
//! The time that news may take is bounded by what endpoints and callers rely on: 2 s on the smallest
//! deployments. A home that is paused or gone is noticed after [`SIGN`] and [`LATE`], one that is cut off
//! from the store says so itself within 1.3 s; the next home answers within some milliseconds, or not
//! within [`LATE`]; a read of the store takes a quarter of a second where it is slow. So 1.7 s at worst,
//! where no two of these come together.

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

/// Time after which a home without news answers all the same.
const SIGN: Duration = Duration::from_millis(500);
/// Longest time for the answer to come besides: many times the way there and back between availability
/// zones, with room for a box that is busy.
const LATE: Duration = Duration::from_millis(300);
/// The same for all that a home knows: some 100 KB to each of 50 listeners over its link.
const LATE_WHOLE: Duration = Duration::from_millis(600);
/// Pause before homes are asked once more where none answered: those that stand by begin to look when
/// they are asked, which takes a few calls of the store.
const AGAIN: Duration = Duration::from_millis(100);
/// Longest random pause before a box looks itself because it heard nobody, so that boxes that lost the
/// same homes do not read the store at the same moment.
const SPREAD: Duration = Duration::from_millis(200);
/// How long it looks then, before it asks homes again; up to half more at random.
const ON_ITS_OWN: Duration = Duration::from_secs(5);
/// A box that stands by looks for this long after it was asked last: longer than its listeners' other
/// homes take to start again.
const STANDS_IN: Duration = Duration::from_secs(10);
/// Time between two looks at the store itself while the home that is listened to does not reach it and
/// no other home does: the store may turn away just these. At random up to half longer. Where all boxes
/// have lost the store, 295 of them make 150 such reads a second, at a tenth of the price of a call.
const OWN_LOOK: Duration = Duration::from_millis(1_500);
/// Longest time for its answer: a store that is slow takes half of it.
const OWN_LOOK_WITHIN: Duration = Duration::from_millis(500);
/// Time for a home to find the store once it is back, two of its looks: a box that finds it sooner goes
/// on to listen. Of 40 boxes 18 read the store by themselves at its return before.
const RETURN: Duration = Duration::from_millis(1_000);
/// Time between two looks whether this box is a home.
const ROLE: Duration = Duration::from_millis(500);
/// Longest wait of a start for the other boxes to be known.
const KNOWN: Duration = Duration::from_secs(3);

/// Gets the news of one box.
pub struct Subscriber {
    peers: Peers,
    setup: Setup,
    /// Set once this box has read which others there are.
    listed: watch::Receiver<Option<u64>>,
    random: SmallRng,
}

/// What a box has heard of the home that it listens to.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Heard {
    home: Incarnation,
    last: u64,
    away: bool,
}

impl Subscriber {
    /// Knows nothing yet.
    pub fn new(
        peers: Peers,
        setup: Setup,
        listed: watch::Receiver<Option<u64>>,
        seed: u64,
    ) -> Subscriber {
        Subscriber { peers, setup, listed, random: SmallRng::seed_from_u64(seed) }
    }

    /// Gets news for as long as the box runs.
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

    /// Boxes that start together know few others at first; one that starts later knows them at once.
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

    /// Looks at the store for as long as this box is a home or was asked lately, or for a time.
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

    /// Listens to homes until this box is to look itself; `false` if none answers.
    async fn listen(&mut self) -> bool {
        let mut heard: Option<Heard> = None;
        let mut lost = Instant::now();
        let mut next_look = Instant::now();
        // Whether this box looked at the store itself since the home lost it, and found nothing.
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

    /// Whether the store answers this box, though no home reaches it.
    async fn reaches_store(&self) -> bool {
        let Setup { store, name, .. } = &self.setup;
        store.answers(BOXES, name, OWN_LOOK_WITHIN).await.is_ok()
    }

    /// This box found the store again before the home said so: what the home tells a little later, if it
    /// reaches the store by then.
    async fn after_return(&self, heard: &Heard) -> Option<Heard> {
        sleep(RETURN).await;
        let updates = self.ask(&heard.home, Some(heard.last), true, Duration::ZERO).await?;
        let now = Heard { last: updates.last, away: updates.away_ms.is_some(), ..heard.clone() };
        self.setup.view.hear(updates);
        (!now.away).then_some(now)
    }

    /// A time, at random up to half longer.
    fn spread(&mut self, time: Duration) -> Duration {
        time.mul_f64(1.0 + self.random.random::<f64>() / 2.0)
    }

    /// How long homes are looked for after the last one was found silent. A box that knows nothing yet
    /// is not in use, and boxes that start together are no homes at first.
    fn patience(&self) -> Duration {
        match self.setup.view.knows_config() {
            true => AGAIN,
            false => KNOWN,
        }
    }

    /// Hears the next news of a home; `None` if it is silent.
    async fn listen_on(&self, heard: Heard) -> Option<Heard> {
        let suspensions = self.setup.watchdog.suspensions();
        let listened = self.ask(&heard.home, Some(heard.last), heard.away, SIGN);
        let updates = tokio::select! {
            updates = listened => updates?,
            // Another box wants this one to look.
            () = self.setup.view.wanted() => return Some(heard),
            // The home may be gone, and the connection to it dead.
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

    /// Another home, which reaches the store.
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

    /// The first home that answers and reaches the store; if none does, one that answers; in the end one
    /// that stands by.
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

    /// All that a home knows.
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
