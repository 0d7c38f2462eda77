//! Runs load and fault experiments on routers, simulated endpoints and a simulated platform, in one
//! process over loopback.

mod baseline;
mod capacity;
mod cli;
mod exit;
mod experiment;
mod herd;
mod load;
mod money;
mod path;
mod plot;
mod report;
mod serve;
mod slopes;
mod stats;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = cli::parse();
    match experiment::run(&options) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("[flintstall error]: {error}");
            exit::Code::Usage.into()
        }
    }
}
