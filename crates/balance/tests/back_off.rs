//! Back-offs of endpoints: what each box sends, and how fleets of all sizes resume.

use std::{collections::BTreeMap, ops::Range, sync::Arc};

use balance::{Availability, BackOff, Failure, Filter, Fleet, Pool, Prefix, Weights};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;
/// Time that an endpoint takes for a request, in milliseconds.
const WORK_MS: u64 = 100;
/// Requests that an endpoint runs at once.
const SLOTS: usize = 64;
/// Window over which simultaneous arrivals are counted, in milliseconds.
const WAVE_MS: u64 = 50;
/// Shortest time after which a caller retries, in milliseconds.
const MIN_RETRY_MS: u64 = 100;
/// Length of a run in milliseconds, enough for all refused requests to be retried.
const RUN_MS: u64 = 16_000;
/// Load as a fraction of the endpoints' capacity.
const THIRD: f64 = 1.0 / 3.0;
const HALF: f64 = 1.0 / 2.0;
/// When overloaded endpoints reject all requests, and the back-off that they ask for, in
/// milliseconds.
const OVERLOAD: Range<u64> = 1_000..4_000;
const BACK_OFF_MS: u64 = 3_000;

#[test]
fn a_back_off_is_never_shortened() {
    /// Times at which a back-off is asked for, and its length.
    type Requests<'a> = &'a [(u64, u64)];
    // Requested back-offs, and when they end.
    let cases: [(&str, Requests, u64); 7] = [
        ("zero", &[(0, 0)], 0),
        ("3 s", &[(10, 3_000)], 3_010),
        ("3 s, then 1 s", &[(10, 3_000), (20, 1_000)], 3_010),
        ("1 s, then 3 s", &[(10, 1_000), (20, 3_000)], 3_020),
        ("3 s, then zero", &[(10, 3_000), (20, 0)], 3_010),
        ("a day", &[(10, 86_400_000)], 86_400_010),
        ("no end", &[(10, u64::MAX)], u64::MAX),
    ];
    for (what, requests, until) in cases {
        let mut back_off = BackOff::default();
        for (now, ms) in requests {
            back_off.extend(*ms, 0, *now);
            back_off.request_accepted(*now);
        }
        assert_eq!(back_off.remaining_ms(100), until.saturating_sub(100), "{what}");
    }
}

#[test]
fn the_window_after_a_back_off_grows_with_accepted_requests() {
    let most = |back_off: &BackOff, now| {
        (0..100).take_while(|sent| back_off.wait_ms(*sent, now) == 0).count()
    };
    // Unanswered requests before the back-off, and how many are allowed after it and after each
    // accepted request.
    let cases: [(u32, &[usize]); 3] = [
        (0, &[1, 2, 2, 3, 3, 3, 100]),
        (1, &[1, 2, 2, 3, 3, 3, 100]),
        (2, &[1, 2, 3, 4, 4, 4, 4, 5, 5, 5, 5, 5, 6]),
    ];
    for (unanswered, windows) in cases {
        let mut back_off = BackOff::default();
        back_off.extend(1_000, unanswered, 0);
        back_off.extend(1_000, 0, 100);
        assert_eq!(most(&back_off, 1_099), 0, "the back-off is not over");
        back_off.request_accepted(900);
        let mut grown = vec![most(&back_off, 1_100)];
        for _ in 1..windows.len() {
            back_off.request_accepted(1_100);
            grown.push(most(&back_off, 1_200));
        }
        assert_eq!(grown, windows, "{unanswered}");
        back_off.extend(1_000, 0, 2_000);
        assert_eq!(most(&back_off, 3_000), 1, "after another back-off");
    }
}

fn pool(endpoints: usize, fleet: Option<Fleet>) -> Pool {
    let mut pool = Pool::new("z".into(), Weights::default());
    pool.update((0..endpoints).map(|n| (name(n), "z".into())), 0);
    fleet.iter().for_each(|fleet| pool.set_fleet(fleet, 0));
    pool
}

