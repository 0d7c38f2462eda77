#!/usr/bin/env python3
"""Disables one mechanism in a scratch checkout, to measure its effect.

Usage: switch_off.py list
       switch_off.py MECHANISM CHECKOUT

Edits the sources of CHECKOUT in place, so that production code needs no such switches. The text of
each edit must occur exactly once; otherwise the script fails. Build and run CHECKOUT afterwards,
then delete it.
"""
import pathlib, sys

SELECTION, ENDPOINT = "crates/balance/src/pool/choose.rs", "crates/balance/src/endpoint.rs"
ENDPOINTS, RELAY, EXCHANGE = (f"crates/gateway/src/proxy/{name}.rs" for name in ("endpoints/mod", "relay", "exchange"))
BORROWER, WALLET, WITNESS = (f"crates/gateway/src/tokens/{name}.rs" for name in ("borrower", "wallet/mod", "witness"))
PEER_REQUESTS, SETTINGS = "crates/gateway/src/fleet/peers/requests.rs", "crates/gateway/src/settings.rs"
BOOK, SIZING = "crates/ledger/src/book.rs", "crates/ledger/src/sizing.rs"

# Mechanism: description, and the edits (file, text, replacement) that disable it.
MECHANISMS = {
    "witness": ("promises to a witness", [
        (WITNESS, "let other = peers.any_reachable(", "let other = None::<ledger::Incarnation>.filter(|_| peers.is_empty());\n        let _ = peers.any_reachable(")]),
    "told-prompts": ("boxes announce large prompts to each other", [
        (RELAY, "prefill_tokens >= MIN_ANNOUNCED_TOKENS", "prefill_tokens >= MIN_ANNOUNCED_TOKENS * 1_000_000")]),
    "told-holders": ("boxes announce which endpoint caches a prompt", [
        (PEER_REQUESTS, "(endpoint.clone(), prefix.hashes())", "(endpoint.clone(), Prefix::default().hashes())")]),
    "homes": ("owners of shared prefixes", [
        (ENDPOINTS, "const PREFIX_OWNERS: usize = 2;", "const PREFIX_OWNERS: usize = 0;")]),
    "prefix-record": ("record of the prefixes that each endpoint caches", [
        (SELECTION, "self.prefixes.held(prefix, &endpoint.name).max(assumed);", "assumed;"),
        (SELECTION, "for name in self.prefixes.best(prefix, 2) {", "for name in self.prefixes.best(prefix, 0) {")]),
    "reading": ("weight of uncached prompt tokens above queued ones", [
        (ENDPOINTS, "const PREFILL_WEIGHT: f64 = 4.5;", "const PREFILL_WEIGHT: f64 = 1.0;")]),
    "slow-homes": ("slow engines own large prefixes last", [
        (SELECTION, "(is_large && self.speed.is_slow(e), Reverse", "(is_large && self.speed.is_slow(e) && false, Reverse")]),
    "bounded-load": ("load above which cached prompts are ignored", [
        (ENDPOINTS, "const BOUNDED_LOAD: f64 = 3.0;", "const BOUNDED_LOAD: f64 = 1.0e6;")]),
    "slow-start": ("growing share of requests for new endpoints", [
        (ENDPOINT, "const SLOW_START_MS: u64 = 5_000;", "const SLOW_START_MS: u64 = 0;")]),
    "ejection": ("ejection of failing endpoints", [
        (ENDPOINT, "const EJECT_AFTER: u32 = 3;", "const EJECT_AFTER: u32 = 1_000_000;")]),
    "repeats": ("retries at a second endpoint", [
        (SETTINGS, "ratio: 0.15, extra: 2,", "ratio: 0.0, extra: 0,")]),
    "lending": ("boxes lend each other tokens", [
        (BORROWER, "if self.funds.are_others_exhausted(customer, worst) {", "if self.funds.are_others_exhausted(customer, worst) || true {")]),
    "dry": ("exhausted books are not asked before the next regular settlement", [
        (WALLET, "self.has_settled && !self.topped_up &&", "false && self.has_settled && !self.topped_up &&")]),
    "growing-horizon": ("holdings grow with the time since an outage", [
        (SIZING, "self.offline_horizon.min(seconds + MIN_HORIZON_S)", "self.offline_horizon + 0 * (seconds + MIN_HORIZON_S)")]),
    "shared-peak": ("boxes share the tokens held for one large request", [
        (BOOK, "observed.peak / policy.boxes.max(1)", "observed.peak + 0 * policy.boxes.max(1)")]),
    "exact-charge": ("interrupted streams are charged for the output produced", [
        (EXCHANGE, "if self.attempts == 1 =>", "if self.attempts == 1_000 =>")]),
}


def main():
    if sys.argv[1:] == ["list"]:
        for name, (description, _) in MECHANISMS.items():
            print(f"{name:16} {description}")
        return
    if len(sys.argv) != 3 or sys.argv[1] not in MECHANISMS:
        sys.exit(__doc__)
    checkout = pathlib.Path(sys.argv[2])
    for file, text, replacement in MECHANISMS[sys.argv[1]][1]:
        source = (checkout / file).read_text()
        if source.count(text) != 1:
            sys.exit(f"{file}: text of `{sys.argv[1]}` occurs {source.count(text)} times, expected once")
        (checkout / file).write_text(source.replace(text, replacement))


main()
