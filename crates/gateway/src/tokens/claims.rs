//! Asking the witnesses of lives that ended what those left untouched.

use std::collections::BTreeMap;

use futures_util::future::join_all;
use ledger::{Claim, Incarnation, Untouched};

use crate::fleet::peers::{Peers, WitnessReply};

/// What the witnesses say; claims whose witness does not answer are left out.
pub async fn ask(peers: &Peers, open: Vec<(Incarnation, Claim)>) -> Vec<Untouched> {
    let asked = open.iter().map(|(holder, claim)| peers.seal(holder, claim));
    let words = join_all(asked).await;
    let told = open.into_iter().zip(words);
    told.filter_map(|((holder, claim), word)| untouched(holder, claim, word)).collect()
}

fn untouched(holder: Incarnation, claim: Claim, word: WitnessReply) -> Option<Untouched> {
    let witness = claim.witness;
    tracing::info!(
        event = "witness_asked",
        holder = holder.as_str(),
        witness = witness.by.as_str(),
        answer = word.as_str(),
        untouched = word.untouched().map(|tokens| tokens.values().sum::<u64>()),
    );
    let tokens = match word {
        WitnessReply::Untouched(tokens) => tokens,
        WitnessReply::Nothing => BTreeMap::new(),
        WitnessReply::NoAnswer => return None,
    };
    Some(Untouched { holder, witness, tokens })
}