fn name(endpoint: usize) -> Arc<str> {
    format!("e{endpoint}").into()
}

#[test]
fn back_off_limit_and_departure_combine() {
    let mut pool = pool(2, None);
    let availability =
        |pool: &Pool, now| pool.availability(pool.get("e0").expect("in the pool"), now);
    assert_eq!(availability(&pool, 0), Availability::Open);
    pool.back_off("e0", 1_000, 0);
    assert_eq!(availability(&pool, 400), Availability::Waits { ms: 600 });
    let limit = Some(balance::Limit::per_s(1.0));
    let e0 = pool.get_mut("e0").expect("in the pool");
    e0.update_limit(balance::LimitSignal { limit, sent_at: 0, answered_at: 0 });
    e0.defer_permits(5_000, 0);
    assert_eq!(availability(&pool, 400), Availability::Waits { ms: 4_600 }, "the longer wait");
    pool.set_departures(|_| Some(balance::Departure::now(0)));
    assert_eq!(availability(&pool, 400), Availability::Waits { ms: 4_600 }, "no last resort");
    assert_eq!(availability(&pool, 1_000), Availability::Leaving);
    assert!(pool.get("e0").expect("in the pool").refuses_requests(500));
}

#[test]
fn a_back_off_survives_an_expired_entry_but_not_a_restart() {
    let mut pool = pool(2, None);
    pool.back_off("e0", 5_000, 0);
    pool.update([(name(1), "z".into())], 100);
    pool.update([(name(0), "z".into()), (name(1), "z".into())], 200);
    assert!(pool.get("e0").expect("in the pool").refuses_requests(300));
    pool.update([("e0 later".into(), "z".into()), (name(1), "z".into())], 400);
    assert!(!pool.get("e0 later").expect("in the pool").refuses_requests(500));
}

#[test]
fn retries_after_a_back_off_are_spread_by_rank() {
    let mut pool = pool(3, None);
    (0..3).for_each(|n| {
        pool.back_off(&name(n), 2_000 + n as u64 * 500, 0);
    });
    let mut times = |rank| {
        [0, 500, 1_000, 1_900]
            .map(|now| now + pool.retry_after_ms(None, rank, now).expect("an endpoint"))
    };
    assert_eq!(times(0), [2_000, 3_000, 4_000, 5_800]);
    assert_eq!(times(9), [2_000, 3_500, 5_000, 7_700]);
}

/// A fleet and its endpoints, some of which reject everything for a time.
struct Model {
    boxes: Vec<Pool>,
    /// Number of overloaded endpoints, the first ones.
    overloaded: usize,
    /// End times of the requests at each endpoint.
    running: Vec<Vec<u64>>,
    /// Box and endpoint of the requests in flight, by end time.
    in_flight: BTreeMap<u64, Vec<(usize, usize)>>,
    /// Box and rank of refused requests, by retry time.
    retries: BTreeMap<u64, Vec<(usize, u8)>>,
    random: SmallRng,
    /// When the first endpoint asked each box to back off, and how many requests it got from that
    /// box more than half a second later.
    back_off_since: Vec<Option<u64>>,
    in_back_off: Vec<usize>,
    /// Requests that reached the first endpoint after its overload, by window.
    waves: BTreeMap<u64, usize>,
    requests: usize,
    refused: usize,
    /// Refused although an available endpoint had room.
    refused_idle: usize,
    /// Refused on retry.
    refused_on_retry: usize,
}

