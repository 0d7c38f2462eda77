//! Chooses the source of this box's updates: the store itself if it is a root, a root if it relays,
//! else any watcher, and the store as a fallback.
//!
//! Endpoints and callers rely on updates within a bounded time, 2 s in the strictest deployments. A
//! watcher that is suspended or gone is noticed after [`HEARTBEAT_INTERVAL`] plus
//! [`ANSWER_TIMEOUT`]; one that cannot reach the store reports that itself (see `watcher`); one that
//! answers, but was not confirmed by the store for too long, shows in the ages that it names. The
//! others are then asked together, and the one that was confirmed last is used. If none knows better,
//! the box watches the store itself, at the age that [`Bounds`](crate::freshness::Bounds) sets, however many
//! sources were silent one after the other: a [`Deadline`] ends the search.
//!
//! Once neither a watcher nor a box on standby answers, the boxes that would be watchers without these take
//! their place: each box that knows the same silent boxes chooses the same ones. They watch the store when
//! they are asked, so that not every box has to.

use std::time::Duration;

use ledger::Incarnation;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};
use wire::{Subscribe, SubscribeAged, UpdateAged};

use crate::{
    clock::Dataset,
    fleet::{peers::Peers, watchers::Watchers},
    freshness::{Source, Subject},
    outage::Probe,
    sync::{
        candidates::Candidates, deadline::Deadline, fallback::probe_interval, setup::Setup,
        steps::Steps, subscription::Subscription, watcher::Watcher,
    },
};

/// Time after which a watcher without updates answers anyway, as a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Additional time allowed for the answer: many times the round trip between availability zones,
/// with a margin for a busy box.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for a full snapshot, or each part of it, which a watcher may have to send to all its
/// subscribers at once.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after its start in which a box without a configuration asks no watcher on standby: in a fleet
/// that starts, the active ones answer once they have read the store.
const START_PATIENCE: Duration = Duration::from_millis(1_000);
/// Pause before watchers are asked again if none answered: standby watchers start to watch when
/// they are asked, which takes a few calls to the store.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest random delay before a box without a source watches the store itself, so that boxes that
/// lost the same watchers do not read the store at the same moment.
const MAX_FALLBACK_DELAY: Duration = Duration::from_millis(200);
/// How long it watches then before it asks watchers again; up to half longer at random.
const FALLBACK_TIME: Duration = Duration::from_secs(5);
/// A standby watcher keeps watching for this long after the last request: longer than the other
/// watchers of its subscribers take to restart.
const STANDBY_TIME: Duration = Duration::from_secs(10);
/// Time for each box of the fleet over which boxes that start together give up to find a watcher:
/// each of them then reads everything from the store.
const GIVE_UP_SPREAD: Duration = Duration::from_millis(5);
/// Time in which a box that reads the store beside the watchers has to read all of it. While it tries it
/// hears nothing of the watchers.
const FALLBACK_LOAD_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which a box probes the store itself while no watcher reaches it, up to half longer
/// at random: the store may be reachable from here only. Long enough that a whole fleet may do so
/// during an outage; each probe is a cheap read.
const OWN_PROBE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time for a watcher to reach the store again after an outage, two of its probes. A box that finds
/// the store first waits this long before it reads the store itself.
const RECOVERY_DELAY: Duration = Duration::from_millis(1_000);
/// Interval at which a box checks whether it is a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a starting box looks for a watcher before it watches the store itself.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Receives the updates of this box.
pub struct Subscriber {
    peers: Peers,
    setup: Setup,
    /// Set once this box has read the list of boxes.
    listed: watch::Receiver<Option<u64>>,
    random: SmallRng,
    started: Instant,
    /// When this box gives up after its start, as a part of the time that the fleet takes; random.
    gives_up_at: f64,
    /// Reads of the store that it gave up, one after the other.
    vain_reads: u32,
}

/// What a watcher says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Condition {
    /// The store confirms what it knows.
    Current,
    /// It answers, and was not confirmed for too long.
    Outdated,
    /// The store does not answer it.
    CutOff,
}

/// What a box found that looked for another source than the active watchers.
enum Found {
    /// A watcher on standby that the store confirms.
    Watcher(Subscription),
    /// The store, and it is this box's turn to read it.
    Store,
    /// The store, which answers late, or which others read first.
    BusyStore,
    /// The store does not answer.
    Nothing,
}

