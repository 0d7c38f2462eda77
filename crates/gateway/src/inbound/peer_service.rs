//! Answering other boxes.
//!
//! Only boxes that are known are answered, but for one that greets, draws tokens or hands bills over: a box may have
//! started a moment ago, or while this one did not reach the store, and it names this life of the box that it
//! asks, of which 64 random bits are known to the store and the fleet alone. Whoever seals a promise must know
//! the whole name of the box that made it, for the same reason.

use std::{sync::Arc, time::Duration};

use ledger::{Demand, Incarnation};
use tokio::{sync::watch, time::Instant};
use wire::{Draw, Drawn, Frame, Message};

use crate::{
    fleet::{peers::Peers, promises::Acceptance},
    proxy::{endpoints::Endpoints, permits::Permits},
    sync::view::View,
    tokens::{bills::Bills, borrower::Borrower, funds::Funds},
};

/// Longest wait of a box that asks for tokens, while this one frees some that it promised to keep:
/// half of the time after which that box asks the next ones.
const WITHIN: Duration = Duration::from_millis(25);
/// Time for a settlement that brings what another box draws: a few calls of the store. Then other
/// keepers are asked.
const FROM_STORE: Duration = Duration::from_millis(100);

/// Answers other boxes.
pub struct PeerService {
    /// This life of the box.
    pub me: Incarnation,
    pub funds: Funds,
    pub peers: Peers,
    pub borrower: Borrower,
    pub endpoints: Arc<Endpoints>,
    pub bills: Bills,
    pub view: View,
    pub permits: Permits,
    /// Whether this box is about to stop.
    pub stopping: watch::Receiver<bool>,
}

impl PeerService {
    /// Takes over what another box tells, and passes on what it needs.
    async fn draw(&self, from: &Incarnation, draw: Draw) -> Frame {
        if draw.keeper != self.me {
            return Frame::Refused { reason: "another life of this box is meant".into() };
        }
        let believed = self.funds.receive_report(from, &draw.items);
        if !believed {
            tracing::warn!(event = "totals_not_believed", of = from.as_str());
        }
        let leaves = *self.stopping.borrow();
        if !draw.leaves && !leaves {
            let until = Instant::now() + Duration::from_millis(draw.within_ms);
            for demand in draw.items.iter().filter(|demand| demand.need > 0) {
                self.pass_on(from, demand, until).await;
            }
        }
        let (items, cut) = (self.funds.supplies(from, &draw.items), self.funds.is_store_unreachable());
        Frame::Drawn(Drawn { items, cut, leaves })
    }

    async fn pass_on(&self, to: &Incarnation, demand: &Demand, until: Instant) {
        let from_store = until.min(Instant::now() + FROM_STORE);
        if self.funds.pass_on(to, demand, from_store).await {
            return;
        }
        let pass_on = || self.funds.try_pass_on(to, demand).then_some(());
        let customer = &demand.customer;
        let borrowed = self.borrower.borrow_until(customer, demand.least, until, pass_on).await;
        if borrowed.is_none() {
            tracing::info!(
                event = "tokens_not_passed_on",
                customer = &**customer,
                to = to.as_str(),
                least = demand.least,
                lack = %self.funds.shortage(customer, demand.least),
            );
        }
    }

    async fn lend(&self, to: &Incarnation, customer: &Arc<str>, wanted: u64) -> Frame {
        self.funds.wait_for_release(customer, wanted, Instant::now() + WITHIN).await;
        let transfer = self.funds.lend(customer, wanted, &self.me, to);
        tracing::info!(
            event = "tokens_passed_on",
            customer = &**customer,
            to = to.as_str(),
            wanted,
            passed = transfer.as_ref().map_or(0, |transfer| transfer.tokens),
        );
        Frame::Lent { transfer }
    }

