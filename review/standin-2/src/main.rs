//! Stand-ins of the second review, and the cases that start the daemons between them.
//!
//! `standin-2 CASE PROGRAM FOLDER RECORD` plays a case; the exit code is 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run.

mod balancer;
mod bodies;
mod caller;
mod engines;
mod fleet;
mod http;
mod json;
mod lost;
mod proxy;
mod record;
mod socket;
mod store;
mod worker;

use std::{path::PathBuf, process::exit};

use record::Record;

/// What a case gets.
pub struct Case {
    pub program: PathBuf,
    pub dir: PathBuf,
    pub record: Record,
    /// Whether the disruption is made.
    pub trouble: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, program, dir, record] = &args[..] else {
        eprintln!("usage: standin-2 CASE PROGRAM FOLDER RECORD");
        exit(2);
    };
    let record = match Record::create(record.as_ref()) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { program: program.into(), dir: dir.into(), record: record.clone(), trouble };
    let broken = match name.as_str() {
        "bodies" => bodies::play(&case),
        "lost" => lost::play(&case),
        "engines" => engines::play(&case),
        _ => {
            eprintln!("no case {name}");
            exit(2);
        }
    };
    record.flush();
    match broken {
        Some(true) => exit(1),
        Some(false) => exit(0),
        None => exit(2),
    }
}