/// An answer of a watcher.
struct Received {
    updates: UpdateAged,
    /// When it was asked, on the clock of [`Freshness`](crate::freshness::Freshness).
    sent_ms: u64,
}

/// Why a box watches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// It is a root.
    Home,
    /// It is on standby, and others ask it.
    Asked,
    /// It takes the place of a watcher, and others ask it.
    Successor,
    /// It has no other source; for this long.
    Alone(Duration),
}

impl Reason {
    /// Name in log lines.
    fn as_str(self) -> &'static str {
        match self {
            Reason::Home => "home",
            Reason::Asked => "asked",
            Reason::Successor => "successor",
            Reason::Alone(_) => "alone",
        }
    }
}

impl Subscriber {
    pub fn new(
        peers: Peers,
        setup: Setup,
        listed: watch::Receiver<Option<u64>>,
        seed: u64,
    ) -> Subscriber {
        let (mut random, started) = (SmallRng::seed_from_u64(seed), Instant::now());
        let gives_up_at = random.random();
        Subscriber { peers, setup, listed, random, started, gives_up_at, vain_reads: 0 }
    }

    /// Receives updates for as long as the box runs.
    pub async fn run(mut self) {
        self.wait_for_others().await;
        loop {
            if self.is_root() {
                self.watch_store(Reason::Home).await;
            } else if self.is_asked_standby() {
                self.watch_store(Reason::Asked).await;
            } else if self.is_asked_successor() {
                self.watch_store(Reason::Successor).await;
            } else if !self.subscribe().await {
                let time = self.jitter(FALLBACK_TIME);
                self.watch_store(Reason::Alone(time)).await;
            }
        }
    }

    /// Waits until this box knows others or has read the list: boxes that start together know few
    /// others at first. However long that takes, a box that knows nobody only because the store does
    /// not answer must not read everything else there too.
    async fn wait_for_others(&mut self) {
        while self.peers.is_empty() && self.listed.borrow().is_none() {
            // A box that serves no others registers nowhere and knows nobody.
            if let Ok(Err(_)) = timeout(RETRY_DELAY, self.listed.changed()).await {
                return;
            }
        }
    }

    fn is_root(&self) -> bool {
        self.peers.is_empty() || self.peers.watchers().is_root(self.peers.me())
    }

    /// Whether this box is on standby and others ask it.
    fn is_asked_standby(&self) -> bool {
        self.has_subscribers() && self.peers.watchers().is_standby(self.peers.me())
    }

    /// Whether this box takes the place of a watcher, and others ask it.
    fn is_asked_successor(&self) -> bool {
        self.has_subscribers() && self.peers.is_successor()
    }

    /// Whether this box relays updates: it is one of the relays, or others ask it all the same,
    /// because they know another fleet.
    fn is_relay(&self) -> bool {
        self.peers.watchers().is_relay(self.peers.me()) || self.has_subscribers()
    }

    fn has_subscribers(&self) -> bool {
        self.setup.view.last_subscribed().is_some_and(|at| at.elapsed() < STANDBY_TIME)
    }

    /// Watches the store for as long as the reason holds, or this box was asked recently.
    async fn watch_store(&mut self, reason: Reason) {
        tracing::info!(event = "news_from_store", why = reason.as_str());
        let probe = if reason == Reason::Home { Probe::Eager } else { Probe::Lazy };
        let watcher_tasks = Watcher::spawn(&self.setup, probe);
        let began = Instant::now();
        loop {
            sleep(ROLE_CHECK_INTERVAL).await;
            let is_root = self.is_root();
            let continues = match reason {
                _ if is_root => reason == Reason::Home,
                Reason::Home | Reason::Asked => self.is_asked_standby(),
                // The watchers whose place it takes may only seem to answer, until they are asked.
                Reason::Successor => self.has_subscribers(),
                Reason::Alone(_) if self.reads_in_vain(began) => false,
                Reason::Alone(time) => {
                    began.elapsed() < time || self.is_asked_standby() || self.is_asked_successor()
                }
            };
            if !continues {
                self.vain_reads = match self.reads_in_vain(began) {
                    true => self.vain_reads + 1,
                    false => 0,
                };
                drop(watcher_tasks);
                self.setup.view.reset_loaded();
                return;
            }
        }
    }

    /// Whether this box has not read all from the store in time. One that knows nothing goes on.
    fn reads_in_vain(&self, began: Instant) -> bool {
        let view = &self.setup.view;
        view.knows_config() && !view.status().watches && began.elapsed() > FALLBACK_LOAD_TIME
    }

