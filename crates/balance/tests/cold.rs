//! The boxes of a fleet share the rate of cold endpoints.
//!
//! Simulates a fleet in which a quarter of the engines comes back at once and stays cold for 3 s,
//! at normal and at double load. The bound for a cold engine is one and a half times its rate plus
//! five requests within any second.

use std::{collections::BTreeMap, sync::Arc};

use balance::{Allowance, Failure, Fleet, Pool, Prefix, Weights};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ALLOWANCE: Allowance = Allowance { per_s: 7.7 * 1.5 + 5.0, duration_ms: 3_000 };
/// Number of requests within a second that a cold engine must not reach.
const TOO_MANY: usize = 17;

fn weights() -> Weights {
    Weights {
        random_candidates: 4,
        prefix_owners: 2,
        in_flight: 0.05,
        size_per_request: 2_000.0,
        ..Weights::default()
    }
}

fn name(n: usize) -> Arc<str> {
    format!("box-{n}").into()
}

fn fleet(boxes: usize, me: usize) -> Fleet {
    let others = (0..boxes).filter(|n| *n != me).map(name).collect();
    Fleet { me: name(me), others }
}

/// The pools of all boxes of a fleet for the same engines, in four zones.
fn pools(boxes: usize, engines: usize) -> Vec<Pool> {
    let pool = |me: usize| {
        let mut pool = Pool::new(format!("z{}", me % 4).into(), weights());
        let list = (0..engines).map(|n| (format!("i-{n}").into(), format!("z{}", n % 4).into()));
        pool.update(list, 0);
        pool.set_allowance(Some(ALLOWANCE), 0);
        pool.set_fleet(&fleet(boxes, me), 0);
        pool
    };
    (0..boxes).map(pool).collect()
}

/// Maximum number of arrivals at one engine within any second.
fn most_in_a_second(arrived: &BTreeMap<Arc<str>, Vec<u64>>) -> usize {
    let within = |times: &Vec<u64>, from: u64| {
        times.iter().filter(|at| (from..from + 1_000).contains(*at)).count()
    };
    let most = |times: &Vec<u64>| times.iter().map(|at| within(times, *at)).max();
    arrived.values().filter_map(most).max().unwrap_or_default()
}

/// Sends `per_s` requests per second from random boxes for `ms` milliseconds. Returns the arrivals
/// at cold engines, and how many requests found no engine.
fn run(
    pools: &mut [Pool],
    per_s: u64,
    ms: u64,
    cold: impl Fn(&str) -> bool,
) -> (BTreeMap<Arc<str>, Vec<u64>>, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (mut arrived, mut refused) = (BTreeMap::<Arc<str>, Vec<u64>>::new(), 0);
    let mut in_flight: Vec<(u64, usize, Arc<str>)> = Vec::new();
    for now in 1_000..1_000 + ms {
        in_flight.retain(|(until, at, name)| {
            if *until <= now {
                pools[*at].end(name, None, now);
            }
            *until > now
        });
        let due = now * per_s / 1_000 - (now - 1) * per_s / 1_000;
        for _ in 0..due {
            let at = random.random_range(0..pools.len());
            let prompt = random.random_range(0..400u64);
            let prefix = Prefix::of_parts([(prompt % 20, 6_000), (prompt, 2_000)]);
            let Some(choice) = pools[at].choose(&prefix, &[], now, &mut random) else {
                refused += 1;
                continue;
            };
            pools[at].start(&choice.name, &prefix, now);
            in_flight.push((now + 300, at, choice.name.clone()));
            // Usually up to a millisecond, longer if the link is busy.
            let arrives = now + random.random_range(0..30);
            if cold(&choice.name) {
                arrived.entry(choice.name).or_default().push(arrives);
            }
        }
    }
    (arrived, refused)
}

#[test]
fn engines_that_restart_together_stay_below_their_rate() {
    for (boxes, per_s) in [(75, 565), (75, 1_400), (16, 113), (7, 60), (295, 2_300)] {
        let engines = boxes * 2;
        let mut pools = pools(boxes, engines);
        let is_cold = |name: &str| name[2..].parse::<usize>().expect("a number") % 4 == 1;
        for pool in &mut pools {
            for n in (0..engines).filter(|n| n % 4 == 1) {
                pool.mark_cold(&format!("i-{n}"), Some(3_000), 1_000);
            }
        }
        let (arrived, refused) = run(&mut pools, per_s, 2_900, is_cold);
        let most = most_in_a_second(&arrived);
        assert!(most < TOO_MANY, "{boxes} boxes: {most} within a second");
        assert_eq!(refused, 0, "{boxes} boxes: the warm engines take the other requests");
    }
}

