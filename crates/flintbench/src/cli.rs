//! Command line of the experiment tool.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs load and fault experiments on routers and simulated endpoints over loopback.
///
/// `flintbench list` lists the experiments. The process exits with 1 if an invariant was violated.
#[derive(Debug, Clone, FromArgs)]
pub struct Options {
    /// experiment to run, or `list`
    #[argh(positional)]
    pub experiment: Option<String>,

    /// seed of the random number generators; 1 is the default
    #[argh(option, default = "1")]
    pub seed: u64,

    /// number of routers; the default depends on the experiment
    #[argh(option)]
    pub boxes: Option<usize>,

    /// number of requests; the default depends on the experiment
    #[argh(option)]
    pub requests: Option<u64>,

    /// number of seeds, counted from the seed; the default depends on the experiment
    #[argh(option)]
    pub seeds: Option<u64>,

    /// duration of the load in seconds; the default depends on the experiment
    #[argh(option)]
    pub seconds: Option<u64>,

    /// print the figures as a JSON object on the last line
    #[argh(switch)]
    pub json: bool,

    /// read the figures from a JSON object in this file instead of running an experiment
    #[argh(option)]
    pub figures: Option<PathBuf>,

    /// draw the figures as a bar chart into this SVG file
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
