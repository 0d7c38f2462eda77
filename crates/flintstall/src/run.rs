//! Runs the command that the options name.

use std::time::Duration;

use platform::store::{Client, Options as StoreOptions};
use snafu::{OptionExt, ResultExt};

use crate::{
    apply, audit,
    cli::{Command, Options},
    error::{Error, NoCommandSnafu, NoPlatformSnafu, RuntimeSnafu},
    events,
    exit::Code,
    read, statement, try_out, watch,
};

/// Timeout of a platform call other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the platform holds one watch call open without changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the command and returns its exit code.
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
    let format = options.output;
    match command {
        Command::Check(check) => apply::check(check),
        Command::Timeline(timeline) => events::timeline(timeline, format),
        Command::Try(args) => Ok(try_out::try_out(args).await),
        Command::Audit(_) => audit::audit(&client(options)?, format).await,
        Command::Apply(apply) => apply::apply(&client(options)?, apply).await,
        Command::Get(get) => read::get(&client(options)?, get, format).await,
        Command::Describe(describe) => read::describe(&client(options)?, describe, format).await,
        Command::Watch(watch) => watch::watch(&client(options)?, watch, format).await,
        Command::Delete(delete) => apply::delete(&client(options)?, delete).await,
        Command::Statement(args) => statement::statement(&client(options)?, args, format).await,
    }
}

fn client(options: &Options) -> Result<Client, Error> {
    let configured = options.platform.clone().or_else(|| std::env::var("FLINTSTALL_PLATFORM").ok());
    let address = configured.context(NoPlatformSnafu)?;
    let address = address.trim_end_matches('/').to_owned();
    Ok(Client::open(StoreOptions { address, timeout: CALL_TIMEOUT, watch_timeout: WATCH_TIMEOUT }))
}
