//! Answering other boxes.
//!
//! Only boxes that stand in the book are answered, and whoever seals a promise must know the whole
//! name of the box that made it; 64 random bits of a name are known to the store and the fleet alone.

use std::{sync::Arc, time::Duration};

use ledger::Incarnation;
use tokio::time::Instant;
use wire::{Frame, Message};

use crate::{endpoints::Endpoints, funds::Funds, peers::Peers, witness::Taken};

/// Longest wait of a box that asks for tokens, while this one frees some that it promised to keep:
/// half of the time after which that box asks the next ones.
const WITHIN: Duration = Duration::from_millis(25);

/// Answers other boxes.
pub struct Desk {
    me: Incarnation,
    funds: Funds,
    peers: Peers,
    endpoints: Arc<Endpoints>,
}

impl Desk {
    /// Answers from the accounts of this box.
    pub fn new(me: Incarnation, funds: Funds, peers: Peers, endpoints: Arc<Endpoints>) -> Desk {
        Desk { me, funds, peers, endpoints }
    }

    async fn lend(&self, to: &Incarnation, customer: &Arc<str>, wanted: u64) -> Frame {
        self.funds.free_kept(customer, wanted, Instant::now() + WITHIN).await;
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

    /// Only a later life of the same box asks; it knows the whole name of the earlier one, of
    /// which 64 bits are random, from the book.
    fn seal(&self, from: &Incarnation, holder: &Incarnation, term: u64) -> Frame {
        if from.box_name() != holder.box_name() || from == holder {
            return Frame::Refused { reason: "only a later start of the box may seal".into() };
        }
        let tokens = self.peers.records.seal(holder, term);
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
impl wire::Answer for Desk {
    async fn answer(&self, question: Message) -> Message {
        let frame = match question.frame {
            Frame::Lend { .. } | Frame::Promise(_) | Frame::Prompt(_)
                if !self.peers.knows(&question.from) =>
            {
                Frame::Refused { reason: "this box does not stand in the book".into() }
            }
            Frame::Lend { budget, tokens } => self.lend(&question.from, &budget, tokens).await,
            Frame::Promise(promise) => {
                let number = promise.number;
                match self.peers.records.take(&question.from, promise) {
                    Taken::Newest => Frame::Promised { number },
                    Taken::Not => {
                        Frame::Refused { reason: "a newer promise or a seal is known".into() }
                    }
                    Taken::Closed => Frame::Sealed { tokens: None },
                }
            }
            Frame::Prompt(prompt) => {
                self.endpoints.told(&question.from.as_str().into(), &prompt);
                Frame::Done
            }
            Frame::Seal { holder, term } => self.seal(&question.from, &holder, term),
            _ => Frame::Refused { reason: "no question that boxes ask each other".into() },
        };
        self.peers.message(frame)
    }
}
