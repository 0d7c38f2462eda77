//! End-to-end tests: real gateways on loopback, with the stand-in store and scripted endpoints.

mod back_off;
mod bills;
mod box_crash;
mod brittle;
mod cut_off;
mod dead_watch;
mod endpoint_cut;
mod endpoints;
mod framing;
mod framing_edges;
mod harness;
mod keepers;
mod leaving;
mod outage;
mod process;
mod prompts;
mod proxy;
mod quarantine;
mod rate_limit;
mod raw;
mod sole_versions;
mod stale;
mod store_copy;
mod suspended;
mod sync;
mod versions;
