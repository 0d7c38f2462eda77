//! A box on the users' platform: plain requests in, plain requests out to endpoints.
//!
//! [`Gateway::spawn`] starts one, [`Gateway::stop`] is the planned stop. Nothing is kept on the box.
//!
//! The rooms of the crate, each of which needs only those after it:
//!
//! - `door`: callers, the balancer, operators and other boxes come in here;
//! - `news`: the configuration, the endpoints and the other boxes, as the platform's store holds them;
//! - `way`: a request on its way to an endpoint and back;
//! - `money`: what this box may spend of each budget, and how it comes by more;
//! - `fleet`: the other boxes, and asking them.
//!
//! A request comes in at the door, goes its way, and takes its tokens from the money.

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
