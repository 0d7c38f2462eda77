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
    for blocks in by_size(&play_all(options)) {
        let broken = |n: usize| {
            let sum = sum(blocks, n);
            json!({"days": sum.days, "mixed": sum.days_mixed, "refused": sum.days_refused})
        };
        let designs = Design::ALL.iter().enumerate();
        let by_design = designs.map(|(n, (name, _))| (name.to_string(), broken(n)));
        let by_design: serde_json::Map<_, _> = by_design.collect();
        report.add(&format!("boxes_{}", blocks[0].boxes), by_design);
    }
    report
}

/// Plays all days and returns Markdown tables.
pub fn table(options: &Options) -> String {
    let blocks = play_all(options);
    let sizes = by_size(&blocks);
    let mut text = summary(&sizes);
    for blocks in sizes {
        let _ = write!(text, "\n## {} boxes\n\n{HEAD}", blocks[0].boxes);
        blocks.iter().for_each(|block| rows(&mut text, block));
    }
    text
}

/// Days on which a rule was broken, by design and size.
fn summary(sizes: &[&[Block]]) -> String {
    let mut text = String::from("| design |");
    for blocks in sizes {
        let (boxes, days) = (blocks[0].boxes, sum(blocks, 0).days);
        let _ = write!(text, " {boxes} boxes, {days} days: mixed | refused |");
    }
    let _ = write!(text, "\n|---|{}\n", "---|---|".repeat(sizes.len()));
    for (n, (name, _)) in Design::ALL.iter().enumerate() {
        let _ = write!(text, "| {name} |");
        for blocks in sizes {
            let sum = sum(blocks, n);
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

/// Sum of one design, by its number, over all kinds of days.
fn sum(blocks: &[Block], design: usize) -> Tally {
    let mut sum = Tally::default();
    blocks.iter().for_each(|block| sum.add(&block.tallies[design]));
    sum
}

/// Blocks of each size; they come one size after the other.
fn by_size(blocks: &[Block]) -> Vec<&[Block]> {
    blocks.chunk_by(|a, b| a.boxes == b.boxes).collect()
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
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let Some((boxes, day, seed)) = plays.get(n) else { break };
                    let tallies = play_designs(*boxes, *day, *seed);
                    played.lock().push((n, Block { boxes: *boxes, day: *day, tallies }));
                }
            });
        }
    });
    let mut played = played.into_inner();
    played.sort_by_key(|(n, _)| *n);
    let mut blocks: Vec<Block> = Vec::new();
    for (_, block) in played {
        match blocks.last_mut() {
            Some(last) if last.boxes == block.boxes && last.day == block.day => {
                last.tallies.iter_mut().zip(&block.tallies).for_each(|(sum, day)| sum.add(day));
            }
            _ => blocks.push(block),
        }
    }
    blocks
}

fn play_designs(boxes: usize, day: Day, seed: u64) -> Vec<Tally> {
    let world = day.world(boxes, seed);
    Design::ALL.iter().map(|(_, design)| play::play(&world, *design, seed)).collect()
}