impl Model {
    fn open(boxes: usize, endpoints: usize, overloaded: usize) -> Model {
        let names: Vec<Arc<str>> = (0..boxes).map(|n| format!("box-{n}").into()).collect();
        let fleet = |me: &Arc<str>| {
            let others = names.iter().filter(|name| *name != me).cloned().collect();
            Fleet { me: me.clone(), others }
        };
        Model {
            boxes: names.iter().map(|me| pool(endpoints, Some(fleet(me)))).collect(),
            overloaded,
            running: vec![Vec::new(); endpoints],
            in_flight: BTreeMap::new(),
            retries: BTreeMap::new(),
            random: SmallRng::seed_from_u64(9),
            back_off_since: vec![None; boxes],
            in_back_off: vec![0; boxes],
            waves: BTreeMap::new(),
            requests: 0,
            refused: 0,
            refused_idle: 0,
            refused_on_retry: 0,
        }
    }

    /// Starts all back-offs at the same time.
    fn start_all_back_offs(&mut self) {
        for pool in &mut self.boxes {
            (0..self.overloaded).for_each(|n| {
                pool.back_off(&name(n), BACK_OFF_MS, OVERLOAD.start);
            });
        }
    }

    fn is_overloaded(&self, endpoint: usize, now: u64) -> bool {
        endpoint < self.overloaded && OVERLOAD.contains(&now)
    }

    /// Handles a request at a box, which may try two endpoints; a refused request is retried once.
    fn request(&mut self, at: usize, rank: u8, is_retry: bool, now: u64) {
        self.requests += usize::from(!is_retry);
        let mut tried = Vec::new();
        for _ in 0..2 {
            let prefix = Prefix::of_parts([]);
            let pool = &mut self.boxes[at];
            let choice = pool.choose_from(Filter::ALL, &prefix, &tried, now, &mut self.random);
            let Some(choice) = choice else { break };
            let endpoint: usize = choice.name[1..].parse().expect("a number");
            pool.start(&choice.name, &prefix, now);
            pool.start_prefill(&choice.name, &prefix, 0);
            if self.accepts(at, endpoint, now) {
                return;
            }
            let pool = &mut self.boxes[at];
            pool.finish_prefill(&choice.name, 0);
            pool.end(&choice.name, Some(Failure::Refused), now);
            if endpoint < self.overloaded {
                pool.back_off(&choice.name, BACK_OFF_MS, now);
            }
            tried.push(choice.name);
        }
        self.refused += 1;
        let has_room = |n: usize| !self.is_overloaded(n, now) && self.running[n].len() < SLOTS / 2;
        self.refused_idle += usize::from((0..self.running.len()).any(has_room));
        if is_retry {
            self.refused_on_retry += 1;
            return;
        }
        let wait = self.boxes[at].retry_after_ms(None, rank, now).expect("an endpoint");
        self.retries.entry(now + wait.max(MIN_RETRY_MS)).or_default().push((at, rank));
    }

    /// Whether an endpoint accepts a request.
    fn accepts(&mut self, at: usize, endpoint: usize, now: u64) -> bool {
        let is_overloaded = self.is_overloaded(endpoint, now);
        if endpoint == 0 {
            self.count(at, is_overloaded, now);
        }
        if is_overloaded || self.running[endpoint].len() >= SLOTS {
            return false;
        }
        self.running[endpoint].push(now + WORK_MS);
        self.in_flight.entry(now + WORK_MS).or_default().push((at, endpoint));
        true
    }

    fn count(&mut self, at: usize, is_overloaded: bool, now: u64) {
        let back_off_since = self.back_off_since[at].filter(|since| now < since + BACK_OFF_MS);
        let is_late = back_off_since.is_some_and(|since| now >= since + 500);
        self.in_back_off[at] += usize::from(is_late);
        match is_overloaded {
            true if back_off_since.is_none() => self.back_off_since[at] = Some(now),
            true => {}
            false if now >= OVERLOAD.end => *self.waves.entry(now / WAVE_MS).or_default() += 1,
            false => {}
        }
    }

