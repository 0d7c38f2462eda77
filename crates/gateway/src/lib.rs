//! Gateway for the users' platform: forwards HTTP requests of callers to endpoints.
//!
//! [`Gateway::spawn`] starts a box, [`Gateway::stop`] stops it gracefully. A box keeps no state on
//! disk.
//!
//! Modules, each of which depends only on those after it:
//!
//! - `inbound`: connections of callers, the balancer, operators and other boxes;
//! - `sync`: this box's view of the configuration, the endpoints and the other boxes in the
//!   platform's store;
//! - `proxy`: one request, from its head to the end of the endpoint's answer;
//! - `tokens`: the tokens that this box may spend of each budget, and how it gets more;
//! - `fleet`: the other boxes and requests to them.

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
    watchers::{Watchers, watchers},
    keepers::{Profile, keepers},
    peers::Peers,
    promises::{Promises, Acceptance},
};
pub use gateway::{Error, Gateway};
pub use tokens::{
    bills::Bills,
    participation::Participation,
    funds::{Balance, Funds, Hold, Shortage},
    forecast::Forecast,
    spacing::interval_factor,
};
pub use sync::{
    directory::Directory,
    evacuations::{Evacuations, Zones},
    change_log::ChangeLog,
};
pub use outage::{Recovery, Outage, Probe};
pub use settings::Settings;
pub use table::Table;
pub use proxy::{
    crashes::{Crashes, Liveness, Prober},
    endpoints::{Chosen, Endpoints, Changes},
    link::Link,
    event_counter::EventCounter,
    refusal::{Reason, Refusal},
    retries::Retries,
};
