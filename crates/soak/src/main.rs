//! `flintsoak`: runs the soak test with a range of seeds and prints violated guarantees.

mod cli;

use std::{collections::BTreeMap, process::ExitCode};

/// Violations of a seed that are printed.
const MAX_PRINTED: usize = 50;

fn main() -> ExitCode {
    let options = cli::parse();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::from(1);
        }
    };
    match runtime.block_on(play(&options)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Plays each seed; returns the number of seeds with violations.
async fn play(options: &cli::Options) -> Result<usize, soak::Error> {
    let (mut broken, played) = (0, options.run());
    for seed in options.seeds() {
        let report = soak::run(seed, &played).await?;
        let (calls, answered, refused) = report.calls;
        println!(
            "seed {seed}: {calls} calls, {answered} answered, {refused} refused, {} runs, {} faults, \
             {} violations, {} lost bills excused, {} broken \
             by the run in planned stops",
            report.runs,
            report.faults,
            report.breaches.len(),
            report.excused,
            report.broken_by_run
        );
        if options.unframed || options.versions {
            println!("  {}", report.raw);
        }
        if options.versions {
            println!("  {}", report.streams);
        }
        if options.trouble {
            let (tries, refused, work) = report.tries;
            println!("  in trouble: {tries} tries, {refused} refused, {work} runs");
        }
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        report.breaches.iter().for_each(|it| *counts.entry(it.guarantee).or_default() += 1);
        counts.iter().for_each(|(guarantee, count)| println!("  {count} times: {guarantee}"));
        for violation in report.breaches.iter().take(MAX_PRINTED) {
            println!("  {}: {}", violation.guarantee, violation.detail);
        }
        broken += usize::from(!report.breaches.is_empty());
    }
    println!("{broken} of {} seeds violated a guarantee", options.count);
    Ok(broken)
}
