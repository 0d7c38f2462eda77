//! The operators' client: writes and watches resources in the platform; never connects to a box.

mod apply;
mod audit;
mod cli;
mod input;
mod error;
mod events;
mod exit;
mod output;
mod paint;
mod read;
mod run;
mod statement;
mod table;
mod try_out;
mod watch;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = cli::parse();
    match run::run(&options) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("[flintstall error]: {error}");
            error.code().into()
        }
    }
}
