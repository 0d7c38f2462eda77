//! Changed endpoints: taken over one by one, they come to the same as the whole list.
//!
//! Guards against work that grows with all endpoints for each one that changes: at 10,000 a box took 16 ms of processor
//! time for it, an eighth of a second on a box with an eighth of a core.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use gateway::{Clock, Endpoints, settings::Cold};
use platform::endpoint::{Entry, StartTime, State};
use proptest::prelude::*;

const IDS: u8 = 5;
const STARTS: u8 = 3;

/// What the entry of an endpoint says now; `None` if it takes no work.
type Step = (u8, Option<(u8, u8, u8)>);

fn entry((service, start, address): (u8, u8, u8)) -> Entry {
    Entry {
        service: format!("service-{service}").into(),
        address: SocketAddr::from(([10, 0, 0, address], 80)),
        zone: "z1".into(),
        version: "v1".into(),
        slots: 8,
        state: State::Ready,
        started: Some(StartTime::from_unix_ms(u64::from(start))),
        heartbeat: 1,
        cold: Duration::ZERO,
        engine: false,
    }
}

fn open() -> Endpoints {
    Endpoints::new("z1".into(), Cold::default(), &Clock::system(), 1)
}

fn listed(endpoints: &Endpoints) -> Vec<String> {
    let instances = (0..IDS).flat_map(|id| (0..STARTS).map(move |start| format!("e-{id} {start}")));
    instances.filter(|instance| endpoints.is_listed(instance)).collect()
}

/// Endpoints that a service's requests go to, all of which are tried in turn.
fn chosen(endpoints: &Endpoints, service: &str) -> Vec<(Arc<str>, SocketAddr)> {
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut chosen = Vec::new();
    while let Some(choice) =
        endpoints.choose(service, balance::Filter::ALL, &balance::Prefix::default(), &tried)
    {
        tried.push(choice.instance.clone());
        chosen.push((choice.instance, choice.address));
    }
    chosen.sort();
    chosen
}

proptest! {
    #[test]
    fn changes_come_to_the_same_as_the_whole_list(
        batches in prop::collection::vec(prop::collection::vec(
            (0..IDS, prop::option::of((0..2u8, 0..STARTS, 0..4u8))), 1..4), 1..12),
    ) {
        let (by_change, by_list) = (open(), open());
        let mut entries: BTreeMap<Arc<str>, Entry> = BTreeMap::new();
        for batch in batches {
            let mut changed: BTreeMap<Arc<str>, Option<Entry>> = BTreeMap::new();
            for (id, of) in batch as Vec<Step> {
                changed.insert(format!("e-{id}").into(), of.map(entry));
            }
            for (id, entry) in &changed {
                match entry {
                    Some(entry) => entries.insert(id.clone(), entry.clone()),
                    None => entries.remove(id),
                };
            }
            let changes = changed.iter().map(|(id, entry)| (id.clone(), entry.as_ref())).collect();
            let mut unused = by_change.apply(changes);
            let mut expected = by_list.update(entries.iter());
            unused.sort();
            expected.sort();
            prop_assert_eq!(unused, expected);
            prop_assert_eq!(listed(&by_change), listed(&by_list));
            prop_assert_eq!(listed(&by_change).len(), entries.len());
            for service in ["service-0", "service-1"] {
                let of_service = entries.values().filter(|entry| &*entry.service == service);
                let chosen = chosen(&by_change, service);
                prop_assert_eq!(chosen.len(), of_service.count());
                prop_assert_eq!(chosen, self::chosen(&by_list, service));
            }
        }
    }
}
