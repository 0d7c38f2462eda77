//! End-to-end tests: real gateways on loopback, with the stand-in store and scripted endpoints.

mod crash;
mod endpoints;
mod fleet;
mod leaving;
mod limit;
mod news;
mod outage;
mod path;
mod prompts;
mod quarantine;
mod rest;
mod suspended;
mod world;