    /// Subscribes to watchers until this box should watch the store itself; returns false if no
    /// watcher answers in time. Relays to others meanwhile if this box is to.
    async fn subscribe(&mut self) -> bool {
        let (setup, peers) = (self.setup.clone(), self.peers.clone());
        let deadline = Deadline::open(setup, peers, self.gives_up_at, self.vain_reads);
        let random = SmallRng::from_rng(&mut self.random);
        let steps = Steps::default();
        let (has_role, outcome) = tokio::select! {
            has_role = self.follow(&deadline, &steps) => {
                (has_role, if has_role { "role" } else { "store" })
            }
            () = deadline.passed(random) => {
                let source = self.setup.view.freshness().source(Subject::Endpoints);
                let home = source.as_ref().map(Source::as_str);
                tracing::info!(event = "watchers_outdated", home);
                (false, "store_due")
            }
        };
        steps.log(outcome, self.setup.view.freshness());
        has_role
    }

    /// The same, without a bound on the age of what this box knows.
    async fn follow(&mut self, deadline: &Deadline, steps: &Steps) -> bool {
        let mut subscription: Option<Subscription> = None;
        let mut last_contact = Instant::now();
        let mut next_probe = Instant::now();
        // Whether this box probed the store itself during the outage and got no answer either.
        let mut own_probe_failed = false;
        // Since when the store has answered this box while it does not answer the watcher.
        let mut reached_at = None;
        // Searches, one after the other, in which nobody answered.
        let mut vain_searches = 0;
        loop {
            if self.is_root() || self.is_asked_standby() || self.is_asked_successor() {
                return true;
            }
            let candidates = self.candidates(vain_searches);
            let is_left = subscription.as_ref().is_some_and(|known| {
                self.has_recovered(known) || (known.is_store_unreachable && own_probe_failed)
            });
            deadline.leave_to_watcher(is_left);
            if let Some(known) = subscription.take_if(|known| !candidates.contains(&known.watcher))
            {
                // A successor is kept until one whose place it takes knows more than it.
                subscription = match known.is_to_successor {
                    true => self.find_current(&candidates).await.or(Some(known)),
                    false => None,
                };
            }
            let was_subscribed = subscription.is_some();
            subscription = match subscription {
                Some(known) => steps.time("poll", self.next_updates(known)).await,
                None => steps.time("find", self.find_watcher(&candidates)).await,
            };
            if subscription.is_some() {
                vain_searches = 0;
                self.setup.view.set_relaying(candidates.is_relay);
            }
            let may_search = next_probe <= Instant::now();
            if let Some(outdated) =
                subscription.take_if(|known| may_search && self.is_outdated(known))
            {
                subscription = steps.time("current", self.find_current(&candidates)).await;
                if subscription.is_none() {
                    next_probe = Instant::now() + self.jitter(deadline.fallback().probe_interval());
                    let search = self.search(&candidates, deadline, false);
                    match steps.time("search", search).await {
                        // An outage that the watcher has yet to notice.
                        Found::Nothing => {
                            own_probe_failed = true;
                            next_probe = Instant::now() + self.jitter(OWN_PROBE_INTERVAL);
                        }
                        Found::Watcher(current) => subscription = Some(current),
                        // The deadline says when.
                        Found::Store | Found::BusyStore => {}
                    }
                }
                // One that was silent meanwhile is asked no more.
                let is_reachable = self.peers.is_reachable(&outdated.watcher);
                subscription = subscription.or(Some(outdated).filter(|_| is_reachable));
            }
            if candidates.are_successors
                && let Some(known) = &mut subscription
            {
                known.is_to_successor = candidates.contains(&known.watcher);
            }
            match &subscription {
                Some(known) if known.is_store_unreachable && next_probe <= Instant::now() => {
                    let known = known.clone();
                    let waited = reached_at.map(|at: Instant| at.elapsed());
                    let is_due = waited.is_some_and(|waited| waited >= deadline.fallback().delay());
                    match self.search(&candidates, deadline, is_due).await {
                        Found::Nothing => {
                            (own_probe_failed, reached_at) = (true, None);
                            next_probe = Instant::now() + self.jitter(OWN_PROBE_INTERVAL);
                        }
                        _ if own_probe_failed => {
                            subscription = self.resume_after_outage(&known).await.or(Some(known));
                            (own_probe_failed, reached_at) = (false, Some(Instant::now()));
                        }
                        Found::Store => return false,
                        Found::Watcher(current) => subscription = Some(current),
                        Found::BusyStore => {
                            let since = *reached_at.get_or_insert_with(Instant::now);
                            let fallback = deadline.fallback();
                            let due_in = fallback.delay().saturating_sub(since.elapsed());
                            let interval = self.jitter(fallback.probe_interval());
                            next_probe = Instant::now() + interval.min(due_in);
                        }
                    }
                    last_contact = Instant::now();
                }
                Some(known) => {
                    own_probe_failed &= known.is_store_unreachable;
                    reached_at = reached_at.filter(|_| known.is_store_unreachable);
                    last_contact = Instant::now();
                    if !self.is_search_due() {
                        steps.clear();
                    }
                }
                // Without any age there is no deadline.
                None if !self.is_confirmed()
                    && last_contact.elapsed()
                        > HEARTBEAT_INTERVAL + ANSWER_TIMEOUT + self.search_time(deadline) =>
                {
                    sleep(MAX_FALLBACK_DELAY.mul_f64(self.random.random())).await;
                    if !self.setup.view.knows_config() || self.is_store_idle(deadline).await {
                        return false;
                    }
                    let interval = self.jitter(deadline.fallback().probe_interval());
                    sleep(interval).await;
                }
                // Others are asked at once.
                None if was_subscribed => {}
                None => {
                    vain_searches += 1;
                    steps.time("pause", sleep(RETRY_DELAY)).await;
                }
            }
        }
    }

