//! Real gateways over loopback, between the stand-in store and scripted endpoints.

mod outage;
mod path;
mod world;
