//! Accounting of tokens: grants, journals and bills, without I/O, tasks or clocks.
//!
//! [`Ledger`] is the shared object of one budget, [`Book`] holds the ledgers of many budgets in one
//! object, [`Journal`] is the object of one incarnation, and [`Account`] is a box's local view of
//! its part of a budget. Every transition is a method that takes values and returns a value; the
//! daemon turns it into a conditional update. So the order in which the platform accepts the
//! updates decides, not a clock.
//!
//! Two invariants keep a customer from overspending:
//!
//! - every transition of [`Ledger`] keeps `spent + sum of grants <= paid`;
//! - every transition of [`Account`] keeps `reserved + charged <= given`, where tokens are given to
//!   an account only after the grant has landed in the ledger.

mod account;
mod audit;
mod bill;
mod book;
mod copy;
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
pub use book::{BOOK, Book, Claim, Granted, Item, Outages, Receipt, Settlement, Writer};
pub use budget::{BILLS_PER_PAGE, Closing, Draw, Error, Folded, Ledger, page_name};
pub use copy::{Landed, Return};
pub use grant::{Grant, Transfer};
pub use incarnation::Incarnation;
pub use journal::{Journal, Refusal, State};
pub use range_set::RangeSet;
pub use record::{Ended, Entry, Outcome, Record};
pub use share::{Delta, Demand, Share, Supply};
pub use sizing::{Observed, Policy, Prefer, Target, target};
pub use witness::{Promise, Unused, Witness};