    /// A later life of the same box asks, or any box that is known here: it knows the whole name of the
    /// life that ended, of which 64 bits are random, from the book.
    fn seal(&self, from: &Incarnation, holder: &Incarnation, term: u64) -> Frame {
        let is_later = from.box_name() == holder.box_name();
        if from == holder || !(is_later || self.peers.knows(from)) {
            return Frame::Refused { reason: "this box may not ask of that life".into() };
        }
        let tokens = self.peers.promises.seal(holder, term);
        tracing::info!(
            event = "promise_sealed",
            holder = holder.as_str(),
            term,
            kept = tokens.as_ref().map(|tokens| tokens.values().sum::<u64>()),
        );
        Frame::Sealed { tokens }
    }
}

#[async_trait::async_trait]
impl wire::Answer for PeerService {
    async fn answer(&self, question: Message) -> Message {
        self.peers.note_heard();
        let frame = match question.frame {
            Frame::Lend { .. }
            | Frame::Promise(_)
            | Frame::Prompt(_)
            | Frame::Bills { .. }
            | Frame::Crash { .. }
            | Frame::PermitRequest(_)
            | Frame::Limit { .. }
            | Frame::Departure { .. }
                if !self.peers.knows(&question.from) =>
            {
                self.peers.note_unknown();
                Frame::Refused { reason: "this box is not known here yet".into() }
            }
            Frame::Lend { budget, tokens } => self.lend(&question.from, &budget, tokens).await,
            Frame::Promise(promise) => {
                let number = promise.number;
                match self.peers.promises.take(&question.from, promise) {
                    Acceptance::Accepted => Frame::Promised { number },
                    Acceptance::Rejected => {
                        Frame::Refused { reason: "a newer promise or a seal is known".into() }
                    }
                    Acceptance::Closed => Frame::Sealed { tokens: None },
                }
            }
            Frame::Prompt(prompt) => {
                self.endpoints.receive_prompt(&question.from.as_str().into(), &prompt);
                Frame::Done
            }
            Frame::Crash { name, report } => {
                self.view.receive_crash(&name, report);
                Frame::Done
            }
            Frame::PermitRequest(permit) => {
                Frame::PermitReply(self.permits.answer(permit, question.from.as_str()).await)
            }
            Frame::Limit { endpoint, limit } => {
                self.view.receive_limit(&endpoint, limit);
                Frame::Done
            }
            Frame::Greet { to, sender } if to == self.me => {
                self.view.receive_greeting(&question.from, sender);
                Frame::Done
            }
            Frame::Departure { endpoint, address } => {
                self.view.receive_departure(&endpoint, address);
                Frame::Done
            }
            Frame::Bills { .. } | Frame::HandOver { .. } if *self.stopping.borrow() => {
                Frame::Refused { reason: "this box is about to stop itself".into() }
            }
            Frame::HandOver { to, .. } if to != self.me => {
                Frame::Refused { reason: "another life of this box is meant".into() }
            }
            Frame::Bills { pages } | Frame::HandOver { pages, .. } => {
                tracing::info!(
                    event = "bills_taken_over",
                    of = question.from.as_str(),
                    pages = pages.len()
                );
                self.bills.take_over(pages);
                Frame::Done
            }
            Frame::Subscribe(_) if *self.stopping.borrow() => {
                Frame::Refused { reason: "this box is about to stop itself".into() }
            }
            Frame::Subscribe(listen) if listen.watcher != self.me => {
                Frame::Refused { reason: "another life of this box is meant".into() }
            }
            Frame::Subscribe(listen) => match self.view.updates(&listen).await {
                Some(updates) => Frame::Update(updates),
                None => Frame::Refused { reason: "this box does not look at the store yet".into() },
            },
            Frame::Draw(draw) => self.draw(&question.from, draw).await,
            Frame::Seal { holder, term } => self.seal(&question.from, &holder, term),
            _ => Frame::Refused { reason: "no question that boxes ask each other".into() },
        };
        self.peers.message(frame)
    }
}
