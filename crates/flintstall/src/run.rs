//! Runs the command that the options name.

use std::time::Duration;

use platform::store::{Client, Options as Reach};
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
const TIMEOUT: Duration = Duration::from_secs(5);
/// How long the platform holds one watch call open without changes.
const WATCH: Duration = Duration::from_secs(10);

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
