//! Sessions under random interleavings of requests and faults.
//!
//! Seeds are fixed and the clock is paused. `FLINTSTALL_CASES=2000 cargo test -p session --test
//! interleavings` runs more cases.

mod simulation;

use proptest::{prelude::*, test_runner::RngSeed};
use simulation::{Simulation, Step, Variant};

/// Number of interleavings in a regular run.
const CASES: u32 = 64;

fn step() -> impl Strategy<Value = Step> {
    let at = 0usize..3;
    prop_oneof![
        8 => (at.clone(), 1u64..40, prop::bool::weighted(0.2))
            .prop_map(|(at, max_tokens, retry)| Step::Request { at, max_tokens, retry }),
        4 => (1u64..1_500).prop_map(Step::Wait),
        1 => at.clone().prop_map(Step::Crash),
        1 => at.clone().prop_map(Step::Freeze),
        1 => at.clone().prop_map(Step::Resume),
        1 => at.clone().prop_map(Step::Disconnect),
        1 => at.clone().prop_map(Step::Reconnect),
        2 => (at.clone(), at.clone()).prop_map(|(victim, by)| Step::Seal { victim, by }),
        1 => (1u64..200).prop_map(Step::TopUp),
        1 => (1u64..200).prop_map(Step::Reduce),
        2 => at.prop_map(Step::Maintain),
    ]
}

fn run(seed: u64, loss_rate: f64, variant: Variant, steps: &[Step]) -> Option<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime can be built");
    runtime.block_on(async {
        let mut simulation = Simulation::new(seed, loss_rate, variant);
        for step in steps {
            simulation.step(step).await;
        }
        simulation.finish().await;
        simulation.violation().await
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
    fn budget_is_never_overspent_and_requests_are_billed_once(
        seed in any::<u64>(),
        loss_rate in prop_oneof![Just(0.0), Just(0.1), Just(0.4)],
        steps in prop::collection::vec(step(), 5..60),
    ) {
        prop_assert_eq!(run(seed, loss_rate, Variant::Correct, &steps), None);
    }
}

/// Regression test: a page of bills was written from a fold that had not been stored, so that bills of
/// another box were lost and its own were written twice.
#[test]
fn each_bill_is_on_exactly_one_page() {
    let request = |index: usize| Step::Request { at: index % 3, max_tokens: 2, retry: false };
    let mut steps = vec![Step::TopUp(10_000)];
    for index in 0..450 {
        steps.push(request(index));
        if index % 30 == 29 {
            steps.push(Step::Wait(700));
            steps.extend((0..3).map(Step::Maintain));
        }
    }
    for seed in 0..6 {
        assert_eq!(run(seed, 0.0, Variant::Correct, &steps), None, "seed {seed}");
    }
}

/// Regression test: a box that had borrowed tokens kept a cached ledger that was too old to show them,
/// and could not fold any more.
#[test]
fn borrower_rereads_old_ledger() {
    let request = |at, max_tokens| Step::Request { at, max_tokens, retry: false };
    let steps = [
        request(2, 11),
        Step::Freeze(2),
        Step::Freeze(0),
        Step::Reduce(133),
        request(0, 8),
        request(2, 3),
        request(1, 1),
        request(0, 5),
        request(0, 5),
        Step::Wait(2),
        request(0, 1),
        Step::Reduce(82),
        request(1, 30),
        Step::Crash(2),
        Step::Seal { victim: 0, by: 1 },
        Step::Crash(0),
        Step::Crash(2),
        Step::Wait(451),
        request(0, 1),
        request(0, 31),
        request(1, 1),
        request(0, 1),
        request(1, 6),
        Step::Disconnect(1),
        Step::Wait(193),
        Step::Reduce(127),
    ];
    assert_eq!(run(2_582_376_846_811_021_081, 0.4, Variant::Correct, &steps), None);
}

/// Regression test: a record was replicated to a box that survived, but the transfer that paid for it
/// only to boxes that died, so that the record could not be folded.
#[test]
fn record_is_replicated_with_its_transfers() {
    let request = |at, max_tokens| Step::Request { at, max_tokens, retry: false };
    let steps = [
        request(0, 1),
        request(0, 3),
        request(1, 1),
        Step::Wait(301),
        Step::Freeze(2),
        Step::Crash(0),
        Step::Wait(118),
        request(0, 1),
        Step::Crash(2),
        Step::Crash(1),
    ];
    assert_eq!(run(12_440_283_306_550_285_785, 0.4, Variant::Correct, &steps), None);
}

/// Whether any interleaving detects a faulty variant.
fn is_detected(variant: Variant) -> bool {
    let mut runner = proptest::test_runner::TestRunner::new(config(400));
    let strategy = (any::<u64>(), prop::collection::vec(step(), 5..60));
    let result = runner.run(&strategy, |(seed, steps)| {
        prop_assert_eq!(run(seed, 0.1, variant, &steps), None);
        Ok(())
    });
    result.is_err()
}

#[test]
fn dispatch_without_record_is_detected() {
    assert!(is_detected(Variant::DispatchUnrecorded));
}

#[test]
fn offline_part_freed_at_seal_is_detected() {
    assert!(is_detected(Variant::FreeOffline));
}

#[test]
fn unseen_request_assumed_not_run_is_detected() {
    assert!(is_detected(Variant::AssumeNotRun));
}
