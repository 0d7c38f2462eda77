//! Money decisions: grants, journals and bills, all without I/O, tasks or clocks.
//!
//! [`Ledger`] is the fleet's object for one budget, [`Journal`] the object of one incarnation, and
//! [`Account`] what a box itself knows of its part of a budget. Every transition is a method that
//! takes values and returns a value; the daemon turns them into conditional updates, so the order
//! in which the platform accepts them decides, not any clock.
//!
//! What keeps a customer from overspending is one inequality that every transition of [`Ledger`]
//! keeps, `spent + sum of grants <= paid`, and one that [`Account`] keeps,
//! `reserved + charged <= given`, where what an account is given has landed in the ledger first.

mod account;
mod audit;
mod bill;
mod book;
mod budget;
mod grant;
mod incarnation;
mod journal;
mod range_set;
mod record;
mod share;
mod sizing;
mod witness;

pub use account::{Account, Deficit, Part, Reservation, Tokens};
pub use audit::{Audit, Finding, Line, OpenClaim, audit};
pub use bill::{BILLS, Bill, Evidence, Page, Statement};
pub use book::{BOOK, Book, Claim, Granted, Item, Outages, Settlement, Writer};
pub use budget::{BILLS_PER_PAGE, Closing, Draw, Error, Folded, Ledger, page_name};
pub use grant::{Grant, Transfer};
pub use incarnation::Incarnation;
pub use journal::{Journal, Refusal, State};
pub use range_set::RangeSet;
pub use record::{Ended, Entry, Outcome, Record};
pub use share::{Delta, Demand, Share, Supply};
pub use sizing::{Observed, Policy, Prefer, Target, target};
pub use witness::{Promise, Untouched, Witness};
