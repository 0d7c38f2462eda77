//! What one change costs a box of a large fleet: the processor time by the numbers of endpoints and
//! of boxes that it knows.

use std::{hint::black_box, net::SocketAddr, sync::Arc, time::Duration};

use balance::{Filter, Prefix};
use gateway::{Clock, Endpoints, Entry as BoxEntry, Peers, Profile, settings::Cold};
use ledger::Incarnation;
use platform::endpoint::{Entry, StartTime, State};

use crate::{
    report::Report,
    slopes::{Series, micros_per_call},
};

/// Numbers of endpoints; the last is twice the size to design for.
const ENDPOINTS: [usize; 4] = [1_000, 3_000, 10_000, 20_000];
/// Numbers of boxes.
const BOXES: [usize; 4] = [100, 300, 1_000, 2_000];
const ZONES: usize = 6;

/// Runs all measurements.
pub fn run() -> Report {
    let mut report = Report { is_sound: true, ..Report::default() };
    let by_endpoints = |unit, cost: fn(usize) -> f64| {
        Series::of(unit, ENDPOINTS.map(|count| (count as f64, cost(count))).to_vec())
    };
    report
        .add("endpoint_change_us", by_endpoints("us by endpoint", endpoint_change_micros).value());
    report.add("choose_engine_us", by_endpoints("us by endpoint", choose_micros).value());
    let box_changes = BOXES.map(|count| (count as f64, box_change_micros(count))).to_vec();
    report.add("box_change_us", Series::of("us by box", box_changes).value());
    report
}

fn zone(n: usize) -> Arc<str> {
    format!("zone-{}", n % ZONES).into()
}

fn engines(count: usize) -> Vec<(Arc<str>, Entry)> {
    let engine = |n: usize| {
        let entry = Entry {
            service: "engines".into(),
            address: SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 8_000)),
            zone: zone(n),
            version: "v1".into(),
            slots: 32,
            state: State::Ready,
            started: Some(StartTime::from_unix_ms(1_790_000_000_000 + n as u64)),
            heartbeat: 1,
            cold: Duration::ZERO,
            engine: true,
        };
        (format!("engine-{n:05}").into(), entry)
    };
    (0..count).map(engine).collect()
}

fn pool(list: &[(Arc<str>, Entry)]) -> Endpoints {
    let endpoints = Endpoints::new(zone(0), Cold::default(), &Clock::system(), 1);
    endpoints.update(list.iter().map(|(id, entry)| (id, entry)));
    endpoints
}

/// One endpoint leaves, and comes back with the next call.
fn endpoint_change_micros(count: usize) -> f64 {
    let list = engines(count);
    let endpoints = pool(&list);
    let mut leaves = true;
    micros_per_call(4, || {
        let (id, entry) = &list[count / 2];
        black_box(endpoints.apply(vec![(id.clone(), (!leaves).then_some(entry))]));
        leaves = !leaves;
    })
}

fn choose_micros(count: usize) -> f64 {
    let endpoints = pool(&engines(count));
    let prefix = Prefix::of_parts([(7, 2_500), (8, 3_000), (9, 800)]);
    micros_per_call(20, || {
        black_box(endpoints.choose("engines", Filter::ALL, &prefix, &[]));
    })
}

/// One box restarts; the whole list is taken over, and keepers and watchers are chosen anew.
fn box_change_micros(count: usize) -> f64 {
    let entry = |n: usize| {
        let peer = SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], 7_340));
        let incarnation = Incarnation::new(&format!("box-{n:04}"), 1);
        (BoxEntry { incarnation, zone: zone(n), peer, capacity: 10 }, n as u64)
    };
    let mut list: Vec<(BoxEntry, u64)> = (0..count).map(entry).collect();
    let me = Profile { incarnation: Incarnation::new("box-me", 1), zone: zone(0), capacity: 10 };
    let peers = Peers::open(me, None, 1);
    peers.update(list.clone(), count as u64);
    let mut version = count as u64;
    micros_per_call(4, || {
        version += 1;
        list[count / 2].0.incarnation = Incarnation::new(&format!("box-{:04}", count / 2), version);
        list[count / 2].1 = version;
        peers.update(list.clone(), version);
        black_box((peers.keepers(), peers.watchers()));
    })
}
