//! The daemon: reads its settings, runs a router or a gateway, shuts down gracefully on SIGTERM.

mod cli;
mod exit;
mod logging;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = cli::parse();
    match run::run(&options) {
        Ok(()) => exit::Code::Success.into(),
        Err(error) => {
            eprintln!("[flintstall error]: {error}");
            error.code().into()
        }
    }
}
