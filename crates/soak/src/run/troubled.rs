//! The endpoints in trouble of a run.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use objects::{Expect, Store};
use platform::fixtures;
use standin::Platform;
use tokio::time::Instant;

use crate::{
    run::fleet,
    trouble::{
        endpoint::{ENGINES, Endpoint, Identity, PLAIN},
        verdict::Absence,
        work::Log,
    },
};

/// Services of the endpoints, in order.
const SERVICES: [&str; 6] = [ENGINES, PLAIN, ENGINES, PLAIN, ENGINES, PLAIN];

/// A place of an endpoint, which keeps its address through crashes.
struct Place {
    /// `None` while it is down.
    endpoint: Option<Endpoint>,
    identity: Identity,
    address: SocketAddr,
    /// Number of starts.
    starts: u64,
}

/// All endpoints in trouble; none unless the run has some.
#[derive(Default)]
pub struct Troubled {
    places: Vec<Place>,
    pub log: Log,
    /// Times in which boxes did not reach one of them.
    pub lost: Vec<Absence>,
    seed: u64,
    is_proper: bool,
}

impl Troubled {
    /// Starts the endpoints.
    pub async fn spawn(seed: u64, is_proper: bool) -> Troubled {
        let mut all = Troubled { seed, is_proper, ..Troubled::default() };
        for (number, service) in SERVICES.into_iter().enumerate() {
            let identity = Identity { name: name(number, 1), service };
            let any = (Ipv4Addr::LOCALHOST, 0).into();
            let endpoint = all.start(identity.clone(), any, number, 1).await;
            let address = endpoint.address();
            all.places.push(Place { endpoint: Some(endpoint), identity, address, starts: 1 });
        }
        all
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Writes the entries of all endpoints.
    pub async fn register(&self, platform: &Platform) {
        for place in &self.places {
            write_entry(platform, &place.identity, place.address).await;
        }
    }

    /// Suspends an endpoint, or ends that.
    pub fn suspend(&self, number: usize, is_suspended: bool) {
        self.places[number].endpoint.iter().for_each(|it| it.set_suspended(is_suspended));
    }

    /// Loses what a box sends to an endpoint, or ends that.
    pub fn lose_requests(&mut self, number: usize, box_index: usize, is_lost: bool) {
        let source = fleet::box_address(box_index);
        self.places[number].endpoint.iter().for_each(|it| it.set_unheard(source, is_lost));
        self.note_loss(box_index, is_lost);
    }

    /// Loses what an endpoint sends to a box, or ends that.
    pub fn lose_responses(&mut self, number: usize, box_index: usize, is_lost: bool) {
        let source = fleet::box_address(box_index);
        self.places[number].endpoint.iter().for_each(|it| it.set_unreached(source, is_lost));
        self.note_loss(box_index, is_lost);
    }

    fn note_loss(&mut self, box_index: usize, is_lost: bool) {
        let now = Instant::now();
        match is_lost {
            true => self.lost.push(Absence { box_index, from: now, until: now }),
            false => {
                let of_box = self.lost.iter_mut().filter(|loss| loss.box_index == box_index);
                of_box.for_each(|loss| loss.until = now);
            }
        }
    }

    /// Crashes an endpoint. The entries of every other one go at once, as though it had been silent for long.
    pub async fn crash(&mut self, platform: &Platform, number: usize) {
        let place = &mut self.places[number];
        let Some(endpoint) = place.endpoint.take() else { return };
        endpoint.crash().await;
        if place.starts.is_multiple_of(2) {
            remove_entry(platform, &place.identity.name).await;
        }
    }

    /// Starts another endpoint at the address of one that crashed, of the other service if it takes over.
    pub async fn restart(&mut self, platform: &Platform, number: usize, takes_over: bool) {
        let place = &self.places[number];
        if place.endpoint.is_some() {
            return;
        }
        let service = match (takes_over, place.identity.service) {
            (true, ENGINES) => PLAIN,
            (true, _) => ENGINES,
            (false, service) => service,
        };
        let (starts, address) = (place.starts + 1, place.address);
        let identity = Identity { name: name(number, starts), service };
        let endpoint = self.start(identity.clone(), address, number, starts).await;
        let place = &mut self.places[number];
        let previous = std::mem::replace(&mut place.identity, identity);
        (place.endpoint, place.starts) = (Some(endpoint), starts);
        write_entry(platform, &place.identity, address).await;
        remove_entry(platform, &previous.name).await;
    }

    async fn start(
        &self,
        identity: Identity,
        address: SocketAddr,
        number: usize,
        starts: u64,
    ) -> Endpoint {
        let seed = self.seed ^ (number as u64 + 1) << 32 ^ starts << 48;
        let started =
            Endpoint::bind(identity, address, self.log.clone(), seed, self.is_proper).await;
        started.expect("loopback has free ports, and that of an endpoint that crashed is free")
    }
}

fn name(number: usize, starts: u64) -> Arc<str> {
    format!("troubled-{number}.{starts}").into()
}

async fn write_entry(platform: &Platform, identity: &Identity, address: SocketAddr) {
    let entry = fixtures::entry(identity.service, address, true);
    platform.memory().put(platform::ENDPOINTS, &identity.name, entry, Expect::Absent).await;
}

async fn remove_entry(platform: &Platform, name: &str) {
    let memory = platform.memory();
    let found = memory.get(platform::ENDPOINTS, name).await.expect("memory answers");
    if let Some(object) = found {
        memory.delete(platform::ENDPOINTS, name, object.version).await;
    }
}
