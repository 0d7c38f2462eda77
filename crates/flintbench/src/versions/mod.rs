//! Simulates streams that break and are taken up at any box while endpoints of several software
//! versions serve, and weighs ways for a box to know the version that began a stream.
//!
//! All designs play the same days: streams arrive at the same times, are as long, and callers come
//! back as late. Time is simulated, and boxes and endpoints have no load.

mod day;
mod design;
mod play;
mod random;
mod tally;
mod world;

use std::{
    fmt::Write,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use parking_lot::Mutex;
use serde_json::json;

use crate::{cli::Options, report::Report};

use self::{day::Day, design::Design, tally::Tally};

/// Sizes of fleets, and how many seeds each plays.
const SIZES: [(usize, u64); 4] = [(7, 20), (75, 10), (390, 4), (1_000, 3)];
/// Days that are played at once.
const THREADS: usize = 4;

const HEAD: &str = "\
| day | design | taken up | right | wrong | refused, two serve | refused otherwise | mixed days \
| refused days | messages a box and s | busiest | records |
|---|---|---|---|---|---|---|---|---|---|---|---|
";

/// Sums of all designs on the days of one kind at one size.
struct Block {
    boxes: usize,
    day: Day,
    tallies: Vec<Tally>,
}

/// Plays all days; the figures count the days on which a design broke a rule.
pub fn run(options: &Options) -> Report {
    let mut report = Report { is_sound: true, ..Report::default() };
    for (boxes, blocks) in &by_size(play_all(options)) {
        let broken = |n: usize| {
            let sum = sum(blocks.iter().map(|block| &block.tallies[n]));
            json!({"days": sum.days, "mixed": sum.days_mixed, "refused": sum.days_refused})
        };
        let designs = Design::ALL.iter().enumerate();
        let by_design = designs.map(|(n, (name, _))| (name.to_string(), broken(n)));
        report.add(&format!("boxes_{boxes}"), by_design.collect::<serde_json::Map<_, _>>());
    }
    report
}

/// Plays all days and returns Markdown tables.
pub fn table(options: &Options) -> String {
    let sizes = by_size(play_all(options));
    let mut text = summary(&sizes);
    for (boxes, blocks) in &sizes {
        let _ = write!(text, "\n## {boxes} boxes\n\n{HEAD}");
        blocks.iter().for_each(|block| rows(&mut text, block));
    }
    text
}

/// Days on which a rule was broken, by design and size.
fn summary(sizes: &[(usize, Vec<Block>)]) -> String {
    let mut text = String::from("| design |");
    for (boxes, blocks) in sizes {
        let days: u64 = blocks.iter().map(|block| block.tallies[0].days).sum();
        let _ = write!(text, " {boxes} boxes, {days} days: mixed | refused |");
    }
    let _ = write!(text, "\n|---|{}\n", "---|---|".repeat(sizes.len()));
    for (n, (name, _)) in Design::ALL.iter().enumerate() {
        let _ = write!(text, "| {name} |");
        for (_, blocks) in sizes {
            let sum = sum(blocks.iter().map(|block| &block.tallies[n]));
            let _ = write!(text, " {} | {} |", sum.days_mixed, sum.days_refused);
        }
        text.push('\n');
    }
    text
}

fn rows(text: &mut String, block: &Block) {
    for ((name, _), tally) in Design::ALL.iter().zip(&block.tallies) {
        let _ = writeln!(
            text,
            "| {} | {name} | {} | {} | {} | {} | {} | {} of {} | {} of {} | {:.1} | {} | {} |",
            block.day.name(),
            tally.taken_up,
            tally.right,
            tally.wrong,
            tally.refused_while_served,
            tally.refused_otherwise,
            tally.days_mixed,
            tally.days,
            tally.days_refused,
            tally.days,
            tally.messages,
            tally.busiest,
            tally.records,
        );
    }
}

fn sum<'a>(tallies: impl Iterator<Item = &'a Tally>) -> Tally {
    let mut sum = Tally::default();
    tallies.for_each(|tally| sum.add(tally));
    sum
}

fn by_size(blocks: Vec<Block>) -> Vec<(usize, Vec<Block>)> {
    let mut sizes: Vec<(usize, Vec<Block>)> = Vec::new();
    for block in blocks {
        match sizes.last_mut() {
            Some((boxes, of_size)) if *boxes == block.boxes => of_size.push(block),
            _ => sizes.push((block.boxes, vec![block])),
        }
    }
    sizes
}

/// Plays the sizes that the options ask for, several days at once.
fn play_all(options: &Options) -> Vec<Block> {
    let wanted = |(boxes, _): &(usize, u64)| options.boxes.is_none_or(|only| only == *boxes);
    let mut plays: Vec<(usize, Day, u64)> = Vec::new();
    for (boxes, seeds) in SIZES.into_iter().filter(wanted) {
        for day in Day::ALL {
            let seeds = 0..options.seeds.unwrap_or(seeds);
            plays.extend(seeds.map(|n| (boxes, day, options.seed + n)));
        }
    }
    let next = AtomicUsize::new(0);
    let played = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((boxes, day, seed)) = plays.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let tallies = play_designs(*boxes, *day, *seed);
                    played.lock().push((*boxes, *day, *seed, tallies));
                }
            });
        }
    });
    let mut played = played.into_inner();
    played.sort_by_key(|(boxes, day, seed, _)| (*boxes, *day as usize, *seed));
    let mut blocks: Vec<Block> = Vec::new();
    for (boxes, day, _, tallies) in played {
        match blocks.last_mut() {
            Some(last) if last.boxes == boxes && last.day == day => {
                last.tallies.iter_mut().zip(&tallies).for_each(|(sum, tally)| sum.add(tally));
            }
            _ => blocks.push(Block { boxes, day, tallies }),
        }
    }
    blocks
}

fn play_designs(boxes: usize, day: Day, seed: u64) -> Vec<Tally> {
    let world = day.world(boxes, seed);
    Design::ALL.iter().map(|(_, design)| play::play(&world, *design, seed)).collect()
}
