//! Log lines on tokens: what settlements changed, what this box holds, and how many store calls and
//! bytes of peer traffic this takes.

use std::sync::Arc;

use ledger::{Granted, Settlement};
use platform::store::Client;

use crate::{
    fleet::peers::Peers,
    tokens::{funds::Funds, wallet::Breakdown},
};

/// Most customers in one log line.
const MAX_CUSTOMERS_LOGGED: usize = 16;

/// Logs the store calls of this process so far, by operation and kind.
pub fn calls(store: &Client) {
    let calls = store.calls().snapshot();
    let calls: Vec<String> = calls
        .iter()
        .map(|((operation, kind), count)| format!("{operation:?} {kind}: {}", count.calls))
        .collect();
    tracing::info!(event = "store_calls", calls = calls.join(", "));
}

/// Logs the bytes exchanged with other boxes so far, by topic and availability zone.
pub fn traffic(peers: &Peers) {
    let flows = peers.traffic.snapshot();
    let flows: Vec<String> = flows
        .iter()
        .map(|((topic, is_near), size)| {
            let zone = if *is_near { "own" } else { "other" };
            format!("{topic} {zone}: {} {}", size.sent, size.received)
        })
        .collect();
    tracing::info!(event = "peer_traffic", bytes = flows.join(", "));
}

/// Logs each budget that a settlement changed.
pub fn settled(settlement: &Settlement, granted: &[Granted]) {
    for (item, granted) in settlement.items.iter().zip(granted) {
        if granted.uncovered_transfers > 0 {
            let customer = &*item.customer;
            tracing::error!(
                event = "transfers_misfit",
                customer,
                count = granted.uncovered_transfers
            );
        }
        if granted.uncovered_tokens > 0 {
            let customer = &*item.customer;
            tracing::error!(event = "charges_misfit", customer, tokens = granted.uncovered_tokens);
        }
        let changed = item.charged > 0
            || granted.tokens > 0
            || item.returned > 0
            || item.waiting > 0
            || !item.transfers.is_empty();
        if changed {
            tracing::info!(
                event = "settled",
                customer = &*item.customer,
                write = settlement.writer.write,
                charged = item.charged,
                granted = granted.tokens,
                returned = item.returned,
                free = item.free,
                need = item.need(),
                should_hold = granted.target,
                unspent = granted.unspent,
                left = granted.left,
                used = granted.used,
                lost = granted.lost,
                transfers = item.transfers.len(),
            );
        }
    }
}

/// Logs the tokens that this box holds, by customer and use. These are lost if the box dies without
/// a witness.
pub fn held(funds: &Funds) {
    let breakdown = funds.breakdown(MAX_CUSTOMERS_LOGGED);
    if breakdown.is_empty() {
        return;
    }
    let of = |(customer, breakdown): &(Arc<str>, Breakdown)| {
        let Breakdown { promised, unpromised, of_keepers, reserved, unsettled, outstanding } =
            breakdown;
        format!(
            "{customer} {promised} {unpromised} {of_keepers} {reserved} {unsettled} {outstanding}"
        )
    };
    let held: Vec<String> = breakdown.iter().map(of).collect();
    tracing::info!(
        event = "funds_held",
        order = "kept open of_keepers reserved unsettled passed",
        held = held.join(", "),
    );
}
