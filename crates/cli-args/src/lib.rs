//! Command line parsing, the same for all programs.
//!
//! A usage error has an exit code of its own, to be told apart from a run that failed (code 1).

use std::{env, process};

use argh::{EarlyExit, TopLevelCommand};

/// Exit code for a usage error.
pub const USAGE_EXIT_CODE: i32 = 2;

/// Parses the command line of this process; exits on a usage error and after `--help`.
pub fn parse<T: TopLevelCommand>() -> T {
    let args: Vec<String> = env::args().collect();
    let path = args.first().map_or("", String::as_str);
    let name = path.rsplit('/').next().unwrap_or(path);
    let flags: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    T::from_args(&[name], &flags).unwrap_or_else(|early_exit| exit_early(name, &early_exit))
}

fn exit_early(name: &str, early_exit: &EarlyExit) -> ! {
    match early_exit.status {
        Ok(()) => {
            println!("{}", early_exit.output);
            process::exit(0)
        }
        Err(()) => {
            eprintln!("{}\nRun {name} --help for more information.", early_exit.output.trim_end());
            process::exit(USAGE_EXIT_CODE)
        }
    }
}
