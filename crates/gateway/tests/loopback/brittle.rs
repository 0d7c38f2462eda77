//! Endpoints that crash if they have to reject more than some requests in a second.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use gateway::Gateway;
use http::{HeaderValue, StatusCode};
use parking_lot::Mutex;
use platform::{fixtures, signal::Load};
use standin::{ReceivedRequest, Reply};

use crate::harness::{Harness, call, wait_until, wait_until_served};

const PAID: u64 = 1_000_000;
const BOXES: usize = 3;
const ENDPOINTS: usize = 2;
/// Callers of each box, who send one request after the other: many more than all endpoints have slots for.
const CALLERS: usize = 8;
/// Time for which callers send requests.
const RUN_TIME: Duration = Duration::from_secs(4);
/// Requests that an endpoint processes at a time; it lets none wait.
const SLOTS: usize = 4;
/// Time that it takes for one.
const WORK: Duration = Duration::from_millis(50);
/// Rejections in any second above which it crashes.
const BEARS: usize = 6;
const SECOND: Duration = Duration::from_secs(1);

/// An endpoint's requests under way, and its rejections.
#[derive(Default)]
struct Desk {
    ends: Vec<Instant>,
    /// Rejections of the last second.
    rejected: VecDeque<Instant>,
    served: usize,
    falls: usize,
}

impl Desk {
    fn answer(&mut self, arrived: &ReceivedRequest) -> Reply {
        let now = Instant::now();
        self.ends.retain(|end| *end > now);
        let load = Load { running: self.ends.len() as u32, waiting: 0, slots: SLOTS as u32 };
        let brittle = HeaderValue::from(BEARS);
        let id = &arrived.head.id;
        if self.ends.len() < SLOTS {
            self.ends.push(now + WORK);
            self.served += 1;
            let mut headers = fixtures::response_headers(id, Some(load));
            headers.insert(fixtures::BRITTLE, brittle);
            return Reply::Events(headers, vec!["done".into()], WORK);
        }
        self.rejected.retain(|at| *at + SECOND > now);
        self.rejected.push_back(now);
        if self.rejected.len() > BEARS {
            self.falls += 1;
            self.rejected.clear();
        }
        let (status, mut headers) = fixtures::not_run_response(id);
        headers.insert(fixtures::BRITTLE, brittle);
        Reply::Complete(status, headers, String::new())
    }
}

/// Sends one request after the other for some time; returns how many were served.
async fn send_all(harness: &Harness, gateway: &Gateway) -> usize {
    let until = Instant::now() + RUN_TIME;
    let mut served = 0;
    while Instant::now() < until {
        let request = harness.new_request("key-b", 1, 1);
        match call(gateway.callers(), "/open/x", &request).await.status {
            StatusCode::OK => served += 1,
            // Callers come back sooner than they are told to.
            _ => tokio::time::sleep(WORK / 2).await,
        }
    }
    served
}

/// Guards against boxes that keep sending to a full endpoint which bears few rejections: it crashed again and again.
#[tokio::test]
async fn brittle_endpoints_have_to_reject_few_requests() {
    let harness = Harness::start(PAID, &["open"]).await;
    let mut desks = Vec::new();
    let mut endpoints = Vec::new();
    for n in 0..ENDPOINTS {
        let desk: Arc<Mutex<Desk>> = Arc::default();
        let answers = desk.clone();
        let answer = move |arrived: &ReceivedRequest| answers.lock().answer(arrived);
        endpoints.push(harness.endpoint(&format!("i-{n}"), "plain", answer).await);
        desks.push(desk);
    }
    let mut boxes = Vec::new();
    for n in 0..BOXES {
        boxes.push(harness.gateway(&format!("box-{n}")).await);
    }
    for gateway in &boxes {
        wait_until("the boxes know each other", async || gateway.peer_count() == BOXES - 1).await;
        wait_until_served(&harness, gateway, "/open/x").await;
    }
    let callers = boxes.iter().flat_map(|gateway| [gateway; CALLERS]);
    let served = join_all(callers.map(|gateway| send_all(&harness, gateway))).await;
    let served: usize = served.into_iter().sum();
    let falls: usize = desks.iter().map(|desk| desk.lock().falls).sum();
    // What the users' rule allows: two, and a tenth of the endpoints.
    assert!(falls <= 2 + ENDPOINTS / 10, "{falls} falls, {served} served");

    assert!(served > ENDPOINTS * SLOTS, "{served} served");
}
