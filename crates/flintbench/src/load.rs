//! Generates requests as callers do: through a balancer, at random times, with retries.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time::Instant};
use trial::{Caller, Fleet, Outcome, Request};

/// Retries of a request without a complete response; they use the same key.
const RETRIES: usize = 2;
/// Delay before a retry.
const AGAIN: Duration = Duration::from_millis(150);

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
        not: Option<SocketAddr>,
    ) -> Option<(usize, SocketAddr)> {
        let boxes = self.0.lock();
        let open: Vec<(usize, SocketAddr)> = boxes
            .iter()
            .enumerate()
            .filter_map(|(index, address)| Some((index, (*address)?)))
            .collect();
        let others: Vec<_> = open.iter().filter(|(_, a)| Some(*a) != not).copied().collect();
        others.choose(random).or_else(|| open.choose(random)).copied()
    }
}

/// A request that was sent, for baselines to replay.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Arrival time, in milliseconds since the start.
    pub at: u64,
    /// Index of the box that received it.
    pub index: usize,
    /// Most tokens that it may use.
    pub worst: u64,
    /// Tokens that it actually uses.
    pub used: u64,
}

/// Composition of a load.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Pairs of customer and budget, of which each request uses a random one.
    pub budgets: Vec<(String, String)>,
    /// Mean requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub lasting: Duration,
    /// Share of requests that are repeatable service calls.
    pub lookups: f64,
    /// Share of requests that are unrepeatable service calls.
    pub cancels: f64,
    /// Maximum output tokens of a chat.
    pub output: u64,
}

/// Sends a load with exponentially distributed gaps, waits for all responses and returns the
/// requests.
pub async fn send(caller: &Caller, balancer: &Balancer, mix: &Mix, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut tickets = take_tickets(caller, balancer, mix).await;
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut number = 0;
    let mut asked = JoinSet::new();
    let mut arrivals = Vec::new();
    loop {
        let gap = -random.random_range(f64::EPSILON..1.0_f64).ln() / mix.rate;
        due += Duration::from_secs_f64(gap);
        if due >= mix.lasting {
            break;
        }
        tokio::time::sleep_until(start + due).await;
        number += 1;
        let mut ask = draw(mix, number, seed, &mut random);
        let Some((index, to)) = balancer.pick(&mut random, None) else { continue };
        if ask.route == "cancel"
            && let Some(ticket) = tickets.get_mut(&to).and_then(Vec::pop)
        {
            ask.key = ticket;
        }
        let used = if ask.service { 5 } else { ask.worst() - ask.max_tokens + ask.output };
        let worst = if ask.service { 5 } else { ask.worst() };
        arrivals.push(Arrival { at: due.as_millis() as u64, index, worst, used });
        let (caller, balancer) = (caller.clone(), balancer.clone());
        let retry = ChaCha8Rng::seed_from_u64(random.random());
        asked.spawn(async move { insist(&caller, &balancer, to, &ask, retry).await });
        while asked.try_join_next().is_some() {}
    }
    while asked.join_next().await.is_some() {}
    arrivals
}

/// Obtains tickets from every box before faults begin.
async fn take_tickets(caller: &Caller, balancer: &Balancer, mix: &Mix) -> Tickets {
    let (customer, budget) = mix.budgets.first().expect("a mix has at least one budget");
    let boxes: Vec<SocketAddr> = balancer.0.lock().iter().flatten().copied().collect();
    let mut tickets = Tickets::new();
    for to in boxes {
        tickets.insert(to, caller.tickets(to, customer, budget, 100).await);
    }
    tickets
}

fn draw(mix: &Mix, number: u64, seed: u64, random: &mut ChaCha8Rng) -> Request {
    let (customer, budget) = mix.budgets.choose(random).expect("a mix has at least one budget");
    let key = format!("s{seed}-r{number}");
    let kind: f64 = random.random();
    if kind < mix.cancels {
        return Request::service(customer, budget, "cancel", &key);
    }
    if kind < mix.cancels + mix.lookups {
        return Request::service(customer, budget, "lookup", &key);
    }
    let output = random.random_range(1..=mix.output);
    let stream = random.random_bool(0.7);
    let max_tokens = mix.output.max(output);
    Request { output, max_tokens, stream, ..Request::chat(customer, budget, &key) }
}

/// Sends a request and retries it at other boxes until it is answered or refused without having
/// run.
async fn insist(
    caller: &Caller,
    balancer: &Balancer,
    to: SocketAddr,
    ask: &Request,
    mut random: ChaCha8Rng,
) {
    let mut to = to;
    for _ in 0..=RETRIES {
        let got = caller.send(to, ask).await;
        if matches!(got.outcome, Outcome::Answered | Outcome::NotRun) {
            return;
        }
        tokio::time::sleep(AGAIN).await;
        match balancer.pick(&mut random, Some(to)) {
            Some((_, other)) => to = other,
            None => return,
        }
    }
}
