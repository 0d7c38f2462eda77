//! The choice among leaving, failing, loaded and caching endpoints.

use std::sync::Arc;

use balance::{Failure, Filter, Pool, Prefix, Prompt, Report, Weights};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn pool(count: usize) -> Pool {
    let mut pool = Pool::new("z1".into(), Weights::default());
    pool.update((0..count).map(|i| (Arc::from(format!("e{i}")), Arc::from("z1"))), 0);
    pool
}

fn random() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

#[test]
fn a_cached_prompt_returns_to_its_endpoint_unless_overloaded() {
    let mut pool = pool(8);
    let text = "the whole chair calendar ".repeat(200);
    let prefix = Prefix::of([text.as_str()]);
    pool.start(&"e5".into(), &prefix, 10);
    let choice = pool.choose(&prefix, &[], 20, &mut random()).unwrap();
    assert_eq!((&*choice.name, choice.cached), ("e5", prefix.size()));
    pool.receive_report("e5", Report { at: 20, running: 32, waiting: 30, slots: 32 });
    let choice = pool.choose(&prefix, &[], 30, &mut random()).unwrap();
    assert_ne!(&*choice.name, "e5");
}

#[test]
fn a_failing_endpoint_is_ejected_and_probed_once() {
    let mut pool = pool(4);
    let none = Prefix::default();
    for now in 0..3 {
        pool.start(&"e1".into(), &none, now);
        pool.end("e1", Some(Failure::Silent), now);
    }
    let mut random = random();
    let picks = |pool: &Pool, now, random: &mut ChaCha8Rng| {
        (0..50).filter(|_| &*pool.choose(&none, &[], now, random).unwrap().name == "e1").count()
    };
    assert_eq!(picks(&pool, 100, &mut random), 0);
    assert_eq!(picks(&pool, 1_100, &mut random), 50, "its probe is due");
    pool.start(&"e1".into(), &none, 1_100);
    assert_eq!(picks(&pool, 1_100, &mut random), 0, "one probe at a time");
    pool.end("e1", None, 1_200);
    assert!(picks(&pool, 1_300, &mut random) > 0);
}

#[test]
fn no_endpoint_is_ejected_when_most_fail() {
    let mut pool = pool(2);
    for name in ["e0", "e1"] {
        for now in 0..3 {
            pool.start(&name.into(), &Prefix::default(), now);
            pool.end(name, Some(Failure::Silent), now);
        }
    }
    assert!(pool.choose(&Prefix::default(), &[], 10, &mut random()).is_some());
}

proptest! {
    #[test]
    fn leaving_and_tried_endpoints_are_never_chosen(
        leaving in prop::collection::vec(any::<bool>(), 1..9),
        tried in prop::collection::vec(0usize..9, 0..4),
        seed in any::<u64>(),
    ) {
        let mut pool = pool(leaving.len());
        for (index, leaves) in leaving.iter().enumerate() {
            pool.get_mut(&format!("e{index}")).unwrap().leaving = *leaves;
        }
        let tried: Vec<Arc<str>> = tried.iter().map(|i| format!("e{i}").into()).collect();
        let open = |i: &usize| !leaving[*i] && !tried.contains(&format!("e{i}").into());
        let any_open = (0..leaving.len()).any(|i| open(&i));
        let choice = pool.choose(
            &Prefix::default(), &tried, 10, &mut ChaCha8Rng::seed_from_u64(seed),
        );
        prop_assert_eq!(choice.is_some(), any_open);
        if let Some(choice) = choice {
            let index: usize = choice.name[1..].parse().unwrap();
            prop_assert!(open(&index));
        }
    }

    #[test]
    fn own_requests_correct_a_late_report(before in 0u32..20, after in 0u32..20) {
        let mut pool = pool(1);
        let name: Arc<str> = "e0".into();
        for _ in 0..before {
            pool.start(&name, &Prefix::default(), 100);
        }
        for _ in 0..after {
            pool.start(&name, &Prefix::default(), 900);
        }
        pool.receive_report("e0", Report { at: 500, running: before + 3, waiting: 0, slots: 32 });
        let load = pool.get("e0").unwrap().load(1_000);
        prop_assert_eq!(load, f64::from(before + 3 + after));
    }
}