    /// Whom this box may subscribe to. Once none of the watchers and those on standby answers, the boxes
    /// that take their place.
    fn candidates(&self, vain_searches: u32) -> Candidates {
        let of = |watchers: &Watchers| Candidates::of(watchers, self.is_relay(), vain_searches);
        match self.peers.successors() {
            Some(successors) => Candidates { are_successors: true, ..of(&successors) },
            None => of(&self.peers.watchers()),
        }
    }

    /// Whether a watcher that reaches the store was not confirmed by it for too long.
    fn is_outdated(&self, subscription: &Subscription) -> bool {
        !subscription.is_store_unreachable
            && !self.has_recovered(subscription)
            && self.is_search_due()
    }

    /// Whether a watcher reported the end of an outage lately: it reads the store again.
    fn has_recovered(&self, subscription: &Subscription) -> bool {
        subscription.has_recovered(self.setup.view.freshness().bounds().max_age)
    }

    /// Whether what this box knows is so old that it asks other sources.
    fn is_search_due(&self) -> bool {
        self.setup.view.freshness().search_due_in(self.is_behind_relay()).is_zero()
    }

    /// Whether anybody ever said how old what this box knows is; boxes of older versions do not.
    fn is_confirmed(&self) -> bool {
        let freshness = self.setup.view.freshness();
        Subject::ALL.into_iter().any(|subject| freshness.age(subject).is_some())
    }

    /// Looks for another source where no active watcher knows anything new: a watcher on standby, or the
    /// store itself if this is due. Others may ask watchers on standby meanwhile, which begin to watch.
    async fn search(&self, candidates: &Candidates, deadline: &Deadline, is_due: bool) -> Found {
        let Some(latency) = deadline.store_latency().await else { return Found::Nothing };
        let answers = self.ask_all(&candidates.last, candidates.max_asked).await;
        if let Some(current) = self.subscribe_to_current(answers).await {
            return Found::Watcher(current);
        }
        match is_due && deadline.fallback().allows(latency) {
            true => Found::Store,
            false => Found::BusyStore,
        }
    }

    /// Whether the watchers that this box asks may relay.
    fn is_behind_relay(&self) -> bool {
        let watchers = self.peers.watchers();
        !self.is_relay() && watchers.active.len() > watchers.roots.len()
    }

    /// Whether the store answers this box as soon as one does that nobody else reads.
    async fn is_store_idle(&self, deadline: &Deadline) -> bool {
        let latency = deadline.store_latency().await;
        latency.is_some_and(|latency| deadline.fallback().allows(latency))
    }

    /// This box reached the store again before its watcher reported that. Gives the watcher time to
    /// reach it too, and continues the subscription if it does.
    async fn resume_after_outage(&self, subscription: &Subscription) -> Option<Subscription> {
        sleep(RECOVERY_DELAY).await;
        let known = Subscription { is_store_unreachable: true, ..subscription.clone() };
        let renewed = self.poll(&known, Duration::ZERO).await?;
        (!renewed.is_store_unreachable).then_some(renewed)
    }

