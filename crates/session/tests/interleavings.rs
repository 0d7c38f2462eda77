//! Sessions under random interleavings of requests and faults.
//!
//! Seeds are fixed and the clock is paused. `FLINTSTALL_CASES=2000 cargo test -p session --test
//! interleavings` runs more cases.

mod world;

use proptest::{prelude::*, test_runner::RngSeed};
use world::{Step, Variant, World};

/// Number of interleavings in a regular run.
const CASES: u32 = 64;

fn step() -> impl Strategy<Value = Step> {
    let at = 0usize..3;
    prop_oneof![
        8 => (at.clone(), 1u64..40, prop::bool::weighted(0.2))
            .prop_map(|(at, worst, retry)| Step::Request { at, worst, retry }),
        4 => (1u64..1_500).prop_map(Step::Wait),
        1 => at.clone().prop_map(Step::Crash),
        1 => at.clone().prop_map(Step::Freeze),
        1 => at.clone().prop_map(Step::Wake),
        1 => at.clone().prop_map(Step::Cut),
        1 => at.clone().prop_map(Step::Mend),
        2 => (at.clone(), at.clone()).prop_map(|(victim, by)| Step::Seal { victim, by }),
        1 => (1u64..200).prop_map(Step::TopUp),
        1 => (1u64..200).prop_map(Step::Reduce),
        2 => at.prop_map(Step::Keep),
    ]
}

fn run(seed: u64, lossy: f64, variant: Variant, steps: &[Step]) -> Option<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    runtime.block_on(async {
        let mut world = World::new(seed, lossy, variant);
        for step in steps {
            world.step(step).await;
        }
        world.finish().await;
        world.fault().await
    })
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn cases() -> u32 {
    std::env::var("FLINTSTALL_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

proptest! {
    #![proptest_config(config(cases()))]

    #[test]
    fn never_overspent_and_billed_once(
        seed in any::<u64>(),
        lossy in prop_oneof![Just(0.0), Just(0.1), Just(0.4)],
        steps in prop::collection::vec(step(), 5..60),
    ) {
        prop_assert_eq!(run(seed, lossy, Variant::Whole, &steps), None);
    }
}

/// Regression test: a page of bills was written from a fold that had not been stored, so that bills of
/// another box were lost and its own were written twice.
#[test]
fn every_bill_is_on_one_page() {
    let ask = |nth: usize| Step::Request { at: nth % 3, worst: 2, retry: false };
    let mut steps = vec![Step::TopUp(10_000)];
    for nth in 0..450 {
        steps.push(ask(nth));
        if nth % 30 == 29 {
            steps.push(Step::Wait(700));
            steps.extend((0..3).map(Step::Keep));
        }
    }
    for seed in 0..6 {
        assert_eq!(run(seed, 0.0, Variant::Whole, &steps), None, "seed {seed}");
    }
}

/// Regression test: a box that had borrowed tokens kept a cached ledger that was too old to show them,
/// and could not fold any more.
#[test]
fn a_borrower_with_an_old_ledger_reads_it_again() {
    let ask = |at, worst| Step::Request { at, worst, retry: false };
    let steps = [
        ask(2, 11),
        Step::Freeze(2),
        Step::Freeze(0),
        Step::Reduce(133),
        ask(0, 8),
        ask(2, 3),
        ask(1, 1),
        ask(0, 5),
        ask(0, 5),
        Step::Wait(2),
        ask(0, 1),
        Step::Reduce(82),
        ask(1, 30),
        Step::Crash(2),
        Step::Seal { victim: 0, by: 1 },
        Step::Crash(0),
        Step::Crash(2),
        Step::Wait(451),
        ask(0, 1),
        ask(0, 31),
        ask(1, 1),
        ask(0, 1),
        ask(1, 6),
        Step::Cut(1),
        Step::Wait(193),
        Step::Reduce(127),
    ];
    assert_eq!(run(2_582_376_846_811_021_081, 0.4, Variant::Whole, &steps), None);
}

/// Regression test: a record was replicated to a box that survived, but the transfer that paid for it
/// only to boxes that died, so that the record could not be folded.
#[test]
fn a_record_is_carried_with_the_transfers_that_pay_for_it() {
    let ask = |at, worst| Step::Request { at, worst, retry: false };
    let steps = [
        ask(0, 1),
        ask(0, 3),
        ask(1, 1),
        Step::Wait(301),
        Step::Freeze(2),
        Step::Crash(0),
        Step::Wait(118),
        ask(0, 1),
        Step::Crash(2),
        Step::Crash(1),
    ];
    assert_eq!(run(12_440_283_306_550_285_785, 0.4, Variant::Whole, &steps), None);
}

/// Whether any interleaving detects a faulty variant.
fn is_caught(variant: Variant) -> bool {
    let mut runner = proptest::test_runner::TestRunner::new(config(400));
    let strategy = (any::<u64>(), prop::collection::vec(step(), 5..60));
    let result = runner.run(&strategy, |(seed, steps)| {
        prop_assert_eq!(run(seed, 0.1, variant, &steps), None);
        Ok(())
    });
    result.is_err()
}

#[test]
fn dispatching_without_a_record_is_caught() {
    assert!(is_caught(Variant::DispatchUnrecorded));
}

#[test]
fn freeing_the_offline_part_at_a_seal_is_caught() {
    assert!(is_caught(Variant::FreeOffline));
}

#[test]
fn taking_never_seen_for_not_run_is_caught() {
    assert!(is_caught(Variant::BelieveNeverSeen));
}