#[test]
fn engines_that_restart_together_exceed_their_rate_without_a_bound() {
    let mut pools = pools(75, 140);
    for pool in &mut pools {
        pool.set_allowance(None, 0);
        // Other engines are busy, so that these win by load.
        for n in 0..140 {
            let name: Arc<str> = format!("i-{n}").into();
            if n % 4 != 1 {
                let busy = Prefix::of_parts([(9_999, 20_000)]);
                pool.start(&name, &busy, 0);
                pool.start_prefill(&name, &busy, 0);
            }
        }
    }
    let is_cold = |name: &str| name[2..].parse::<usize>().expect("a number") % 4 == 1;
    let (arrived, _) = run(&mut pools, 1_400, 2_900, is_cold);
    let most = most_in_a_second(&arrived);
    assert!(most >= TOO_MANY, "the load is too low for this test: {most} within a second");
}

#[test]
fn excess_requests_are_refused_if_all_engines_are_cold() {
    let mut pools = pools(75, 8);
    for pool in &mut pools {
        (0..8).for_each(|n| pool.mark_cold(&format!("i-{n}"), Some(3_000), 1_000));
    }
    let (arrived, refused) = run(&mut pools, 565, 2_900, |_| true);
    assert!(most_in_a_second(&arrived) < TOO_MANY);
    let served: usize = arrived.values().map(Vec::len).sum();
    assert!(served > 8 * 12 && refused > 0, "{served} served, {refused} refused");
    let waits = pools.iter().map(|pool| pool.next_available_ms(None, 3_000).expect("an endpoint"));
    assert!(waits.max().is_some_and(|ms| ms <= 1_100), "no longer than they stay cold");
}

#[test]
fn an_endpoint_that_was_silent_is_treated_as_cold() {
    let mut pools = pools(75, 140);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let silent: Arc<str> = "i-5".into();
    for pool in &mut pools {
        pool.start(&silent, &Prefix::default(), 900);
        pool.end(&silent, Some(Failure::Silent), 950);
    }
    let all_others: Vec<Arc<str>> =
        (0..140).map(|n| format!("i-{n}").into()).filter(|name| *name != silent).collect();
    let mut chooses =
        |pool: &Pool, now| pool.choose(&Prefix::default(), &all_others, now, &mut random).is_some();
    let soon = pools.iter().filter(|pool| chooses(pool, 1_000)).count();
    let later = pools.iter().filter(|pool| chooses(pool, 3_951)).count();
    assert!((1..=14).contains(&soon) && later == 75, "{soon} boxes at once, {later} later");
}

#[test]
fn silence_of_all_endpoints_is_not_held_against_them() {
    let mut pool = pools(75, 8).remove(0);
    for n in 0..8 {
        let name: Arc<str> = format!("i-{n}").into();
        pool.start(&name, &Prefix::default(), 900);
        pool.end(&name, Some(Failure::Silent), 950);
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    assert!(pool.choose(&Prefix::default(), &[], 1_000, &mut random).is_some());
}

#[test]
fn a_box_without_a_known_fleet_sends_nothing_to_cold_endpoints() {
    let mut pool = Pool::new("z0".into(), weights());
    pool.update([("i-0".into(), "z0".into())], 0);
    pool.set_allowance(Some(ALLOWANCE), 0);
    pool.mark_cold("i-0", Some(500), 100);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    assert!(pool.choose(&Prefix::default(), &[], 200, &mut random).is_none());
    assert!(pool.choose(&Prefix::default(), &[], 600, &mut random).is_some(), "it is warm");
}

proptest! {
    /// For any fleet size and rate: all boxes together stay below the rate on average, and no more
    /// boxes send than the rate allows.
    #[test]
    fn a_fleet_stays_below_the_rate(boxes in 1..300usize, per_s in 0.2..60.0f64) {
        let allowance = Allowance { per_s, duration_ms: 3_000 };
        let intervals: Vec<u64> =
            (0..boxes).filter_map(|me| allowance.interval_ms(&fleet(boxes, me), "i-1")).collect();
        let sent: f64 = intervals.iter().map(|ms| 1_000.0 / *ms as f64).sum();
        prop_assert!(!intervals.is_empty() && sent <= per_s, "{sent} of {per_s} a second");
        prop_assert!(intervals.len() as f64 <= per_s.max(1.0), "{} senders", intervals.len());
        prop_assert!(sent > per_s.min(1.0) * 0.4, "{sent} of {per_s} a second");
    }
}

#[test]
fn a_cold_mark_takes_effect_once_the_rate_is_configured() {
    let mut pool = Pool::new("z0".into(), weights());
    pool.update([("i-0".into(), "z0".into())], 0);
    pool.mark_cold("i-0", Some(3_000), 100);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    assert!(pool.choose(&Prefix::default(), &[], 200, &mut random).is_some(), "no rate is known");
    pool.set_allowance(Some(ALLOWANCE), 300);
    assert!(
        pool.choose(&Prefix::default(), &[], 300, &mut random).is_none(),
        "the other boxes are not known"
    );
    pool.set_fleet(&fleet(2, 0), 400);
    let chosen = pool.choose(&Prefix::default(), &[], 400, &mut random).expect("its share");
    pool.start(&chosen.name, &Prefix::default(), 400);
    assert!(
        pool.choose(&Prefix::default(), &[], 500, &mut random).is_none(),
        "one was sent just now"
    );
    assert!(
        pool.choose(&Prefix::default(), &[], 600, &mut random).is_some(),
        "the interval is over"
    );
}