#[test]
fn an_engine_with_a_long_prefill_is_avoided() {
    let weights = Weights {
        size_per_request: 2_000.0,
        in_flight: 0.05,
        random_candidates: 9,
        ..Weights::default()
    };
    let mut pool = Pool::new("z1".into(), weights);
    pool.update(["e1", "e2"].map(|name| (name.into(), "z1".into())), 0);
    let long = Prefix::of_parts([(1, 30_000)]);
    let short = Prefix::of_parts([(2, 500)]);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    pool.start(&"e1".into(), &long, 0);
    let missing = pool.start_prefill("e1", &long, 0);
    // Many answers in flight cost less than one long prompt.
    for _ in 0..8 {
        pool.start(&"e2".into(), &Prefix::default(), 0);
    }
    let mut choose =
        |pool: &Pool| pool.choose(&short, &[], 0, &mut random).expect("an endpoint").name;
    assert!((0..20).all(|_| &*choose(&pool) == "e2"), "e1 has a long prompt to prefill");
    pool.finish_prefill("e1", missing);
    assert!(
        (0..20).all(|_| &*choose(&pool) == "e1"),
        "the prefill is done, and fewer requests are in flight there"
    );
    // Another box's request waits there: it counts as a typical prompt, decaying with the report's
    // age.
    pool.receive_report("e1", Report { at: 0, running: 1, waiting: 1, slots: 64 });
    assert!((0..20).all(|_| &*choose(&pool) == "e2"), "e1 has prompts of other boxes to prefill");
}

#[test]
fn a_shared_part_has_the_same_owner_on_every_box() {
    let weights = Weights {
        size_per_request: 2_000.0,
        in_flight: 0.05,
        prefix_owners: 1,
        ..Weights::default()
    };
    let names: Vec<String> = (0..9).map(|n| format!("e{n}")).collect();
    let pools = [1, 2].map(|seed| {
        let mut pool = Pool::new("z1".into(), weights);
        pool.update(names.iter().map(|name| ((&**name).into(), "z1".into())), 0);
        (pool, ChaCha8Rng::seed_from_u64(seed))
    });
    let mut prefix_owners = std::collections::HashSet::new();
    let [(one, mut first), (two, mut second)] = pools;
    for part in 0..40 {
        let of = |own| Prefix::of_parts([(7, 2_000), (100 + part, 4_000), (own, 900)]);
        let here = one.choose(&of(1), &[], 0, &mut first).expect("an endpoint").name;
        let there = two.choose(&of(2), &[], 0, &mut second).expect("an endpoint").name;
        assert_eq!(here, there, "part {part}");
        prefix_owners.insert(here);
    }
    assert!(prefix_owners.len() >= 7, "the shared parts are spread: {prefix_owners:?}");
}

/// A pool of two idle engines.
fn engines() -> Pool {
    let weights = Weights {
        size_per_request: 2_000.0,
        in_flight: 0.05,
        prefill: 2.0,
        random_candidates: 9,
        ..Weights::default()
    };
    let mut pool = Pool::new("z1".into(), weights);
    pool.update(["e1", "e2"].map(|name| (name.into(), "z1".into())), 0);
    pool
}

#[test]
fn a_published_prompt_counts_until_it_is_prefilled() {
    let mut pool = engines();
    let short = Prefix::of_parts([(2, 500)]);
    let by: Arc<str> = "box-2".into();
    let prompt =
        |number, size| Prompt { endpoint: "e1".into(), number, size, blocks: Arc::default() };
    let mut random = random();
    let mut chosen = |pool: &Pool, now| {
        let names =
            (0..40).map(|_| pool.choose(&short, &[], now, &mut random).expect("an endpoint").name);
        names.collect::<std::collections::BTreeSet<_>>().len()
    };
    assert_eq!(chosen(&pool, 10), 2, "both are equal");
    let e1 = |pool: &mut Pool, prompt, now| {
        pool.get_mut("e1").expect("in the pool").receive_prompt(&by, &prompt, now);
    };
    e1(&mut pool, prompt(1, 30_000), 10);
    assert_eq!(chosen(&pool, 10), 1, "e1 has a long prompt of another box to prefill");
    e1(&mut pool, prompt(2, 9_000), 20);
    e1(&mut pool, prompt(1, 0), 30);
    assert_eq!(chosen(&pool, 30), 1, "one of two is prefilled");
    e1(&mut pool, prompt(2, 0), 40);
    assert_eq!(chosen(&pool, 40), 2, "both are prefilled");
    e1(&mut pool, prompt(3, 30_000), 50);
    assert_eq!(chosen(&pool, 2_049), 1);
    assert_eq!(chosen(&pool, 2_051), 2, "the end of the prefill was never reported");
}

#[test]
fn a_shared_part_is_prefilled_again_only_to_avoid_a_long_queue() {
    let mut pool = engines();
    let shared = |own| Prefix::of_parts([(7, 6_000), (own, 900)]);
    pool.start(&"e1".into(), &shared(1), 0);
    let mut random = random();
    let mut chosen =
        |pool: &Pool| pool.choose(&shared(2), &[], 0, &mut random).expect("an endpoint").name;
    assert_eq!(&*chosen(&pool), "e1", "it caches the shared part");
    let waits = |pool: &mut Pool, size| {
        let prompt = Prompt { endpoint: "e1".into(), number: 1, size, blocks: Arc::default() };
        pool.get_mut("e1").expect("in the pool").receive_prompt(&"box-2".into(), &prompt, 0);
    };
    waits(&mut pool, 9_000);
    assert_eq!(&*chosen(&pool), "e1", "waiting is cheaper than another prefill of 6,000");
    waits(&mut pool, 15_000);
    assert_eq!(&*chosen(&pool), "e2", "too much is queued there");
}

