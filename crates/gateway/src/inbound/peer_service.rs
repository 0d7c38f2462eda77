//! Serves requests of other boxes.
//!
//! Most requests are served to known boxes only. A box that announces itself, draws tokens, hands
//! over bills or asks for streams may be unknown: it may have just started, or this box may not reach the store. Such a
//! request names the incarnation of the receiver, whose 64 random bits only the store and the fleet
//! know. Sealing a promise requires the incarnation of the box that made it, for the same reason.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ledger::{Demand, Incarnation};
use quarantine::Report;
use tokio::{sync::watch, time::Instant};
use wire::{Draw, Drawn, Frame, Message, RequestReport, SubscribeAged, tunnel};

use crate::{
    fleet::{peers::Peers, promises::Acceptance, streams::Streams},
    proxy::{endpoints::Endpoints, exits::Exits, permits::Permits},
    sync::view::{Answer, Origin, View},
    tokens::{bills::Bills, borrower::Borrower, funds::Funds},
};

/// Longest wait for promised tokens to be released for a box that borrows: half of its timeout for
/// one lender.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(25);
/// Longest wait for a settlement that covers a draw, before other keepers are asked: a few calls to
/// the store.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_millis(100);

/// Handler of requests from other boxes.
pub struct PeerService {
    /// This incarnation of the box.
    pub me: Incarnation,
    pub funds: Funds,
    pub peers: Peers,
    pub borrower: Borrower,
    pub endpoints: Arc<Endpoints>,
    pub bills: Bills,
    pub view: View,
    pub permits: Permits,
    pub exits: Exits,
    pub streams: Streams,
    /// Whether a planned stop has begun.
    pub stopping: watch::Receiver<bool>,
}

impl PeerService {
    /// Accepts usage totals of another box, and passes on the tokens that it needs.
    async fn draw(&self, from: &Incarnation, draw: Draw) -> Frame {
        if draw.keeper != self.me {
            return Frame::Refused { reason: "another incarnation was requested".into() };
        }
        let is_accepted = self.funds.receive_report(from, &draw.items);
        if !is_accepted {
            tracing::warn!(event = "totals_not_believed", of = from.as_str());
        }
        let is_stopping = *self.stopping.borrow();
        if !draw.is_stopping && !is_stopping {
            let deadline = Instant::now() + Duration::from_millis(draw.within_ms);
            for demand in draw.items.iter().filter(|demand| demand.need > 0) {
                self.pass_on(from, demand, deadline).await;
            }
        }
        let (items, is_store_unreachable) =
            (self.funds.supplies(from, &draw.items), self.funds.is_store_unreachable());
        Frame::Drawn(Drawn { items, is_store_unreachable, is_stopping })
    }