    /// Puts the updates of another box in force.
    fn apply(&self, watcher: &Incarnation, answer: Received) {
        let Received { updates: UpdateAged { update, ages, held_ms, .. }, sent_ms } = answer;
        self.setup.store.note_version(update.endpoints_at.max(update.boxes_at));
        self.setup.view.apply(update);
        self.setup.view.receive_ages(&ages, sent_ms, held_ms, &watcher.as_str().into());
    }

    /// A duration, up to half longer at random.
    fn jitter(&mut self, time: Duration) -> Duration {
        time.mul_f64(1.0 + self.random.random::<f64>() / 2.0)
    }

    /// How long to look for a watcher after the last one was silent. A box without a configuration
    /// serves no requests yet, and boxes that start together have no watchers at first.
    fn search_time(&self, deadline: &Deadline) -> Duration {
        match self.setup.view.knows_config() {
            true => RETRY_DELAY.max(deadline.fallback().delay()),
            false => {
                let spread = GIVE_UP_SPREAD * self.peers.boxes() as u32;
                DISCOVERY_TIMEOUT + spread.mul_f64(self.gives_up_at)
            }
        }
    }

    /// Waits for the next updates of a watcher; `None` if it is silent.
    async fn next_updates(&self, subscription: Subscription) -> Option<Subscription> {
        let suspensions = self.setup.watchdog.suspensions();
        let due_in = match subscription.is_store_unreachable {
            true => Duration::MAX,
            false => self.setup.view.freshness().search_due_in(self.is_behind_relay()),
        };
        let wait = match due_in.is_zero() {
            true => HEARTBEAT_INTERVAL.min(probe_interval(self.peers.boxes())),
            false => HEARTBEAT_INTERVAL.min(due_in.max(RETRY_DELAY)),
        };
        let renewed = tokio::select! {
            renewed = self.poll(&subscription, wait) => renewed?,
            // The watcher may be as silent as its own source.
            () = sleep(due_in), if !due_in.is_zero() => return Some(subscription),
            // Another box asks this one to watch the store.
            () = self.setup.view.watch_requested() => return Some(subscription),
            // After a suspension the watcher may be gone and the connection dead.
            () = self.setup.watchdog.next_suspension(suspensions) => return None,
        };
        let lost_store = renewed.is_store_unreachable && !subscription.is_store_unreachable;
        match lost_store {
            true => self.find_other_watcher(&subscription.watcher).await.or(Some(renewed)),
            false => Some(renewed),
        }
    }

    /// Asks a watcher for what is new, and puts it in force.
    async fn poll(&self, known: &Subscription, wait: Duration) -> Option<Subscription> {
        let answer = self
            .request_updates(
                &known.watcher,
                Some(known.last),
                known.is_store_unreachable,
                known.confirmation,
                wait,
            )
            .await?;
        let update = &answer.updates.update;
        let is_store_unreachable = update.store_unreachable_ms.is_some();
        let recovered = known.is_store_unreachable && !is_store_unreachable;
        let renewed = Subscription {
            last: update.last,
            confirmation: answer.updates.confirmation,
            is_store_unreachable,
            recovered_at: if recovered { Some(Instant::now()) } else { known.recovered_at },
            ..known.clone()
        };
        self.apply(&known.watcher, answer);
        Some(renewed)
    }

    /// Asks a watcher whether it reaches the store, and how old what it knows is; `None` if it is
    /// silent.
    async fn ask(&self, watcher: &Incarnation) -> Option<Condition> {
        let answer = self.request_updates(watcher, None, true, 0, Duration::ZERO).await?;
        let UpdateAged { update, ages, .. } = &answer.updates;
        let bounds = self.setup.view.freshness().bounds();
        Some(match update.store_unreachable_ms {
            Some(_) => Condition::CutOff,
            None if bounds.allow(ages, self.is_behind_relay()) => Condition::Current,
            None => Condition::Outdated,
        })
    }

