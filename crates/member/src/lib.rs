//! Which incarnations exist, which are silent, and who looks after what.
//!
//! All of this only makes things fast. A box that is wrong about another seals a journal too
//! early, which the platform's conditional updates make harmless; two boxes that both believe
//! they are home for a thing cost each other a conflict.

mod home;
mod members;

pub use home::{rank, weight};
pub use members::{Member, Members};
