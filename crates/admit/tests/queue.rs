//! Priority of urgent classes, fairness between customers, and early refusal.

use std::{collections::HashMap, sync::Arc};

use admit::{Capacity, Queue, Request, Verdict};
use proptest::prelude::*;
use resource::Class;

const FULL: Capacity = Capacity { load: 100.0, slots: 10.0 };
const EMPTY: Capacity = Capacity { load: 0.0, slots: 10.0 };

fn request(id: u64, class: Class, customer: &str, weight: u32) -> Request {
    Request { id, class, customer: customer.into(), weight, deadline: 10_000 }
}

#[test]
fn long_requests_leave_capacity_for_urgent_ones() {
    let mut queue = Queue::default();
    let busy = Capacity { load: 8.0, slots: 10.0 };
    assert_eq!(queue.offer(request(1, Class::Long, "a", 1), busy, 0), Verdict::Wait);
    assert_eq!(queue.offer(request(2, Class::Interactive, "a", 1), busy, 0), Verdict::Run);
    assert_eq!(queue.offer(request(3, Class::Streaming, "a", 1), busy, 0), Verdict::Run);
}

#[test]
fn urgent_classes_start_first() {
    let mut queue = Queue::default();
    for (id, class) in [(1, Class::Long), (2, Class::Streaming), (3, Class::Interactive)] {
        assert_eq!(queue.offer(request(id, class, "a", 1), FULL, 0), Verdict::Wait);
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.next(EMPTY, 1)).collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn requests_that_would_start_late_are_refused_at_once() {
    let mut queue = Queue::default();
    for id in 0..4 {
        queue.offer(request(id, Class::Long, "a", 1), FULL, 0);
    }
    // One request starts every 4 seconds.
    for now in [0, 4_000, 8_000] {
        queue.next(EMPTY, now);
    }
    let late = Request { deadline: 9_000, ..request(9, Class::Long, "a", 1) };
    assert!(matches!(queue.offer(late, FULL, 8_100), Verdict::Refuse { after } if after > 1_000));
}

proptest! {
    #[test]
    fn customers_share_by_weight(weight in 1u32..6, count in 20u64..60) {
        let mut queue = Queue::default();
        for id in 0..count {
            queue.offer(request(id * 2, Class::Long, "heavy", weight), FULL, 0);
            queue.offer(request(id * 2 + 1, Class::Long, "light", 1), FULL, 0);
        }
        let starts = u64::from(weight + 1) * 3;
        let mut served: HashMap<Arc<str>, u64> = HashMap::new();
        for _ in 0..starts.min(count) {
            let id = queue.next(EMPTY, 1).unwrap();
            *served.entry(if id % 2 == 0 { "heavy".into() } else { "light".into() }).or_default() += 1;
        }
        let light = served.get("light").copied().unwrap_or(0);
        let fair = starts.min(count) / u64::from(weight + 1);
        prop_assert!(light.abs_diff(fair) <= 1, "{:?} of weight {}", served, weight);
    }
}
