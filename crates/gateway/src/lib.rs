//! A box on the users' platform: plain requests in, plain requests out to endpoints.
//!
//! [`Gateway::spawn`] starts one, [`Gateway::stop`] is the planned stop. Nothing is kept on the box.
//!
//! The rooms of the crate, each of which needs only those after it:
//!
//! - `inbound`: callers, the balancer, operators and other boxes come in here;
//! - `sync`: the configuration, the endpoints and the other boxes, as the platform's store holds them;
//! - `proxy`: a request on its way to an endpoint and back;
//! - `tokens`: what this box may spend of each budget, and how it comes by more;
//! - `fleet`: the other boxes, and asking them.
//!
//! A request comes in at the door, goes its way, and takes its tokens from the money.

mod clock;
mod inbound;
mod fleet;
mod gateway;
mod metrics;
mod tokens;
mod sync;
mod outage;
pub mod settings;
mod table;
mod proxy;

pub use clock::{Clock, Dataset, Watchdog};
pub use fleet::{
    entry::Entry,
    keepers::{Profile, keepers},
    peers::Peers,
    promises::{Acceptance, Promises},
    watchers::{Watchers, watchers},
};
pub use gateway::{Error, Gateway};
pub use outage::{Outage, Probe, Recovery};
pub use proxy::{
    crashes::{Crashes, Liveness, Prober},
    endpoints::{Changes, Chosen, Endpoints},
    event_counter::EventCounter,
    link::Link,
    refusal::{Reason, Refusal},
    retries::Retries,
};
pub use settings::Settings;
pub use sync::{
    change_log::ChangeLog,
    directory::Directory,
    evacuations::{Evacuations, Zones},
};
pub use table::Table;
pub use tokens::{
    bills::Bills,
    forecast::Forecast,
    funds::{Balance, Funds, Hold, Shortage},
    participation::Participation,
    spacing::interval_factor,
};
