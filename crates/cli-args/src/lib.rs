//! Reading the command line, alike in all programs.
//!
//! A wrong flag or value is the user's to mend, so it ends with a code of its own, as a wrong setting does: 1 would
//! say that the program tried and failed.

use std::{env, process};

use argh::{EarlyExit, TopLevelCommand};

/// Exit code of a command line that is wrong.
pub const USAGE: i32 = 2;

/// Reads the command line of this process; ends it where that is wrong or asks for help.
pub fn parse<T: TopLevelCommand>() -> T {
    let args: Vec<String> = env::args().collect();
    let path = args.first().map_or("", String::as_str);
    let name = path.rsplit('/').next().unwrap_or(path);
    let rest: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    T::from_args(&[name], &rest).unwrap_or_else(|exit| leave(name, &exit))
}

fn leave(name: &str, exit: &EarlyExit) -> ! {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            process::exit(0)
        }
        Err(()) => {
            eprintln!("{}\nRun {name} --help for more information.", exit.output.trim_end());
            process::exit(USAGE)
        }
    }
}
