//! Command line of the client.

use std::path::PathBuf;

use argh::FromArgs;

use crate::output::Format;

/// Operates a flintstall fleet by writing and watching its resources.
///
/// The client uses the platform's object API only and never connects to a box.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// address of the platform's object API; defaults to the environment variable FLINTSTALL_PLATFORM
    #[argh(option)]
    pub platform: Option<String>,

    /// output format: `table`, the default, or `json`
    #[argh(option, default = "Format::Table")]
    pub output: Format,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,

    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// Subcommands.
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
/// Each resource is written conditionally on the version that was read, so that concurrent
/// changes by another operator are not overwritten. The whole file is validated first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// file with one resource or an array of them, in JSON with comments; `-` reads standard input
    #[argh(option, short = 'f')]
    pub file: PathBuf,

    /// show what would change without writing it
    #[argh(switch)]
    pub dry_run: bool,
}

/// Verifies that the tokens a gateway fleet spent, holds and billed match what was paid.
///
/// Reads the book of all budgets and the pages of bills from the platform.
/// The exit code is 1 if there are discrepancies.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {}

/// Validates a resource file without connecting to the platform.
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

/// Shows a resource, which version of it is accepted, and on which boxes it is in force.
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

    /// stop after this many seconds; 0, the default, continues until interrupted
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

/// Prints the balance of a budget, the incarnations that hold its tokens, and its bills.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "statement")]
pub struct Statement {
    /// name of the budget
    #[argh(positional)]
    pub budget: String,

    /// maximum number of bills to print, newest first; 20 is the default
    #[argh(option, default = "20")]
    pub bills: usize,
}

/// Merges the events of all processes in causal order.
///
/// Reads the events from collected log lines, in files or on standard input.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Timeline {
    /// log files; standard input if there are none
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

/// Runs a fleet on loopback, sends it requests, and verifies answers and bills.
///
/// Nothing else needs to be installed: the three routers are real; the platform, two model
/// endpoints and a plain service are small stand-ins in the same process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "try")]
pub struct Try {
    /// keep the fleet running and print `curl` commands that reach it
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
