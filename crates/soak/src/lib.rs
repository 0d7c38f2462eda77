//! Soak test with real daemon processes under load and random faults.
//!
//! [`run`] plays one seed. It starts a stand-in store and endpoints in this process, and one daemon
//! for each box, which reaches the store through a link that can be cut or stalled. Callers
//! ([`call`]) keep their connections, and faults ([`fault`]) overlap. Endpoints may announce rate
//! limits ([`limit`]), that they leave, or back-offs ([`announcement`]). Raw callers ([`raw`]) have
//! responses framed and broken off in all ways ([`shape`]), and [`framing`] tells from the bytes whether
//! one ended as its endpoint ended it. Releases ([`release`]) replace endpoints by those of newer software
//! versions, and callers take up streams that broke ([`stream`]). Endpoints in trouble have callers that come back ([`trouble`]). At the end, [`verdict`]
//! compares the responses, the runs at the endpoints ([`endpoint`]), the book and the bills. For a
//! request on no bill, [`loss`] asks the lives of the boxes ([`life`]) whether one was possible. A
//! run signals only processes that it started, by their ids, and kills them when it ends.

pub mod announcement;
pub mod call;
pub mod daemon;
pub mod endpoint;
pub mod fault;
pub mod life;
pub mod framing;
pub mod limit;
pub mod loss;
pub mod raw;
pub mod release;
pub mod shape;
pub mod stream;
pub mod trouble;
pub mod verdict;

mod run;

pub use run::{Error, Options, Report, StopOrder, folder_beside, run};
