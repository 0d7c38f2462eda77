//! Getting tokens for requests: from the keeper of the availability zone, or from the book where
//! this box is the keeper itself or reaches no other.
//!
//! A box that wrote the book itself whenever a request came for which it held nothing would meet
//! all others there: of 73 boxes that did so, one in 0.2 s got through, and half of all requests
//! were refused for want of tokens that lay elsewhere. A keeper answers within a way there and
//! back, with the store in reach or not, and the book is written by a few boxes however many there
//! are: the calm day of 73 boxes took 16,000 calls of the store before, and refused half of what
//! came (counted on the callers' side).

use std::{sync::Arc, time::Duration};

use ledger::{Demand, Incarnation};
use tokio::{sync::watch, time::Instant};
use wire::{Draw, Drawn};

use crate::{
    fleet::peers::Peers,
    settings::Settings,
    tokens::{
        borrower::Borrower,
        funds::{Funds, Hold},
        report,
    },
};

/// Time for the answer to come besides: many times the way there and back, with room for a box
/// that is busy.
const ON_THE_WAY: Duration = Duration::from_millis(50);
/// Time between two rounds in which keepers are told what was used and given back what lies idle:
/// shorter than the use that a box keeps.
const TELL: Duration = Duration::from_millis(1_000);

/// What came of asking a keeper.
#[derive(Debug)]
enum Drew {
    /// The tokens of the request.
    Hold(Hold),
    /// An answer, and too few tokens in reach of that keeper.
    TooLittle,
    /// The same, and the keeper does not reach the store.
    Cut,
    /// No answer in time.
    Nothing,
}

/// Gets tokens for requests.
#[derive(Debug, Clone)]
pub struct Acquirer {
    funds: Funds,
    peers: Peers,
    borrower: Borrower,
    /// The settings in force.
    settings: watch::Receiver<Arc<Settings>>,
}

impl Acquirer {
    /// For this box's accounts.
    pub fn new(
        funds: Funds,
        peers: Peers,
        borrower: Borrower,
        settings: watch::Receiver<Arc<Settings>>,
    ) -> Acquirer {
        Acquirer { funds, peers, borrower, settings }
    }

    /// Longest time that a keeper may look for tokens.
    fn keeper_within(&self) -> Duration {
        Duration::from_millis(self.settings.borrow().money.keeper_ms)
    }

    /// Holds the worst case of a request, waiting until `until` for the tokens; the book is waited
    /// for until `from_store` where this box asks it itself.
    pub async fn hold(
        &self,
        customer: &Arc<str>,
        worst: u64,
        from_store: Duration,
        until: Instant,
    ) -> Option<Hold> {
        if let Some(hold) = self.funds.try_hold(customer, worst) {
            return Some(hold);
        }
        let mut answered = false;
        for keeper in self.peers.keepers() {
            if keeper == *self.peers.me() {
                return self.hold_self(customer, worst, from_store, until).await;
            }
            match self.hold_by(&keeper, customer, worst, until).await {
                Drew::Hold(hold) => return Some(hold),
                // Others write the same book.
                Drew::TooLittle => return None,
                Drew::Cut => answered = true,
                Drew::Nothing => {}
            }
            if self.funds.are_others_dry(customer, worst) || Instant::now() >= until {
                return None;
            }
        }
        match answered {
            true => None,
            // Whoever reaches no other box is on its own.
            false => self.hold_self(customer, worst, from_store, until).await,
        }
    }

    /// From the book, then from other keepers.
    async fn hold_self(
        &self,
        customer: &Arc<str>,
        worst: u64,
        from_store: Duration,
        until: Instant,
    ) -> Option<Hold> {
        let from_store = (Instant::now() + from_store).min(until);
        match self.funds.hold(customer, worst, from_store).await {
            Some(hold) => Some(hold),
            None => self.borrower.hold(customer, worst, until).await,
        }
    }

    /// From one keeper.
    async fn hold_by(
        &self,
        keeper: &Incarnation,
        customer: &Arc<str>,
        worst: u64,
        until: Instant,
    ) -> Drew {
        let began = Instant::now();
        let asking = self.funds.asking(customer);
        let _lacking = self.funds.lacking(customer, worst);
        let asked = async {
            let _one_at_a_time = asking.lock().await;
            // Another request may have brought enough for both, or shown that there is nothing.
            if let Some(hold) = self.funds.try_hold(customer, worst) {
                return Drew::Hold(hold);
            }
            if self.funds.are_others_dry(customer, worst) {
                return Drew::TooLittle;
            }
            let told = self.funds.demands(keeper, Some((customer, worst)));
            let within = self.keeper_within().min(until.saturating_duration_since(Instant::now()));
            let Some(drawn) = self.draw(keeper, told, within, false).await else {
                return Drew::Nothing;
            };
            let given = drawn.items.iter().find(|given| given.customer == *customer);
            if given.is_some_and(|given| given.dry) {
                self.funds.note_others_dry(customer, worst);
            }
            match self.funds.try_hold(customer, worst) {
                Some(hold) => Drew::Hold(hold),
                None if drawn.cut || drawn.leaves => Drew::Cut,
                None => Drew::TooLittle,
            }
        };
        let drew = tokio::time::timeout_at(until, asked).await.unwrap_or(Drew::Nothing);
        tracing::info!(
            event = "tokens_drawn",
            keeper = keeper.as_str(),
            customer = &**customer,
            worst,
            held = matches!(drew, Drew::Hold(_)),
            took_ms = began.elapsed().as_millis() as u64,
        );
        drew
    }

    /// One question to a keeper. What arrives is taken over also if the request that asked has
    /// gone: it would lie with nobody otherwise.
    async fn draw(
        &self,
        keeper: &Incarnation,
        items: Vec<Demand>,
        within: Duration,
        leaves: bool,
    ) -> Option<Drawn> {
        let (this, keeper) = (self.clone(), keeper.clone());
        let asked = tokio::spawn(async move {
            let within_ms = within.as_millis() as u64;
            let draw = Draw { keeper: keeper.clone(), items: items.clone(), within_ms, leaves };
            let most = within.max(this.keeper_within()) + ON_THE_WAY;
            let drawn = this.peers.draw(&keeper, draw, most).await?;
            this.funds.drawn(&keeper, &items, &drawn.items);
            Some(drawn)
        });
        // A panic in it was printed already.
        asked.await.ok().flatten()
    }

    /// Tells keepers what was used, and gives back what lies idle, for as long as the box runs.
    pub async fn run(self) {
        loop {
            tokio::time::sleep(TELL).await;
            report::held(&self.funds);
            for keeper in self.funds.keepers_to_tell() {
                if !self.peers.knows(&keeper) {
                    continue;
                }
                let told = self.funds.demands(&keeper, None);
                let drawn = self.draw(&keeper, told, Duration::ZERO, false).await;
                if drawn.is_some_and(|drawn| drawn.leaves) {
                    self.return_all(&keeper, false).await;
                }
            }
        }
    }

    /// Before this box ends: keepers are told what was used, and get back the rest.
    pub async fn leave(&self) {
        self.funds.give_up();
        for keeper in self.funds.keepers() {
            if self.peers.knows(&keeper) {
                self.return_all(&keeper, true).await;
            }
        }
    }

    async fn return_all(&self, keeper: &Incarnation, leaves: bool) {
        let told = self.funds.return_all(keeper);
        let returned = told.iter().map(|told| told.share.returned).sum::<u64>();
        let heard = self.draw(keeper, told, Duration::ZERO, leaves).await.is_some();
        tracing::info!(event = "tokens_returned", keeper = keeper.as_str(), returned, heard);
    }
}
