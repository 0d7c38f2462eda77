//! Runs load and fault experiments on routers, simulated endpoints and a simulated platform, in one
//! process over loopback.

mod accounting;
mod baseline;
mod capacity;
mod changes;
mod cli;
mod exit;
mod experiment;
mod fleet;
mod herd;
mod latency;
mod load;
mod plot;
mod report;
mod slopes;
mod stats;
mod versions;

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
