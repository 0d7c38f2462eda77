//! Log lines on money: what settlements changed, what is held, and what it costs in calls and messages.

use std::sync::Arc;

use ledger::{Granted, Settlement};
use platform::store::Client;

use crate::{
    fleet::peers::Peers,
    tokens::{funds::Funds, wallet::Parts},
};

/// Customers in one log line on what is held.
const LOGGED: usize = 16;

/// One line on the calls that this process made so far, by purpose.
pub fn calls(store: &Client) {
    let calls = store.calls().snapshot();
    let calls: Vec<String> = calls
        .iter()
        .map(|((operation, kind), count)| format!("{operation:?} {kind}: {}", count.calls))
        .collect();
    tracing::info!(event = "store_calls", calls = calls.join(", "));
}

/// One line on what this box's questions to others took so far, by topic and availability zone.
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

/// One line on each budget that a settlement changed.
pub fn settled(settlement: &Settlement, granted: &[Granted]) {
    for (item, granted) in settlement.items.iter().zip(granted) {
        if granted.misfits > 0 {
            let customer = &*item.customer;
            tracing::error!(event = "transfers_misfit", customer, count = granted.misfits);
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

/// One line on what this box holds, by customer and by what it is for: what would be lost with it.
pub fn held(funds: &Funds) {
    let parts = funds.parts(LOGGED);
    if parts.is_empty() {
        return;
    }
    let of = |(customer, parts): &(Arc<str>, Parts)| {
        let Parts { kept, open, of_keepers, reserved, unsettled, passed } = parts;
        format!("{customer} {kept} {open} {of_keepers} {reserved} {unsettled} {passed}")
    };
    let held: Vec<String> = parts.iter().map(of).collect();
    tracing::info!(
        event = "funds_held",
        order = "kept open of_keepers reserved unsettled passed",
        held = held.join(", "),
    );
}
