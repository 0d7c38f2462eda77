//! The tokens that this box may spend of each budget, and how it gets more.
//!
//! A request reserves its worst case in `funds`, which hold one `wallet` per customer. A box gets
//! tokens from the keeper of its availability zone, or from the book in the store if it is the
//! keeper itself or reaches none (`acquirer`). Keepers settle with the book (`settle`), pass tokens
//! on to the boxes near them (`shares`) and borrow from each other while the store cannot grant any
//! (`borrower`). `forecast` sizes what a box holds for an outage of the store. `witness` promises
//! another box which tokens stay unused, and `claims` collects such promises of boxes that died.
//! `bills` records what the tokens were charged for, and `hand_over` passes bills on before a planned
//! stop that the store does not see.

pub mod acquirer;
pub mod bills;
pub mod borrower;
pub mod claims;
pub mod forecast;
pub mod funds;
pub mod hand_over;
pub mod participation;
pub mod rate;
pub mod report;
pub mod settle;
pub mod shares;
pub mod spacing;
pub mod wallet;
pub mod witness;
