//! Command line of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs the flintstall daemon on an entry box.
///
/// The daemon stands between callers and endpoints. It takes everything but its own addresses
/// from the platform and keeps nothing on the box. On SIGTERM it shuts down gracefully: it
/// finishes requests in flight and returns all tokens that it holds.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// path of the settings file, in JSON with comments
    #[argh(option)]
    pub settings: Option<PathBuf>,

    /// run as a gateway on the users' platform instead of as a router; the settings must be a gateway's
    #[argh(switch)]
    pub gateway: bool,

    /// validate the settings, print what is wrong with them, and exit
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