    fn step(&mut self, now: u64, per_s: f64) {
        let later = self.in_flight.split_off(&(now + 1));
        let ended = std::mem::replace(&mut self.in_flight, later);
        for (at, endpoint) in ended.into_values().flatten() {
            let (pool, name) = (&mut self.boxes[at], name(endpoint));
            pool.finish_prefill(&name, 0);
            pool.end(&name, None, now);
            pool.get_mut(&name).expect("in the pool").back_off.request_accepted(now - WORK_MS);
        }
        self.running.iter_mut().for_each(|work| work.retain(|end| *end > now));
        let later = self.retries.split_off(&(now + 1));
        let retries = std::mem::replace(&mut self.retries, later);
        for (at, rank) in retries.into_values().flatten() {
            self.request(at, rank, true, now);
        }
        let mut expected = per_s * STEP_MS as f64 / 1_000.0;
        while expected > 0.0 {
            if self.random.random::<f64>() < expected {
                let at = self.random.random_range(0..self.boxes.len());
                let rank = self.random.random_range(0..10);
                self.request(at, rank, false, now);
            }
            expected -= 1.0;
        }
    }
}

/// Simulates a time in which some endpoints reject all requests for 3 s, and ask each box to back
/// off for 3 s. `load` is a fraction of the endpoints' capacity.
fn simulate(
    boxes: usize,
    load: f64,
    is_together: bool,
    overloaded: impl Fn(usize) -> usize,
) -> Model {
    let endpoints = (boxes / 2).clamp(3, 40);
    let mut model = Model::open(boxes, endpoints, overloaded(endpoints));
    let per_s = (endpoints * SLOTS) as f64 * 1_000.0 / WORK_MS as f64 * load;
    for step in 0..(RUN_MS / STEP_MS) {
        let now = step * STEP_MS;
        model.step(now, per_s);
        if is_together && now == OVERLOAD.start {
            model.start_all_back_offs();
        }
    }
    let most_in_back_off = model.in_back_off.iter().max().copied().unwrap_or_default();
    let wave = model.waves.values().max().copied().unwrap_or_default();
    println!(
        "{boxes} boxes: {most_in_back_off} during a back-off, wave {wave}, of {} requests refused {}, with room {}, on retry {}",
        model.requests, model.refused, model.refused_idle, model.refused_on_retry
    );
    assert!(most_in_back_off <= 2, "{boxes} boxes: {most_in_back_off} during a back-off");
    // The capacity of an idle endpoint.
    assert!(wave <= SLOTS, "{boxes} boxes: {wave} arrived together");
    assert!(wave > 0, "{boxes} boxes: no requests after the overload");
    model
}

#[test]
fn fleets_respect_the_back_off_of_one_endpoint_and_resume_gradually() {
    for boxes in [1, 7, 75, 300] {
        let model = simulate(boxes, THIRD, false, |_| 1);
        // Less than a hundredth of the requests of the first 9 s, which include the back-off.
        let early = model.requests * 9_000 / RUN_MS as usize;
        assert!(model.refused * 100 < early, "{boxes} boxes: {} refused", model.refused);
    }
}

#[test]
fn fleets_respect_the_back_off_of_all_endpoints_and_resume_gradually() {
    simulate_back_off_of_all(THIRD, [1, 7, 75, 300]);
}

#[test]
fn one_box_at_half_load_resumes_after_the_back_off_of_all_endpoints() {
    simulate_back_off_of_all(HALF, [1]);
}

#[test]
fn fleets_at_half_load_resume_after_the_back_off_of_all_endpoints() {
    simulate_back_off_of_all(HALF, [7, 75, 300]);
}

fn simulate_back_off_of_all<const N: usize>(load: f64, sizes: [usize; N]) {
    for (boxes, is_together) in sizes.into_iter().flat_map(|boxes| [(boxes, false), (boxes, true)])
    {
        let model = simulate(boxes, load, is_together, |endpoints| endpoints);
        // Most requests find room at the retry time that they were given.
        let (again, first) = (model.refused_on_retry, model.refused - model.refused_on_retry);
        assert!(again * 4 < first, "{boxes} boxes: {again} of {first} refused on retry");
    }
}
