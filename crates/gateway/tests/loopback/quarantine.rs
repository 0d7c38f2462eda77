//! Requests under which endpoints end.
//!
//! Seen: one request ended 13 engines within 12 s, and another one 12; with each engine some ten streams of other
//! callers broke. How it came about: its callers sent it again, with another id and mostly to another box, and
//! each try went to an engine as if it were the first. Cause: nothing was remembered of a request beyond one
//! try of it, and the boxes told each other nothing of what became of it. Proved by this test, which needs only a
//! request that ends who runs it and callers that come again: without a quarantine all endpoints end.

use std::time::Duration;

use platform::played;
use standin::{Arrived, Reply, Scripted};

use crate::world::{Got, World, answers, finish, request, until, until_served};

const PAID: u64 = 1_000_000;
/// Boxes that know each other: two homes of news and their listeners.
const BOXES: usize = 4;
/// Endpoints; far more than a request may end.
const ENDPOINTS: usize = 9;
/// Body of the request under which endpoints end.
const GUILTY: &str = "guilty";
/// Endpoints that may end under one request: three, and as many more while the boxes tell each other.
const MOST_ENDED: usize = 6;

/// Ends under a guilty request, and answers all others.
fn crashes(arrived: &Arrived) -> Reply {
    match arrived.body == GUILTY.as_bytes() {
        true => Reply::Crash(played::answered(&arrived.told.id, None), Duration::from_millis(20)),
        false => answers(arrived),
    }
}

struct Fleet {
    world: World,
    boxes: Vec<gateway::Gateway>,
    endpoints: Vec<Scripted>,
}

impl Fleet {
    async fn start(service: &str, routes: &[&str]) -> Fleet {
        let world = World::open(PAID, routes).await;
        let mut endpoints = Vec::new();
        for n in 0..ENDPOINTS {
            endpoints.push(world.endpoint(&format!("i-{n}"), service, crashes).await);
        }
        let mut boxes = Vec::new();
        for n in 0..BOXES {
            boxes.push(world.gateway(&format!("box-{n}")).await);
        }
        for gateway in &boxes {
            until("it knows the others", async || gateway.knows_peers() == BOXES - 1).await;
            until_served(&world, gateway, &format!("/{}/x", routes[0])).await;
        }
        Fleet { world, boxes, endpoints }
    }

    /// A caller's try of a request at a box.
    async fn send(&self, at: usize, path: &str, body: &str) -> Got {
        let asked = self.world.asked("key-b", 1, 1);
        let address = self.boxes[at % BOXES].callers();
        finish(request(address, path, &asked).body(body.to_owned())).await
    }

    fn ended(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count()
    }
}

#[tokio::test]
async fn a_request_under_which_endpoints_end_reaches_few_of_them() {
    for (service, path) in
        [("plain", "/confirm/x"), ("plain", "/cancel/x"), ("engines", "/stream/x")]
    {
        let fleet = Fleet::start(service, &[path.split('/').nth(1).expect("a route")]).await;
        for n in 0..3 * ENDPOINTS {
            fleet.send(n, path, GUILTY).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let ended = fleet.ended();
        assert!(ended <= MOST_ENDED, "{path}: {ended} of {ENDPOINTS} endpoints ended");
        assert!(ended >= 3, "{path}: it ran {ended} times, and another endpoint may bear it");
        for n in 0..BOXES {
            let got = fleet.send(n, path, "innocent").await;
            assert_eq!(got.status, http::StatusCode::OK, "{path}: others are served");
        }
    }
}
