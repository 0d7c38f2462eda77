//! All flags of the experiment tool.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs load and experiments against real router code and small stand-ins on loopback.
///
/// `flintbench list` names the experiments. The process exits with 1 if something that must
/// always hold was broken.
#[derive(Debug, Clone, FromArgs)]
pub struct Options {
    /// experiment to run, or `list`
    #[argh(positional)]
    pub experiment: Option<String>,

    /// seed of everything random; 1 is the default
    #[argh(option, default = "1")]
    pub seed: u64,

    /// number of routers; each experiment has its own default
    #[argh(option)]
    pub boxes: Option<usize>,

    /// number of requests; each experiment has its own default
    #[argh(option)]
    pub requests: Option<u64>,

    /// seconds that the load lasts; each experiment has its own default
    #[argh(option)]
    pub seconds: Option<u64>,

    /// print one JSON object with the figures as the last line
    #[argh(switch)]
    pub json: bool,

    /// take the figures from a JSON object in this file, and run nothing
    #[argh(option)]
    pub figures: Option<PathBuf>,

    /// draw the figures into an SVG file
    #[argh(option)]
    pub plot: Option<PathBuf>,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}

/// Parses the command line of this process.
pub fn parse() -> Options {
    cli_args::parse()
}
