//! All flags of the client.

use std::path::PathBuf;

use argh::FromArgs;

use crate::output::Form;

/// Drives a flintstall fleet by writing and watching its resources.
///
/// The client speaks to the platform's object API alone and never to a box.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// address of the platform's object API; the environment variable FLINTSTALL_PLATFORM is used where the flag is not given
    #[argh(option)]
    pub platform: Option<String>,

    /// form of the output: `table` for people, which is the default, or `json` for programs
    #[argh(option, default = "Form::Table")]
    pub output: Form,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,

    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Apply(Apply),
    Audit(Audit),
    Check(Check),
    Get(Get),
    Describe(Describe),
    Watch(Watch),
    Delete(Delete),
    Statement(Statement),
    Timeline(Timeline),
    Try(Try),
}

/// Writes the resources of a file to the platform.
///
/// Each resource is written conditionally on the version that was read, so two operators cannot
/// overwrite each other unseen. The whole file is checked before anything is written.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// file with one resource or an array of them, in JSON with comments; `-` reads standard input
    #[argh(option, short = 'f')]
    pub file: PathBuf,

    /// show what would change, and write nothing
    #[argh(switch)]
    pub dry_run: bool,
}

/// Proves that what the boxes of a gateway fleet spent, hold and billed fits what was paid.
///
/// It reads the book of all budgets and the pages of bills from the platform, and nothing else.
/// The exit code says whether everything fits.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {}

/// Checks a file of resources without reaching the platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file with one resource or an array of them, in JSON with comments; `-` reads standard input
    #[argh(option, short = 'f')]
    pub file: PathBuf,
}

/// Lists the resources of a kind, or shows one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// kind: customer, budget, route, pool or destroyed
    #[argh(positional)]
    pub kind: String,

    /// name of one resource
    #[argh(positional)]
    pub name: Option<String>,
}

/// Shows a resource, what of it is accepted, and on which boxes it is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "describe")]
pub struct Describe {
    /// kind: customer, budget, route, pool or destroyed
    #[argh(positional)]
    pub kind: String,

    /// name of the resource
    #[argh(positional)]
    pub name: String,
}

/// Prints changes of resources and of their status as they happen.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// kind to watch; all kinds if it is not given
    #[argh(positional)]
    pub kind: Option<String>,

    /// end after this many seconds; 0, the default, goes on until interrupted
    #[argh(option, default = "0")]
    pub seconds: u64,
}

/// Deletes a resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct Delete {
    /// kind: customer, budget, route, pool or destroyed
    #[argh(positional)]
    pub kind: String,

    /// name of the resource
    #[argh(positional)]
    pub name: String,
}

/// Prints the balance of a budget, who holds what of it, and its bills.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "statement")]
pub struct Statement {
    /// name of the budget
    #[argh(positional)]
    pub budget: String,

    /// most bills to print, newest first; 20 is the default
    #[argh(option, default = "20")]
    pub bills: usize,
}

/// Merges the events of all processes in causal order.
///
/// The events are read from collected log lines: from the files named, or from standard input.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Timeline {
    /// files of log lines; standard input if there are none
    #[argh(positional)]
    pub files: Vec<PathBuf>,

    /// only events of the request with this key
    #[argh(option)]
    pub request: Option<String>,

    /// only events of this budget
    #[argh(option)]
    pub budget: Option<String>,

    /// only events of this box
    #[argh(option, long = "box")]
    pub box_name: Option<String>,
}

/// Runs a whole fleet on loopback, sends it requests, and shows that everything adds up.
///
/// Nothing else needs to be installed: the platform, two model endpoints and a plain service are
/// small stand-ins in the same process, and the three routers are the real ones.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "try")]
pub struct Try {
    /// keep the fleet running and print `curl` lines that reach it
    #[argh(switch)]
    pub serve: bool,

    /// print one JSON object at the end
    #[argh(switch)]
    pub json: bool,
}

/// Parses the command line of this process.
pub fn parse() -> Options {
    cli_args::parse()
}
