//! A pool of a large fleet: what an update costs grows with the endpoints, not with their square.
//!
//! Guards against boxes that need a quarter of a second of processor time for each change among
//! 10,000 endpoints. Nothing here is timed: with a search of the list for each endpoint this takes
//! minutes.

use std::sync::Arc;

use balance::{Pool, Prefix, Weights};

const ENDPOINTS: usize = 60_000;

fn names(of: impl Iterator<Item = usize>) -> Vec<(Arc<str>, Arc<str>)> {
    of.map(|n| (format!("endpoint-{n:06}").into(), "z1".into())).collect()
}

#[test]
fn known_endpoints_keep_their_state_through_updates_of_a_large_pool() {
    let mut pool = Pool::new("z1".into(), Weights::default());
    pool.update(names(0..ENDPOINTS), 0);
    let busy: Vec<Arc<str>> =
        [0, 1, ENDPOINTS / 2, ENDPOINTS - 1].map(|n| Arc::from(format!("endpoint-{n:06}"))).into();
    busy.iter().for_each(|name| pool.start(name, &Prefix::default(), 0));
    // One endpoint leaves and another one joins; the order of the list turns round each time.
    for round in 1..8 {
        let kept = (0..ENDPOINTS + round).filter(|n| *n != ENDPOINTS / 4 + round);
        match round % 2 {
            0 => pool.update(names(kept), round as u64),
            _ => pool.update(names(kept.collect::<Vec<_>>().into_iter().rev()), round as u64),
        }
        assert_eq!(pool.endpoints().len(), ENDPOINTS + round - 1);
        for name in &busy {
            let endpoint = pool.get(name).expect("a listed endpoint");
            assert_eq!((&endpoint.name, endpoint.in_flight()), (name, 1), "round {round}");
        }
    }
    assert!(pool.get(&format!("endpoint-{:06}", ENDPOINTS / 4 + 7)).is_none(), "it has left");
}