    async fn pass_on(&self, to: &Incarnation, demand: &Demand, deadline: Instant) {
        if self.funds.exceeds_ration(&demand.customer, demand.least) {
            // Neither a settlement nor another keeper changes that.
            return;
        }
        let settlement_deadline = deadline.min(Instant::now() + SETTLEMENT_TIMEOUT);
        if self.funds.pass_on(to, demand, settlement_deadline).await {
            return;
        }
        let pass_on = || self.funds.try_pass_on(to, demand).then_some(());
        let customer = &demand.customer;
        let borrowed = self.borrower.borrow_until(customer, demand.least, deadline, pass_on).await;
        if borrowed.is_none() {
            self.funds.count_unmet(demand);
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
        self.funds.wait_for_release(customer, wanted, Instant::now() + RELEASE_TIMEOUT).await;
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

    /// Seals the promise of an incarnation that ended. The sender is a later incarnation of the
    /// same box or any known box; it proves that it read the book by naming the incarnation, of
    /// which 64 bits are random.
    fn seal(&self, from: &Incarnation, holder: &Incarnation, term: u64) -> Frame {
        let is_later = from.box_name() == holder.box_name();
        if from == holder || !(is_later || self.peers.knows(from)) {
            return Frame::Refused { reason: "the sender may not seal a promise".into() };
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

fn update(answer: Option<Answer>) -> Frame {
    match answer {
        Some(Answer::All(update)) => Frame::Update(update),
        Some(Answer::Part(update)) => Frame::UpdatePart(update),
        None => Frame::Refused { reason: "this box does not yet monitor the store".into() },
    }
}

#[async_trait::async_trait]
impl wire::Answer for PeerService {
    async fn answer(&self, request: Message) -> Message {
        self.peers.record_contact();
        let frame = match request.frame {
            Frame::Lend { .. }
            | Frame::Promise(_)
            | Frame::Prompt(_)
            | Frame::Bills { .. }
            | Frame::Crash { .. }
            | Frame::CrashText { .. }
            | Frame::PermitRequest(_)
            | Frame::Limit { .. }
            | Frame::Departure { .. }
                if !self.peers.knows(&request.from) =>
            {
                self.peers.report_stale_list();
                Frame::Refused { reason: "the sender is not a listed box".into() }
            }
            Frame::Lend { budget, tokens } => self.lend(&request.from, &budget, tokens).await,
            Frame::Promise(promise) => {
                let number = promise.number;
                match self.peers.promises.accept(&request.from, promise) {
                    Acceptance::Accepted => Frame::Promised { number },
                    Acceptance::Rejected => {
                        Frame::Refused { reason: "this promise is outdated or sealed".into() }
                    }
                    Acceptance::Closed => Frame::Sealed { tokens: None },
                }
            }
            Frame::Prompt(prompt) => {
                self.endpoints.receive_prompt(&request.from.as_str().into(), &prompt);
                Frame::Done
            }
            Frame::Crash { name, report: RequestReport { finding, requests, at_s } } => {
                let (prompts, excused) = (Vec::new(), Vec::new());
                let report = Report { finding, requests, prompts, excused, at_s };
                self.view.receive_crash(&name, report);
                Frame::Done
            }
            Frame::CrashText { name, report } => match serde_json::from_str(&report) {
                Ok(report) => {
                    self.view.receive_crash(&name, report);
                    Frame::Done
                }
                Err(error) => Frame::Refused { reason: error.to_string().into() },
            },
            Frame::PermitRequest(permit) => {
                Frame::PermitReply(self.permits.answer(permit, request.from.as_str()).await)
            }
            Frame::Limit { endpoint, limit } => {
                self.view.receive_limit(&endpoint, limit);
                Frame::Done
            }
            Frame::Greet { to, sender } if to == self.me => {
                self.view.receive_greeting(&request.from, sender);
                Frame::Done
            }
            Frame::Departure { endpoint, address } => {
                self.view.receive_departure(&endpoint, address);
                Frame::Done
            }
            Frame::Bills { .. }
            | Frame::HandOver { .. }
            | Frame::Replicate { .. }
            | Frame::StreamsBegan { .. }
            | Frame::KeepStreams { .. }
                if *self.stopping.borrow() =>
            {
                Frame::Refused { reason: "this receiver is itself stopping".into() }
            }
            Frame::HandOver { to, .. } | Frame::Replicate { to, .. } if to != self.me => {
                Frame::Refused { reason: "another incarnation was requested".into() }
            }
            Frame::Bills { pages } | Frame::HandOver { pages, .. } => {
                tracing::info!(
                    event = "bills_taken_over",
                    of = request.from.as_str(),
                    pages = pages.len()
                );
                self.bills.take_over_pages(pages);
                Frame::Done
            }
            Frame::Replicate { segments, .. } => {
                Frame::Replica(self.bills.keep(&request.from, segments))
            }
            Frame::StreamsBegan { to, .. }
            | Frame::FindStreams { to, .. }
            | Frame::KeepStreams { to, .. }
                if to != self.me =>
            {
                Frame::Refused { reason: "another incarnation was requested".into() }
            }
            Frame::StreamsBegan { records, .. } => {
                self.streams.receive(&records);
                Frame::Done
            }
            Frame::KeepStreams { records, .. } => {
                self.streams.keep(records).await;
                Frame::Done
            }
            Frame::FindStreams { keys, .. } => {
                Frame::StreamsFound { records: self.streams.known(&keys) }
            }
            Frame::Subscribe(_) | Frame::SubscribeToRoot(_) | Frame::SubscribeAged(_)
                if *self.stopping.borrow() =>
            {
                Frame::Refused { reason: "this receiver is itself stopping".into() }
            }
            Frame::Subscribe(subscribe)
            | Frame::SubscribeToRoot(subscribe)
            | Frame::SubscribeAged(SubscribeAged { subscribe, .. })
                if subscribe.watcher != self.me =>
            {
                Frame::Refused { reason: "another incarnation was requested".into() }
            }
            Frame::Subscribe(subscribe) => {
                update(self.view.updates(&subscribe, Origin::StoreOrRoot).await)
            }
            Frame::SubscribeToRoot(subscribe) => {
                update(self.view.updates(&subscribe, Origin::Store).await)
            }
            Frame::SubscribeAged(subscribe) => match self.view.aged_updates(&subscribe).await {
                Some(update) => Frame::UpdateAged(update),
                None => update(None),
            },
            Frame::Draw(draw) => self.draw(&request.from, draw).await,
            Frame::Seal { holder, term } => self.seal(&request.from, &holder, term),
            _ => Frame::Refused { reason: "no request that boxes send each other".into() },
        };
        self.peers.message(frame)
    }

    async fn dial(
        &self,
        from: &Incarnation,
        target: SocketAddr,
    ) -> Result<tunnel::Exit, tunnel::Refusal> {
        self.exits.dial(from, target).await
    }

    async fn wait_stopping(&self) {
        self.exits.wait_stopping().await;
    }
}
