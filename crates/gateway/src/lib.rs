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
//! - `fleet`: the other boxes and requests to them;
//! - `sole_versions`: whether a service has run only one software version.

mod clock;
mod freshness;
mod inbound;
mod fleet;
mod gateway;
mod metrics;
mod tokens;
mod sync;
mod outage;
pub mod settings;
mod config_table;
mod proxy;
mod sole_versions;

pub use clock::{Clock, Dataset, Watchdog};
pub use config_table::ConfigTable;
pub use fleet::{
    bill_writers::{BOXES_PER_WRITER, bill_writers},
    entry::Entry,
    keepers::{STAND_INS, keepers, stand_ins, with_stand_ins},
    peers::Peers,
    profile::Profile,
    promises::{Acceptance, Promises},
    regions::Regions,
    streams::{
        Counts as StreamCounts, Found, Streams, Tell,
        homes::{Homes, homes},
        key as stream_key,
        memory::{MAX_STREAMS, Memory, STREAM_TTL},
    },
    watchers::{Watchers, watchers},
};
pub use freshness::{Bounds, Freshness, Source, Subject};
pub use gateway::{Error, Gateway};
pub use outage::{Outage, Probe, Recovery};
pub use proxy::{
    crashes::{Content, Crashes, Liveness, Prober},
    endpoints::{Changes, Chosen, Endpoints},
    event_counter::EventCounter,
    link::Link,
    refusal::{Reason, Refusal},
    retries::Retries,
};
pub use settings::Settings;
pub use sole_versions::{
    history::{Listed, Seen, VersionHistory},
    record::{Known, Record, VERSIONS, Versions},
};
pub use sync::{
    change_log::{ChangeLog, Part},
    deadline::{due_in, read_due},
    directory::Directory,
    evacuations::{Evacuations, Zones},
    fallback::{Fallback, Role},
};
pub use tokens::{
    bills::{
        Bills,
        pending::{Draft, Pending},
        recent::Recent,
    },
    forecast::Forecast,
    funds::{Balance, Funds, Hold, Shortage},
    participation::Participation,
    spacing::{first_read_delay, interval_factor},
};
