//! A box on the users' platform: plain requests in, plain requests out to endpoints.
//!
//! [`Gateway::spawn`] starts one, [`Gateway::stop`] is the planned stop. The way of a request is
//! `handle`: `admit` finds its route and customer (`table`) and holds its worst case in tokens
//! (`funds`), `dispatch` chooses an endpoint (`endpoints`) and sends, `relay` passes the answer on
//! and `trip` settles. Beside it, `news` keeps the configuration, the list of endpoints and that of boxes, and
//! `settle` the box's part of all budgets and its `bills`, each from the platform's store. `peers`
//! asks other boxes, `desk` answers them, and `witness` promises one of them what stays untouched.
//! Nothing is kept on the box.

mod admit;
mod bills;
mod desk;
mod dispatch;
mod draws;
mod endpoints;
mod ends;
mod entry;
mod funds;
mod gate;
mod gateway;
mod handle;
mod link;
mod meter;
mod metrics;
mod news;
mod order;
mod peers;
mod purse;
mod rate;
mod records;
mod refusal;
mod relay;
mod retries;
mod roster;
mod serve;
pub mod settings;
mod settle;
mod shares;
mod spacing;
mod table;
mod trip;
mod witness;

pub use bills::Bills;
pub use desk::Desk;
pub use ends::Ends;
pub use funds::{Balance, Funds, Hold, Lack};
pub use gateway::{Error, Gateway};
pub use link::Link;
pub use meter::Meter;
pub use news::{
    directory::Directory,
    homes::{Homes, homes},
    outage::{Contact, Outage, Probe},
    shelf::Shelf,
};
pub use order::{Place, order};
pub use peers::Peers;
pub use records::{Records, Taken};
pub use refusal::{Reason, Refusal};
pub use retries::Retries;
pub use settings::Settings;
pub use spacing::times_apart;
pub use table::Table;
