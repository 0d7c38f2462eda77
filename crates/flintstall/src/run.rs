//! From options to a command, and the errors of all commands.

use std::{
    io::Read,
    path::{Path, PathBuf},
    time::Duration,
};

use platform::store::{Client, Options as Reach};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    apply, audit,
    cli::{Command, Options},
    events,
    exit::Code,
    read, statement, try_out, watch,
};

/// Bound on each platform call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// How long one watch waits.
const WATCH: Duration = Duration::from_secs(10);

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No command was given.
    #[snafu(display("a command is needed; `flintstall --help` lists them"))]
    NoCommand,
    /// Nobody said where the platform is.
    #[snafu(display("where is the platform? give `--platform http://ADDRESS:PORT`"))]
    NoPlatform,
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
    /// A file is wrong.
    #[snafu(display("{}: {source}", path.display()))]
    Content { path: PathBuf, source: resource::Error },
    /// A kind or name is wrong.
    #[snafu(display("{reason}"))]
    Word { reason: String },
    /// The resource does not exist.
    #[snafu(display("there is no {kind} `{name}`"))]
    Missing { kind: String, name: String },
    /// Another write came first.
    #[snafu(display("{kind} `{name}` was changed by someone else meanwhile; look at it again"))]
    Conflict { kind: String, name: String },
    /// The platform did not answer.
    #[snafu(display("{source}"))]
    Platform { source: objects::Error },
    /// A write's answer was lost.
    #[snafu(display("it is not known whether {kind} `{name}` was written; read it again"))]
    InDoubt { kind: String, name: String },
    /// A stored object was not understood.
    #[snafu(display("a stored object was not understood: {reason}"))]
    Stored { reason: String },
    /// The runtime did not start.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: std::io::Error },
}

impl Error {
    /// The exit code for this error.
    pub fn code(&self) -> Code {
        match self {
            Error::NoCommand
            | Error::NoPlatform
            | Error::File { .. }
            | Error::Content { .. }
            | Error::Word { .. } => Code::Usage,
            Error::Missing { .. } | Error::Stored { .. } | Error::Runtime { .. } => Code::Failure,
            Error::Conflict { .. } => Code::Conflict,
            Error::Platform { .. } | Error::InDoubt { .. } => Code::Unreachable,
        }
    }
}

/// Runs the command of the options.
pub fn run(options: &Options) -> Result<Code, Error> {
    if options.version {
        println!("flintstall {}", env!("CARGO_PKG_VERSION"));
        return Ok(Code::Success);
    }
    let command = options.command.as_ref().context(NoCommandSnafu)?;
    let runtime = tokio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(dispatch(options, command))
}

async fn dispatch(options: &Options, command: &Command) -> Result<Code, Error> {
    let form = options.output;
    match command {
        Command::Check(check) => apply::check(check),
        Command::Timeline(timeline) => events::timeline(timeline, form),
        Command::Try(choice) => Ok(try_out::try_out(choice).await),
        Command::Audit(_) => audit::audit(&client(options)?, form).await,
        Command::Apply(apply) => apply::apply(&client(options)?, apply).await,
        Command::Get(get) => read::get(&client(options)?, get, form).await,
        Command::Describe(describe) => read::describe(&client(options)?, describe, form).await,
        Command::Watch(watch) => watch::watch(&client(options)?, watch, form).await,
        Command::Delete(delete) => apply::delete(&client(options)?, delete).await,
        Command::Statement(wanted) => statement::statement(&client(options)?, wanted, form).await,
    }
}

fn client(options: &Options) -> Result<Client, Error> {
    let named = options.platform.clone().or_else(|| std::env::var("FLINTSTALL_PLATFORM").ok());
    let address = named.context(NoPlatformSnafu)?;
    let address = address.trim_end_matches('/').to_owned();
    Ok(Client::open(Reach { address, timeout: TIMEOUT, watch: WATCH }))
}

/// Reads a stored object.
pub fn decode<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| Error::Stored { reason: error.to_string() })
}

/// Text of a file, or of standard input for `-`.
pub fn text_of(path: &Path) -> Result<String, Error> {
    let context = FileSnafu { path };
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).context(context)?;
        return Ok(text);
    }
    std::fs::read_to_string(path).context(context)
}
