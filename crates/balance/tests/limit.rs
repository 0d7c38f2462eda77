//! Rate limits that endpoints signal: whichever order answers come in, and which endpoints get
//! requests then.

use std::sync::Arc;

use balance::{
    Candidates, Endpoint, Filter, Fleet, Limit, LimitSignal, Permit, Permits, Pool, Prefix, Weights,
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

fn limit_signal(per_s: Option<f64>, sent_at: u64, answered_at: u64) -> LimitSignal {
    LimitSignal { limit: per_s.map(Limit::per_s), sent_at, answered_at }
}

fn endpoint() -> Endpoint {
    Endpoint::new("e".into(), "z".into(), 0, true)
}

#[test]
fn an_older_signal_never_replaces_a_later_one() {
    let (none, one, two) = (None, Some(1.0), Some(2.0));
    // Signals in order of arrival, and the limit that is in effect after them.
    let cases: [(&str, Vec<LimitSignal>, Option<f64>); 10] = [
        ("no limit", vec![limit_signal(none, 0, 9)], none),
        ("a limit", vec![limit_signal(none, 0, 9), limit_signal(two, 10, 20)], two),
        (
            "a limit, then a late answer to a request sent before it",
            vec![limit_signal(two, 10, 20), limit_signal(none, 5, 30)],
            two,
        ),
        (
            "a limit, then an answer to a request sent before the limit was received",
            vec![limit_signal(two, 10, 20), limit_signal(none, 15, 30)],
            two,
        ),
        ("a limit, then none", vec![limit_signal(two, 10, 20), limit_signal(none, 20, 30)], none),
        ("a higher limit", vec![limit_signal(one, 10, 20), limit_signal(two, 20, 30)], two),
        (
            "a higher limit, then the older one late",
            vec![limit_signal(one, 0, 10), limit_signal(two, 20, 30), limit_signal(one, 15, 40)],
            two,
        ),
        (
            "a lower limit while an answer is in flight",
            vec![limit_signal(two, 10, 20), limit_signal(one, 15, 25)],
            one,
        ),
        (
            "no limit any more, then the older one late",
            vec![limit_signal(one, 0, 10), limit_signal(none, 20, 30), limit_signal(one, 5, 40)],
            none,
        ),
        (
            "a limit, none, and a limit again",
            vec![limit_signal(one, 0, 10), limit_signal(none, 20, 30), limit_signal(two, 31, 40)],
            two,
        ),
    ];
    for (what, signals, limit) in cases {
        let mut endpoint = endpoint();
        for signal in signals {
            endpoint.update_limit(signal);
        }
        assert_eq!(endpoint.limit().map(Limit::as_per_s), limit, "{what}");
    }
}

proptest! {
    /// In whatever order signals arrive, the answer to a request sent after all of them decides.
    #[test]
    fn the_answer_to_the_last_request_decides(
        signals in prop::collection::vec((prop::option::of(0_u32..5), 0_u64..100, 0_u64..100), 0..20),
        last in prop::option::of(0_u32..5),
    ) {
        let mut endpoint = endpoint();
        for (per_s, a, b) in signals {
            endpoint.update_limit(limit_signal(per_s.map(f64::from), a.min(b), a.max(b)));
        }
        endpoint.update_limit(limit_signal(last.map(f64::from), 100, 110));
        prop_assert_eq!(endpoint.limit().map(Limit::as_per_s), last.map(f64::from));
    }

    /// Whenever permits are requested, and even if the limit changes, the permits within 4 s stay
    /// below one and a half times the limit plus five. That includes a new issuer that has saved no
    /// permits.
    #[test]
    fn permits_stay_below_the_bound_in_any_four_seconds(
        per_s in 0_u32..8_000,
        pauses in prop::collection::vec(1_u64..1_500, 1..300),
        changes_at in 0_usize..300,
    ) {
        let per_s = f64::from(per_s) / 1_000.0;
        let (mut permits, mut now, mut granted) = (Permits::open(0), 0, Vec::new());
        for (n, pause) in pauses.into_iter().enumerate() {
            now += pause;
            if n == changes_at {
                permits = Permits::open(now);
            }
            if permits.take(per_s, now) == Permit::Granted {
                granted.push(now);
            }
        }
        for (first, from) in granted.iter().enumerate() {
            let within = granted[first..].iter().filter(|at| **at < from + 4_000).count();
            prop_assert!(within as f64 <= per_s * 4.0 * 1.5 + 5.0, "{within} in 4 s at {per_s}");
        }
    }

    /// Each one that gets no permit is given a later retry time than the one before, up to the
    /// longest.
    #[test]
    fn retry_times_increase(per_s in 500_u32..20_000, askers in 1_usize..20) {
        let per_s = f64::from(per_s) / 1_000.0;
        let mut permits = Permits::open(0);
        let mut last = 0;
        for _ in 0..askers {
            let Permit::After { ms } = permits.take(per_s, 1) else { panic!("no permits are saved") };
            prop_assert!(ms > last || ms == 5_000, "{ms} after {last}");
            last = ms;
        }
    }
}

#[test]
fn saved_permits_are_bounded() {
    for (per_s, most) in [(0.2, 1), (1.5, 1), (4.0, 3), (20.0, 11)] {
        let mut permits = Permits::open(0);
        let at_once = (0..100).filter(|_| permits.take(per_s, 60_000) == Permit::Granted).count();
        assert_eq!(at_once, most, "at {per_s} a second");
    }
}

#[test]
fn an_endpoint_with_a_zero_limit_is_probed_every_five_seconds() {
    let mut permits = Permits::open(0);
    let granted = (0..20_000).filter(|now| permits.take(0.0, *now) == Permit::Granted);
    assert_eq!(granted.collect::<Vec<_>>(), [5_000, 10_000, 15_000]);
}

/// A pool of endpoints `e0` to `e2` in a fleet of three boxes, with these limits.
fn pool(limits: [Option<f64>; 3]) -> Pool {
    let mut pool = Pool::new("z".into(), Weights::default());
    let names: Vec<Arc<str>> = (0..3).map(|n| format!("e{n}").into()).collect();
    pool.update(names.iter().map(|name| (name.clone(), Arc::from("z"))), 0);
    pool.set_fleet(&Fleet { me: "a".into(), others: vec!["b".into(), "c".into()] }, 0);
    for (name, limit) in names.iter().zip(limits) {
        pool.get_mut(name).expect("in the pool").update_limit(limit_signal(limit, 0, 0));
    }
    pool
}

/// Names of the endpoints that are chosen at `now`.
fn chosen(pool: &Pool, candidates: Candidates, now: u64) -> Vec<Arc<str>> {
    let mut random = SmallRng::seed_from_u64(7);
    let filter = Filter { candidates, ..Filter::ALL };
    let choose = |_| pool.choose_from(filter, &Prefix::default(), &[], now, &mut random);
    let mut names: Vec<Arc<str>> = (0..200).filter_map(choose).map(|choice| choice.name).collect();
    names.sort();
    names.dedup();
    names
}

#[test]
fn an_endpoint_without_a_permit_is_skipped_until_one_may_be_available() {
    let mut pool = pool([Some(1.0), None, Some(2.0)]);
    assert_eq!(chosen(&pool, Candidates::All, 10).len(), 3, "a permit may be available");
    assert_eq!(chosen(&pool, Candidates::Unlimited, 10), ["e1".into()]);
    pool.get_mut("e0").expect("in the pool").defer_permits(500, 10);
    assert_eq!(chosen(&pool, Candidates::All, 509), ["e1".into(), "e2".into()]);
    assert_eq!(chosen(&pool, Candidates::All, 510).len(), 3);
    // A higher limit, or none at all, ends the wait.
    for (limit, sent_at) in [(Some(3.0), 700), (None, 800)] {
        pool.get_mut("e2").expect("in the pool").defer_permits(5_000, sent_at);
        pool.get_mut("e2").expect("in the pool").update_limit(limit_signal(
            limit,
            sent_at,
            sent_at + 10,
        ));
        assert_eq!(chosen(&pool, Candidates::All, sent_at + 11).len(), 3, "{limit:?}");
    }
}

#[test]
fn retries_are_spaced_only_if_all_endpoints_name_limits() {
    let retries = |limits: [Option<f64>; 3]| {
        let mut pool = pool(limits);
        for name in ["e0", "e1", "e2"] {
            pool.get_mut(name).expect("in the pool").defer_permits(400, 60_000);
        }
        let mut next_retry = || pool.retry_after_ms(None, 0, 60_000).expect("an endpoint");
        (0..4).map(|_| next_retry()).collect::<Vec<_>>()
    };
    // Three boxes share 2 requests per second, so each sends one every 1.5 s. Retries are at most 3
    // s later than the first.
    assert_eq!(retries([Some(1.0), Some(0.5), Some(0.5)]), [400, 1_900, 3_400, 3_400]);
    assert_eq!(retries([Some(1.0), None, Some(0.5)]), [0; 4], "one needs no permit");
}
