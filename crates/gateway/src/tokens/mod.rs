//! Tokens: what this box may still spend of each budget, and how it comes by more.
//!
//! A request holds its worst case in `funds`, which keep a `wallet` for each customer. A keeper draws from
//! the book in the store (`settle`) and passes tokens on to boxes near it (`shares`); the others draw from
//! it (`acquirer`), and keepers lend to each other while the store cannot give (`borrower`). `witness` promises
//! another box what stays untouched, and `claims` are collected of boxes that died, and
//! `bills` are what became of the tokens. How much a box holds for an outage is sized by `forecast`.

pub mod bills;
pub mod claims;
pub mod acquirer;
pub mod participation;
pub mod funds;
pub mod borrower;
pub mod forecast;
pub mod wallet;
pub mod rate;
pub mod report;
pub mod settle;
pub mod shares;
pub mod spacing;
pub mod witness;
