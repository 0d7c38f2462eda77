//! Gets tokens for requests: from the keeper of the availability zone, or from the book if this box
//! is the keeper itself or reaches no other. Keepers without the store are asked last, after the
//! boxes that stand in for them (`fleet::keepers`).
//!
//! If every box wrote the book whenever it lacked tokens, their conditional writes would conflict
//! and most of them would be refused. Through keepers only a few boxes write the book, however many
//! there are, and a keeper answers within one round trip, whether the store is reachable or not.

use std::{sync::Arc, time::Duration};

use ledger::{Demand, Incarnation};
use tokio::{sync::watch, time::Instant};
use wire::{Draw, Drawn};

use crate::{
    fleet::peers::Peers,
    freshness::Freshness,
    settings::Settings,
    tokens::{
        borrower::Borrower,
        funds::{Funds, Hold},
        report,
    },
};

/// Allowance for the round trip to a keeper, beyond the time in which it may look for tokens. Much
/// longer than a round trip, for boxes under load.
const ROUND_TRIP_ALLOWANCE: Duration = Duration::from_millis(50);
/// Interval at which used tokens are reported to keepers and idle ones are returned. Shorter than
/// the seconds of use that a box holds in reserve.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The result of asking a keeper.
#[derive(Debug)]
enum Outcome {
    Hold(Hold),
    /// The keeper answered, but it and the boxes that it reaches have too few tokens.
    Insufficient,
    /// The same, and the keeper does not reach the store or is about to stop.
    StoreUnreachable,
    Unanswered,
}

/// Boxes to ask for a request.
struct Candidates {
    /// In the order in which they are asked.
    names: Vec<Incarnation>,
    /// Those asked only if a keeper does not reach the store.
    stand_ins: Vec<Incarnation>,
    /// Whether a keeper lately had neither tokens nor the store.
    is_storeless: bool,
}

/// Gets tokens for requests.
#[derive(Debug, Clone)]
pub struct Acquirer {
    funds: Funds,
    peers: Peers,
    borrower: Borrower,
    freshness: Freshness,
    settings: watch::Receiver<Arc<Settings>>,
}

impl Acquirer {
    pub fn new(
        funds: Funds,
        peers: Peers,
        borrower: Borrower,
        freshness: Freshness,
        settings: watch::Receiver<Arc<Settings>>,
    ) -> Acquirer {
        Acquirer { funds, peers, borrower, freshness, settings }
    }

