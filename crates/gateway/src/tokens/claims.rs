//! Asks the witnesses of dead incarnations which tokens those left unused.

use std::collections::BTreeMap;

use futures_util::future::join_all;
use ledger::{Claim, Incarnation, Unused};

use crate::fleet::peers::{Peers, WitnessReply};

/// Returns the answers of the witnesses. Claims whose witness did not answer are left out.
pub async fn ask(peers: &Peers, open: Vec<(Incarnation, Claim)>) -> Vec<Unused> {
    let requests = open.iter().map(|(holder, claim)| peers.seal(holder, claim));
    let replies = join_all(requests).await;
    let answered = open.into_iter().zip(replies);
    answered.filter_map(|((holder, claim), reply)| unused(holder, claim, reply)).collect()
}

fn unused(holder: Incarnation, claim: Claim, reply: WitnessReply) -> Option<Unused> {
    let witness = claim.witness;
    tracing::info!(
        event = "witness_asked",
        holder = holder.as_str(),
        witness = witness.by.as_str(),
        answer = reply.as_str(),
        untouched = reply.untouched().map(|tokens| tokens.values().sum::<u64>()),
    );
    let tokens = match reply {
        WitnessReply::Untouched(tokens) => tokens,
        WitnessReply::Nothing => BTreeMap::new(),
        WitnessReply::NoAnswer => return None,
    };
    Some(Unused { holder, witness, tokens })
}