/// A pool of engines, some of which take `slow_ms` instead of 20 ms between events.
fn pool_with_slow(slow: &[&str], slow_ms: f64) -> Pool {
    let weights = Weights {
        prefix_owners: 1,
        large_prefix: 2_000,
        random_candidates: 4,
        ..Weights::default()
    };
    let mut pool = Pool::new("z1".into(), weights);
    let names: Vec<Arc<str>> = (0..9).map(|i| format!("e{i}").into()).collect();
    pool.update(names.iter().map(|name| (name.clone(), Arc::from("z1"))), 0);
    for _ in 0..100 {
        for name in &names {
            pool.record_gap(name, if slow.contains(&&**name) { slow_ms } else { 20.0 });
            // Events delivered together are ignored.
            pool.record_gap(name, 0.1);
        }
    }
    pool
}

#[test]
fn large_shared_parts_are_owned_by_engines_that_are_not_slow() {
    let cases = [(6_000, 27.0, 0), (6_000, 22.0, 1), (200, 27.0, 1)];
    for (shared, slow_ms, expected) in cases {
        let pool = pool_with_slow(&["e1", "e4", "e7"], slow_ms);
        let at_slow = (0..60).filter(|id| {
            let prefix = Prefix::of_parts([(*id, shared), (1_000 + id, 100)]);
            let choice = pool.choose(&prefix, &[], 0, &mut random()).expect("an endpoint");
            choice.cached > 0 && ["e1", "e4", "e7"].contains(&&*choice.name)
        });
        let at_slow = at_slow.count().min(1);
        assert_eq!(at_slow, expected, "{shared} shared, {slow_ms} ms");
    }
}

#[test]
fn a_prompt_follows_the_shared_part_sent_by_another_box() {
    let mut pool = pool_with_slow(&[], 20.0);
    let prefix = Prefix::of_parts([(1, 6_000), (2, 100)]);
    let owner = pool.choose(&prefix, &[], 0, &mut random()).expect("an endpoint");
    assert_eq!(owner.cached, 6_000, "nothing is known: its owner counts as holding it");
    let other: Arc<str> = if &*owner.name == "e0" { "e1".into() } else { "e0".into() };
    let mut prompt =
        Prompt { endpoint: other.clone(), number: 1, size: 6_100, blocks: prefix.hashes() };
    pool.receive_prompt(&"box-2".into(), &prompt, 0);
    (prompt.size, prompt.blocks) = (0, Arc::default());
    pool.receive_prompt(&"box-2".into(), &prompt, 200);
    let again = Prefix::of_parts([(1, 6_000), (3, 100)]);
    let choice = pool.choose(&again, &[], 300, &mut random()).expect("an endpoint");
    assert_eq!((choice.name, choice.cached), (other, 6_000));
}

/// Guards against a stream that goes on at another software version, by choice or as a last resort.
#[test]
fn a_software_version_bounds_the_choice() {
    let mut pool = pool(4);
    for (name, version) in [("e0", "v1"), ("e1", "v2"), ("e2", "v1")] {
        pool.set_version(name, version.into());
    }
    let mut random = random();
    let mut chosen = |pool: &Pool, version: &str, tried: &[Arc<str>]| {
        let filter = Filter { version: Some(version), ..Filter::ALL };
        let choose = |_| pool.choose_from(filter, &Prefix::default(), tried, 10, &mut random);
        let mut names: Vec<String> =
            (0..100).filter_map(choose).map(|choice| choice.name.to_string()).collect();
        names.sort();
        names.dedup();
        names
    };
    assert_eq!(chosen(&pool, "v1", &[]), ["e0", "e2"]);
    assert_eq!(chosen(&pool, "v1", &["e0".into()]), ["e2"]);
    assert_eq!(chosen(&pool, "v2", &[]), ["e1"]);
    assert!(chosen(&pool, "v2", &["e1".into()]).is_empty());
    assert!(chosen(&pool, "v3", &[]).is_empty());
    assert!(pool.has_alternative("e0", Some("v1"), 10) && pool.has_alternative("e1", None, 10));
    assert!(!pool.has_alternative("e1", Some("v2"), 10));
    pool.set_leaving(|endpoint| &*endpoint.name == "e1");
    assert!(chosen(&pool, "v2", &[]).is_empty(), "its last endpoint leaves");
    assert!(pool.serves_version("v1", 10) && !pool.serves_version("v2", 10));
}
