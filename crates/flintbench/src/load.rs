//! Generates requests as callers do: through a balancer, at random times, with retries.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time::Instant};
use trial::{Caller, Fleet, Outcome, Request};

/// Retries of a request without a complete response; they use the same key.
const MAX_RETRIES: usize = 2;
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Simulates the platform's balancer, which sends each request to one of the ready boxes.
#[derive(Debug, Clone, Default)]
pub struct Balancer(Arc<Mutex<Vec<Option<SocketAddr>>>>);

/// Tickets that calls to the `cancel` service use up, by address of the box that issued them.
type Tickets = HashMap<SocketAddr, Vec<String>>;

impl Balancer {
    /// Creates a balancer over all boxes of a fleet.
    pub fn of(fleet: &Fleet) -> Balancer {
        let boxes = fleet.nodes.iter().map(|node| Some(node.callers())).collect();
        Balancer(Arc::new(Mutex::new(boxes)))
    }

    /// Sets the address of a box; with `None` it gets no more requests.
    pub fn set(&self, index: usize, address: Option<SocketAddr>) {
        self.0.lock()[index] = address;
    }

    fn pick(
        &self,
        random: &mut ChaCha8Rng,
        excluded: Option<SocketAddr>,
    ) -> Option<(usize, SocketAddr)> {
        let boxes = self.0.lock();
        let ready: Vec<(usize, SocketAddr)> = boxes
            .iter()
            .enumerate()
            .filter_map(|(index, address)| Some((index, (*address)?)))
            .collect();
        let candidates: Vec<_> =
            ready.iter().filter(|(_, a)| Some(*a) != excluded).copied().collect();
        candidates.choose(random).or_else(|| ready.choose(random)).copied()
    }
}

/// A request that was sent, for baselines to replay.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Arrival time, in milliseconds since the start.
    pub at_ms: u64,
    /// Index of the box that received it.
    pub index: usize,
    /// Most tokens that it may use.
    pub max_tokens: u64,
    /// Tokens that it actually uses.
    pub used_tokens: u64,
}

/// Composition of a load.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Pairs of customer and budget, of which each request uses a random one.
    pub budgets: Vec<(String, String)>,
    /// Mean requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Share of requests that are repeatable service calls.
    pub repeatable_share: f64,
    /// Share of requests that are unrepeatable service calls.
    pub unrepeatable_share: f64,
    /// Maximum output tokens of a chat.
    pub max_output: u64,
}

/// Sends a load with exponentially distributed gaps, waits for all responses and returns the
/// requests.
pub async fn send(caller: &Caller, balancer: &Balancer, mix: &Mix, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut tickets = obtain_tickets(caller, balancer, mix).await;
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut number = 0;
    let mut tasks = JoinSet::new();
    let mut arrivals = Vec::new();
    loop {
        let gap = -random.random_range(f64::EPSILON..1.0_f64).ln() / mix.rate;
        due += Duration::from_secs_f64(gap);
        if due >= mix.duration {
            break;
        }
        tokio::time::sleep_until(start + due).await;
        number += 1;
        let mut request = random_request(mix, number, seed, &mut random);
        let Some((index, address)) = balancer.pick(&mut random, None) else { continue };
        if request.route == "cancel"
            && let Some(ticket) = tickets.get_mut(&address).and_then(Vec::pop)
        {
            request.key = ticket;
        }
        let used_tokens =
            if request.service { 5 } else { request.worst() - request.max_tokens + request.output };
        let max_tokens = if request.service { 5 } else { request.worst() };
        arrivals.push(Arrival { at_ms: due.as_millis() as u64, index, max_tokens, used_tokens });
        let (caller, balancer) = (caller.clone(), balancer.clone());
        let retry_random = ChaCha8Rng::seed_from_u64(random.random());
        tasks.spawn(async move {
            send_with_retries(&caller, &balancer, address, &request, retry_random).await
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    arrivals
}

/// Obtains tickets from every box before faults begin.
async fn obtain_tickets(caller: &Caller, balancer: &Balancer, mix: &Mix) -> Tickets {
    let (customer, budget) = mix.budgets.first().expect("a mix has at least one budget");
    let boxes: Vec<SocketAddr> = balancer.0.lock().iter().flatten().copied().collect();
    let mut tickets = Tickets::new();
    for address in boxes {
        tickets.insert(address, caller.tickets(address, customer, budget, 100).await);
    }
    tickets
}

fn random_request(mix: &Mix, number: u64, seed: u64, random: &mut ChaCha8Rng) -> Request {
    let (customer, budget) = mix.budgets.choose(random).expect("a mix has at least one budget");
    let key = format!("s{seed}-r{number}");
    let kind: f64 = random.random();
    if kind < mix.unrepeatable_share {
        return Request::service(customer, budget, "cancel", &key);
    }
    if kind < mix.unrepeatable_share + mix.repeatable_share {
        return Request::service(customer, budget, "lookup", &key);
    }
    let output = random.random_range(1..=mix.max_output);
    let stream = random.random_bool(0.7);
    let max_tokens = mix.max_output.max(output);
    Request { output, max_tokens, stream, ..Request::chat(customer, budget, &key) }
}

/// Sends a request and retries it at other boxes until it is answered or refused without having
/// run.
async fn send_with_retries(
    caller: &Caller,
    balancer: &Balancer,
    address: SocketAddr,
    request: &Request,
    mut random: ChaCha8Rng,
) {
    let mut address = address;
    for _ in 0..=MAX_RETRIES {
        let response = caller.send(address, request).await;
        if matches!(response.outcome, Outcome::Answered | Outcome::NotRun) {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
        match balancer.pick(&mut random, Some(address)) {
            Some((_, other)) => address = other,
            None => return,
        }
    }
}
