//! End-to-end tests: real gateways on loopback, with the stand-in store and scripted endpoints.

mod box_crash;
mod endpoints;
mod keepers;
mod leaving;
mod rate_limit;
mod sync;
mod outage;
mod proxy;
mod prompts;
mod quarantine;
mod back_off;
mod suspended;
mod harness;
