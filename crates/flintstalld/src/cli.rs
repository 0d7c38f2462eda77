//! All flags of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs the flintstall router on an entry box.
///
/// The daemon stands between callers and endpoints. It takes everything but its own addresses
/// from the platform, keeps nothing on the box, and stops by plan when it receives SIGTERM:
/// requests under way are finished and all tokens it holds are returned.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// path of the settings file, which is JSON with comments
    #[argh(option)]
    pub settings: Option<PathBuf>,

    /// serve plain requests on the users' platform: the settings are those of a gateway
    #[argh(switch)]
    pub gateway: bool,

    /// validate the settings, say what is wrong with them, and exit without listening
    #[argh(switch)]
    pub check: bool,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}

/// Parses the command line of this process.
pub fn parse() -> Options {
    cli_args::parse()
}