    /// Longest time for which a keeper may look for tokens.
    fn keeper_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.borrow().money.keeper_ms)
    }

    /// Reserves the worst case of a request, waiting until `until` for the tokens. If this box
    /// draws from the book itself, it waits for a settlement for at most `store_timeout`.
    pub async fn hold(
        &self,
        customer: &Arc<str>,
        worst: u64,
        store_timeout: Duration,
        until: Instant,
    ) -> Option<Hold> {
        if let Some(hold) = self.funds.try_hold(customer, worst) {
            return Some(hold);
        }
        if self.funds.exceeds_ration(customer, worst) {
            return None;
        }
        let Candidates { names, stand_ins, mut is_storeless } = self.candidates(customer, worst);
        for name in names {
            if stand_ins.contains(&name) && !is_storeless {
                continue;
            }
            let outcome = match name == *self.peers.me() {
                true => self.hold_as_keeper(customer, worst, store_timeout, until).await,
                false => self.hold_from_keeper(&name, customer, worst, until).await,
            };
            match outcome {
                Outcome::Hold(hold) => return Some(hold),
                // A stand-in may not have noticed yet that the store is silent. What it says of a
                // book that it reaches is checked below.
                Outcome::Insufficient if stand_ins.contains(&name) => {}
                // The other keepers write the same book and have no more.
                Outcome::Insufficient => return None,
                Outcome::StoreUnreachable if name == *self.peers.me() && stand_ins.is_empty() => {
                    return None;
                }
                Outcome::StoreUnreachable => {
                    is_storeless = true;
                    self.funds.note_storeless(&name, customer, worst);
                }
                Outcome::Unanswered => {}
            }
            if self.is_exhausted(customer, worst) || Instant::now() >= until {
                return None;
            }
        }
        match is_storeless {
            true => None,
            // A box that reaches no keeper turns to the book itself.
            false => match self.hold_as_keeper(customer, worst, store_timeout, until).await {
                Outcome::Hold(hold) => Some(hold),
                Outcome::Insufficient | Outcome::StoreUnreachable | Outcome::Unanswered => None,
            },
        }
    }

    /// Returns the boxes to ask, those that lately had neither tokens nor the store last.
    fn candidates(&self, customer: &Arc<str>, worst: u64) -> Candidates {
        let keepers = self.peers.keepers();
        if !self.others_reach_store() {
            return Candidates { names: keepers, stand_ins: Vec::new(), is_storeless: false };
        }
        let mut names = self.peers.with_stand_ins();
        let stand_ins = names.iter().filter(|name| !keepers.contains(name)).cloned().collect();
        let is_storeless = |name: &Incarnation| self.funds.is_storeless(name, customer, worst);
        names.sort_by_cached_key(is_storeless);
        let is_storeless = names.last().is_some_and(is_storeless);
        Candidates { names, stand_ins, is_storeless }
    }

    /// Whether the store lately answered this box or one that it learns from. If it answers nobody,
    /// only keepers have tokens, and stand-ins would take up the time that a request has.
    fn others_reach_store(&self) -> bool {
        !self.freshness.search_due_in(false).is_zero()
    }

    /// Whether no other box has tokens for a request of this size. Of a box without the store only
    /// those that lend without it are known to have none.
    fn is_exhausted(&self, customer: &Arc<str>, worst: u64) -> bool {
        let is_searching = self.funds.is_store_unreachable() && self.others_reach_store();
        !is_searching && self.funds.are_others_exhausted(customer, worst)
    }

    /// Draws from the book, then borrows from other keepers.
    async fn hold_as_keeper(
        &self,
        customer: &Arc<str>,
        worst: u64,
        store_timeout: Duration,
        until: Instant,
    ) -> Outcome {
        let store_until = (Instant::now() + store_timeout).min(until);
        if let Some(hold) = self.funds.hold(customer, worst, store_until).await {
            return Outcome::Hold(hold);
        }
        match self.borrower.hold(customer, worst, until).await {
            Some(hold) => Outcome::Hold(hold),
            None if self.funds.is_store_unreachable() => Outcome::StoreUnreachable,
            None => Outcome::Insufficient,
        }
    }

    /// Asks one keeper.
    async fn hold_from_keeper(
        &self,
        keeper: &Incarnation,
        customer: &Arc<str>,
        worst: u64,
        until: Instant,
    ) -> Outcome {
        let began = Instant::now();
        let was_storeless = self.funds.is_storeless(keeper, customer, worst);
        let ask_lock = self.funds.ask_lock(customer);
        let _keeper_wait = self.funds.waiting_for_keeper(customer, worst);
        let attempt = async {
            let _guard = ask_lock.lock().await;
            // Another request may have brought enough tokens for both, or found that there are
            // none.
            if let Some(hold) = self.funds.try_hold(customer, worst) {
                return Outcome::Hold(hold);
            }
            if self.is_exhausted(customer, worst) {
                return Outcome::Insufficient;
            }
            // Another request found it so while this one waited.
            if !was_storeless && self.funds.is_storeless(keeper, customer, worst) {
                return Outcome::StoreUnreachable;
            }
            let demands = self.funds.demands(keeper, Some((customer, worst)));
            let timeout =
                self.keeper_timeout().min(until.saturating_duration_since(Instant::now()));
            let Some(drawn) = self.draw(keeper, demands, timeout, false).await else {
                return Outcome::Unanswered;
            };
            let supply = drawn.items.iter().find(|supply| supply.customer == *customer);
            if supply.is_some_and(|supply| supply.exhausted) {
                self.funds.note_others_exhausted(customer, worst);
            }
            match self.funds.try_hold(customer, worst) {
                Some(hold) => Outcome::Hold(hold),
                None if drawn.is_store_unreachable || drawn.is_stopping => {
                    Outcome::StoreUnreachable
                }
                None => Outcome::Insufficient,
            }
        };
        let outcome = tokio::time::timeout_at(until, attempt).await.unwrap_or(Outcome::Unanswered);
        tracing::info!(
            event = "tokens_drawn",
            keeper = keeper.as_str(),
            customer = &**customer,
            worst,
            held = matches!(outcome, Outcome::Hold(_)),
            took_ms = began.elapsed().as_millis() as u64,
        );
        outcome
    }

    /// Sends demands to a keeper and adds the tokens that it passes on. This runs in a separate
    /// task, so that tokens that arrive after the caller has gone are still accounted for.
    async fn draw(
        &self,
        keeper: &Incarnation,
        items: Vec<Demand>,
        timeout: Duration,
        is_stopping: bool,
    ) -> Option<Drawn> {
        let (this, keeper) = (self.clone(), keeper.clone());
        let attempt = tokio::spawn(async move {
            let within_ms = timeout.as_millis() as u64;
            let draw =
                Draw { keeper: keeper.clone(), items: items.clone(), within_ms, is_stopping };
            let answer_timeout = timeout.max(this.keeper_timeout()) + ROUND_TRIP_ALLOWANCE;
            let drawn = this.peers.draw(&keeper, draw, answer_timeout).await?;
            this.funds.receive_supply(&keeper, &items, &drawn.items);
            Some(drawn)
        });
        // The panic hook has logged a panic in the task.
        attempt.await.ok().flatten()
    }

    /// Reports used tokens to keepers and returns idle ones, for as long as the box runs.
    pub async fn run(self) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            report::held(&self.funds);
            for keeper in self.funds.keepers_to_report_to() {
                if !self.peers.knows(&keeper) {
                    continue;
                }
                let demands = self.funds.demands(&keeper, None);
                let drawn = self.draw(&keeper, demands, Duration::ZERO, false).await;
                if drawn.is_some_and(|drawn| drawn.is_stopping) {
                    self.return_all(&keeper, false).await;
                }
            }
        }
    }

    /// Reports used tokens to keepers and returns the rest, before a planned stop.
    pub async fn leave(&self) {
        self.funds.abandon();
        for keeper in self.funds.keepers() {
            if self.peers.knows(&keeper) {
                self.return_all(&keeper, true).await;
            }
        }
    }

    async fn return_all(&self, keeper: &Incarnation, is_stopping: bool) {
        let demands = self.funds.return_all(keeper);
        let returned = demands.iter().map(|demand| demand.share.returned).sum::<u64>();
        let acknowledged = self.draw(keeper, demands, Duration::ZERO, is_stopping).await.is_some();
        tracing::info!(
            event = "tokens_returned",
            keeper = keeper.as_str(),
            returned,
            heard = acknowledged
        );
    }
}