    /// Asks watchers together, so that silent ones cost the time of one.
    async fn ask_all<'a>(
        &self,
        watchers: &'a [Incarnation],
        max_asked: usize,
    ) -> Vec<(&'a Incarnation, Condition)> {
        let reachable = watchers.iter().filter(|watcher| self.peers.is_reachable(watcher));
        let asking = reachable
            .take(max_asked)
            .map(async |watcher| Some((watcher, self.ask(watcher).await?)));
        futures_util::future::join_all(asking).await.into_iter().flatten().collect()
    }

    /// Subscribes to another watcher, one that the store confirms.
    async fn find_other_watcher(&self, excluded: &Incarnation) -> Option<Subscription> {
        let mut candidates = self.candidates(0);
        candidates.first.retain(|watcher| watcher != excluded);
        self.find_current(&candidates).await
    }

    /// Subscribes to the first watcher that the store confirms.
    async fn find_current(&self, candidates: &Candidates) -> Option<Subscription> {
        let answers = self.ask_all(&candidates.first, candidates.max_asked).await;
        self.subscribe_to_current(answers).await
    }

    async fn subscribe_to_current(
        &self,
        answers: Vec<(&Incarnation, Condition)>,
    ) -> Option<Subscription> {
        let current = answers.iter().find(|(_, condition)| *condition == Condition::Current);
        self.receive_snapshot(current?.0).await
    }

    /// Subscribes to the first watcher that the store confirms; if there is none, to one that is cut
    /// off from it; as a last resort to a standby watcher, which begins to watch when it is asked.
    async fn find_watcher(&self, candidates: &Candidates) -> Option<Subscription> {
        let Candidates { first, last, max_asked, .. } = candidates;
        let is_starting =
            !self.setup.view.knows_config() && self.started.elapsed() < START_PATIENCE;
        match self.subscribe_to_any(first, *max_asked).await {
            None if !is_starting => self.subscribe_to_any(last, *max_asked).await,
            found => found,
        }
    }

    /// Asks watchers together, and subscribes to the one that knows most.
    async fn subscribe_to_any(
        &self,
        watchers: &[Incarnation],
        max_asked: usize,
    ) -> Option<Subscription> {
        let answers = self.ask_all(watchers, max_asked).await;
        let first = |wanted| answers.iter().find(|(_, condition)| *condition == wanted);
        let knows_nothing = !self.setup.view.knows_config();
        let chosen = first(Condition::Current)
            .or_else(|| first(Condition::CutOff))
            .or_else(|| first(Condition::Outdated).filter(|_| knows_nothing));
        self.receive_snapshot(chosen?.0).await
    }

    /// Receives a full snapshot from a watcher.
    async fn receive_snapshot(&self, watcher: &Incarnation) -> Option<Subscription> {
        let suspensions = self.setup.watchdog.suspensions();
        let answer = self.request_updates(watcher, Some(0), false, 0, Duration::ZERO).await?;
        let subscription = self.apply_snapshot(watcher, answer);
        if !subscription.is_store_unreachable {
            self.setup.watchdog.mark_read(Dataset::Config, suspensions);
            self.setup.watchdog.mark_read(Dataset::Endpoints, suspensions);
        }
        Some(subscription)
    }

    fn apply_snapshot(&self, watcher: &Incarnation, answer: Received) -> Subscription {
        let UpdateAged { update, ages, confirmation, .. } = &answer.updates;
        tracing::info!(
            event = "news_from_home",
            home = watcher.as_str(),
            changes = update.changes.len(),
            whole = update.is_snapshot,
            away_ms = update.store_unreachable_ms,
            endpoints_age_ms = ages.endpoints,
        );
        let subscription = Subscription {
            watcher: watcher.clone(),
            last: update.last,
            confirmation: *confirmation,
            is_store_unreachable: update.store_unreachable_ms.is_some(),
            recovered_at: None,
            is_to_successor: false,
        };
        self.apply(watcher, answer);
        subscription
    }

    async fn request_updates(
        &self,
        watcher: &Incarnation,
        since: Option<u64>,
        is_store_unreachable: bool,
        confirmation: u64,
        wait: Duration,
    ) -> Option<Received> {
        let wait_ms = wait.as_millis() as u64;
        let config = self.setup.view.config_at();
        let subscribe =
            Subscribe { watcher: watcher.clone(), since, config, is_store_unreachable, wait_ms };
        let request = SubscribeAged { subscribe, is_relay: self.is_relay(), confirmation };
        let timeout_margin = if since == Some(0) { SNAPSHOT_TIMEOUT } else { ANSWER_TIMEOUT };
        let timeout = wait + timeout_margin;
        let sent_ms = self.setup.view.freshness().now_ms();
        let updates = self.peers.subscribe(request, timeout, SNAPSHOT_TIMEOUT).await?;
        Some(Received { updates, sent_ms })
    }
}
