//! Gateway for the users' platform: forwards HTTP requests of callers to endpoints.
//!
//! [`Gateway::spawn`] starts a box, [`Gateway::stop`] stops it gracefully. A box keeps no state on
//! disk.
//!
//! Modules, each of which depends only on those after it:
//!
//! - `door`: connections of callers, the balancer, operators and other boxes;
//! - `news`: this box's view of the configuration, the endpoints and the other boxes in the
//!   platform's store;
//! - `way`: one request, from its head to the end of the endpoint's answer;
//! - `money`: the tokens that this box may spend of each budget, and how it gets more;
//! - `fleet`: the other boxes and requests to them.

mod clock;
mod door;
mod fleet;
mod gateway;
mod metrics;
mod money;
mod news;
mod outage;
pub mod settings;
mod table;
mod way;

pub use clock::{Clock, Part, Pulse};
pub use fleet::{
    entry::Entry,
    homes::{Homes, homes},
    order::{Place, order},
    peers::Peers,
    records::{Records, Taken},
};
pub use gateway::{Error, Gateway};
pub use money::{
    bills::Bills,
    ends::Ends,
    funds::{Balance, Funds, Hold, Lack},
    outlook::Outlook,
    spacing::times_apart,
};
pub use news::{
    directory::Directory,
    evacuations::{Evacuations, Zones},
    shelf::Shelf,
};
pub use outage::{Contact, Outage, Probe};
pub use settings::Settings;
pub use table::Table;
pub use way::{
    crashes::{Crashes, Found, Prove},
    endpoints::{Chosen, Endpoints, Heard},
    link::Link,
    meter::Meter,
    refusal::{Reason, Refusal},
    retries::Retries,
};
