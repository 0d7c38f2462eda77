//! Membership: which incarnations exist, which are silent, and which box owns a key.
//!
//! Membership is an optimization and need not be exact. Sealing the journal of a live box is
//! harmless, since all updates of the platform are conditional; two boxes that both consider
//! themselves the owner of a key only cause a conflict.

mod rendezvous;
mod members;

pub use members::{Member, Members};
pub use rendezvous::{rank, weight};
