//! All flags of the soak.

use std::{path::PathBuf, time::Duration};

use argh::FromArgs;

/// Runs real daemons under load and random faults, and checks what they promise.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// the daemon's program
    #[argh(option, default = "PathBuf::from(\"target/release/flintstalld\")")]
    pub daemon: PathBuf,

    /// first seed
    #[argh(option, default = "1")]
    pub seed: u64,

    /// how many seeds
    #[argh(option, default = "1")]
    pub count: u64,

    /// boxes
    #[argh(option, default = "5")]
    pub boxes: usize,

    /// seconds of load a seed
    #[argh(option, default = "15")]
    pub seconds: u64,

    /// endpoints name no limits
    #[argh(switch)]
    pub unlimited: bool,

    /// endpoints neither say that they leave nor ask for rest
    #[argh(switch)]
    pub wordless: bool,
}

impl Options {
    /// The seeds to play.
    pub fn seeds(&self) -> impl Iterator<Item = u64> + use<> {
        self.seed..self.seed + self.count
    }

    /// What to play with each.
    pub fn run(&self) -> soak::Options {
        soak::Options {
            daemon: self.daemon.clone(),
            folder: soak::folder_beside(&self.daemon),
            boxes: self.boxes,
            length: Duration::from_secs(self.seconds),
            limits: !self.unlimited,
            announcements: !self.wordless,
        }
    }
}

/// Parses the command line of this process.
pub fn parse() -> Options {
    cli_args::parse()
}
