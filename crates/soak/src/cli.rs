//! Command line of `flintsoak`.

use std::{path::PathBuf, time::Duration};

use argh::FromArgs;

/// Runs real daemons under load and random faults, and checks their guarantees.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// path of the daemon's binary
    #[argh(option, default = "PathBuf::from(\"target/release/flintstalld\")")]
    pub daemon: PathBuf,

    /// first seed
    #[argh(option, default = "1")]
    pub seed: u64,

    /// number of seeds
    #[argh(option, default = "1")]
    pub count: u64,

    /// number of boxes
    #[argh(option, default = "5")]
    pub boxes: usize,

    /// seconds of load for each seed
    #[argh(option, default = "15")]
    pub seconds: u64,

    /// endpoints announce no rate limits
    #[argh(switch)]
    pub unlimited: bool,

    /// endpoints neither announce that they leave nor ask for back-offs
    #[argh(switch)]
    pub wordless: bool,

    /// other faults do not wait for the exit of a box that stops
    #[argh(switch)]
    pub concurrent_stops: bool,

    /// boxes are cut off from all endpoints now and then
    #[argh(switch)]
    pub cuts: bool,

    /// watches of the store hear nothing now and then
    #[argh(switch)]
    pub deaf: bool,

    /// endpoints also answer without a length and without chunks, and break such responses off
    #[argh(switch)]
    pub unframed: bool,

    /// endpoints have several software versions, and releases replace them
    #[argh(switch)]
    pub versions: bool,

    /// endpoints in trouble, with callers that come back
    #[argh(switch)]
    pub trouble: bool,

    /// endpoints in trouble and their callers do nothing that the protocol rules out
    #[argh(switch)]
    pub proper: bool,
}

impl Options {
    /// The seeds to play.
    pub fn seeds(&self) -> impl Iterator<Item = u64> + use<> {
        self.seed..self.seed + self.count
    }

    /// Options of each run.
    pub fn run(&self) -> soak::Options {
        soak::Options {
            daemon: self.daemon.clone(),
            folder: soak::folder_beside(&self.daemon),
            boxes: self.boxes,
            length: Duration::from_secs(self.seconds),
            limits: !self.unlimited,
            announcements: !self.wordless,
            cuts: self.cuts,
            deaf: self.deaf,
            unframed: self.unframed,
            versions: self.versions,
            trouble: self.trouble,
            proper: self.proper,
            stops: match self.concurrent_stops {
                true => soak::StopOrder::Concurrent,
                false => soak::StopOrder::InLine,
            },
        }
    }
}

/// Parses the command line of this process.
pub fn parse() -> Options {
    cli_args::parse()
}
