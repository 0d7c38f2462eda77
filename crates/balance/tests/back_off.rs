//! Endpoints that ask boxes for rest: what each box sends, and how fleets of all sizes come back.

use std::{collections::BTreeMap, ops::Range, sync::Arc};

use balance::{Availability, BackOff, Candidates, Failure, Fleet, Pool, Prefix, Weights};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time between two steps of the model, in milliseconds.
const STEP: u64 = 5;
/// Time that an endpoint takes for a request, in milliseconds.
const WORK: u64 = 100;
/// Requests that an endpoint works on at once.
const SLOTS: usize = 64;
/// Time over which requests that come together are counted, in milliseconds.
const WAVE: u64 = 50;
/// Shortest time after which a caller comes again, in milliseconds.
const LEAST_WAIT: u64 = 100;
/// Length of a run, in milliseconds: all that were refused have come again.
const LASTS: u64 = 16_000;
/// Parts of what the endpoints bear that come.
const THIRD: f64 = 1.0 / 3.0;
const HALF: f64 = 1.0 / 2.0;
/// When endpoints that are tired turn all requests away, and the rest that they ask for, in milliseconds.
const TIRED: Range<u64> = 1_000..4_000;
const ASKS: u64 = 3_000;

#[test]
fn a_rest_holds_whatever_else_is_heard() {
    /// A moment, and what is asked for then.
    type Asked<'a> = &'a [(u64, u64)];
    // What is asked for, and until when it holds.
    let cases: [(&str, Asked, u64); 7] = [
        ("none", &[(0, 0)], 0),
        ("seconds", &[(10, 3_000)], 3_010),
        ("a shorter one", &[(10, 3_000), (20, 1_000)], 3_010),
        ("a longer one", &[(10, 1_000), (20, 3_000)], 3_020),
        ("none at all after one", &[(10, 3_000), (20, 0)], 3_010),
        ("a day", &[(10, 86_400_000)], 86_400_010),
        ("for ever", &[(10, u64::MAX)], u64::MAX),
    ];
    for (what, asked, until) in cases {
        let mut back_off = BackOff::default();
        for (now, ms) in asked {
            back_off.ask(*ms, 0, *now);
            back_off.request_accepted(*now);
        }
        assert_eq!(back_off.remaining_ms(100), until.saturating_sub(100), "{what}");
    }
}

#[test]
fn a_box_comes_back_with_a_part_and_more_with_each_request_that_is_taken() {
    let most = |back_off: &BackOff, now| {
        (0..100).take_while(|sent| back_off.wait_ms(*sent, now) == 0).count()
    };
    // Requests there before, and how many may be there when the box is back and with each one that was taken.
    let cases: [(u32, &[usize]); 3] = [
        (0, &[1, 2, 2, 3, 3, 3, 100]),
        (1, &[1, 2, 2, 3, 3, 3, 100]),
        (2, &[1, 2, 3, 4, 4, 4, 4, 5, 5, 5, 5, 5, 6]),
    ];
    for (unanswered, windows) in cases {
        let mut back_off = BackOff::default();
        back_off.ask(1_000, unanswered, 0);
        back_off.ask(1_000, 0, 100);
        assert_eq!(most(&back_off, 1_099), 0, "it still rests");
        back_off.request_accepted(900);
        let mut grown = vec![most(&back_off, 1_100)];
        for _ in 1..windows.len() {
            back_off.request_accepted(1_100);
            grown.push(most(&back_off, 1_200));
        }
        assert_eq!(grown, windows, "{unanswered}");
        back_off.ask(1_000, 0, 2_000);
        assert_eq!(most(&back_off, 3_000), 1, "it turned a request away again");
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
fn rest_a_limit_a_cold_start_and_leaving_hold_together() {
    let mut pool = pool(2, None);
    let availability =
        |pool: &Pool, now| pool.availability(pool.get("e0").expect("it is there"), now);
    assert_eq!(availability(&pool, 0), Availability::Open);
    pool.back_off("e0", 1_000, 0);
    assert_eq!(availability(&pool, 400), Availability::Waits { ms: 600 });
    let limit = Some(balance::Limit::per_s(1.0));
    let e0 = pool.get_mut("e0").expect("it is there");
    e0.update_limit(balance::LimitSignal { limit, sent_at: 0, answered_at: 0 });
    e0.defer_permits(5_000, 0);
    assert_eq!(availability(&pool, 400), Availability::Waits { ms: 4_600 }, "the longer wait");
    pool.set_departures(|_| Some(balance::Departure::now(0)));
    assert_eq!(availability(&pool, 400), Availability::Waits { ms: 4_600 }, "no last resort");
    assert_eq!(availability(&pool, 1_000), Availability::Leaving);
    assert!(pool.get("e0").expect("it is there").refuses_requests(500));
}

#[test]
fn an_entry_that_lapses_ends_no_rest_and_another_life_starts_without() {
    let mut pool = pool(2, None);
    pool.back_off("e0", 5_000, 0);
    pool.update([(name(1), "z".into())], 100);
    pool.update([(name(0), "z".into()), (name(1), "z".into())], 200);
    assert!(pool.get("e0").expect("it is there").refuses_requests(300));
    pool.update([("e0 later".into(), "z".into()), (name(1), "z".into())], 400);
    assert!(!pool.get("e0 later").expect("it is there").refuses_requests(500));
}

#[test]
fn where_all_rest_requests_come_again_half_as_fast_as_they_came_the_urgent_ones_first() {
    let mut pool = pool(3, None);
    (0..3).for_each(|n| {
        pool.back_off(&name(n), 2_000 + n as u64 * 500, 0);
    });
    let mut times = |rank| {
        [0, 500, 1_000, 1_900].map(|now| now + pool.retry_after_ms(rank, now).expect("endpoints"))
    };
    assert_eq!(times(0), [2_000, 3_000, 4_000, 5_800]);
    assert_eq!(times(9), [2_000, 3_500, 5_000, 7_700]);
}

/// A fleet before endpoints of which some turn everything away for a time.
struct Model {
    boxes: Vec<Pool>,
    /// Endpoints that are tired, the first ones.
    tired: usize,
    /// When requests end that are at an endpoint.
    at_work: Vec<Vec<u64>>,
    /// Requests under way by the time at which they end: their box and their endpoint.
    in_flight: BTreeMap<u64, Vec<(usize, usize)>>,
    /// Requests that were refused, by the time at which they come again: their box and their rank.
    coming: BTreeMap<u64, Vec<(usize, u8)>>,
    random: SmallRng,
    /// When the first endpoint asked a box for rest, and how many of its requests came in that from half a second on.
    asked: Vec<Option<u64>>,
    in_rest: Vec<usize>,
    /// Requests that reached the first endpoint once it was no longer tired.
    waves: BTreeMap<u64, usize>,
    requests: usize,
    refused: usize,
    /// Refused although an endpoint that takes requests had room.
    refused_idle: usize,
    /// Refused when they came again.
    refused_again: usize,
}

impl Model {
    fn open(boxes: usize, endpoints: usize, tired: usize) -> Model {
        let names: Vec<Arc<str>> = (0..boxes).map(|n| format!("box-{n}").into()).collect();
        let fleet = |me: &Arc<str>| {
            let others = names.iter().filter(|name| *name != me).cloned().collect();
            Fleet { me: me.clone(), others }
        };
        Model {
            boxes: names.iter().map(|me| pool(endpoints, Some(fleet(me)))).collect(),
            tired,
            at_work: vec![Vec::new(); endpoints],
            in_flight: BTreeMap::new(),
            coming: BTreeMap::new(),
            random: SmallRng::seed_from_u64(9),
            asked: vec![None; boxes],
            in_rest: vec![0; boxes],
            waves: BTreeMap::new(),
            requests: 0,
            refused: 0,
            refused_idle: 0,
            refused_again: 0,
        }
    }

    /// All rests begin, and end, at one moment.
    fn all_are_told(&mut self) {
        for pool in &mut self.boxes {
            (0..self.tired).for_each(|n| {
                pool.back_off(&name(n), ASKS, TIRED.start);
            });
        }
    }

    fn is_tired(&self, endpoint: usize, now: u64) -> bool {
        endpoint < self.tired && TIRED.contains(&now)
    }

    /// One request at a box, which may be sent to two endpoints; whoever is refused comes again once.
    fn request(&mut self, at: usize, rank: u8, comes_again: bool, now: u64) {
        self.requests += usize::from(!comes_again);
        let mut tried = Vec::new();
        for _ in 0..2 {
            let prefix = Prefix::of_parts([]);
            let pool = &mut self.boxes[at];
            let choice = pool.choose_from(Candidates::All, &prefix, &tried, now, &mut self.random);
            let Some(choice) = choice else { break };
            let endpoint: usize = choice.name[1..].parse().expect("a number");
            pool.start(&choice.name, &prefix, now);
            pool.start_prefill(&choice.name, &prefix, 0);
            if self.takes(at, endpoint, now) {
                return;
            }
            let pool = &mut self.boxes[at];
            pool.finish_prefill(&choice.name, 0);
            pool.end(&choice.name, Some(Failure::Refused), now);
            if endpoint < self.tired {
                pool.back_off(&choice.name, ASKS, now);
            }
            tried.push(choice.name);
        }
        self.refused += 1;
        let has_room = |n: usize| !self.is_tired(n, now) && self.at_work[n].len() < SLOTS / 2;
        self.refused_idle += usize::from((0..self.at_work.len()).any(has_room));
        if comes_again {
            self.refused_again += 1;
            return;
        }
        let wait = self.boxes[at].retry_after_ms(rank, now).expect("endpoints");
        self.coming.entry(now + wait.max(LEAST_WAIT)).or_default().push((at, rank));
    }

    /// Whether an endpoint takes a request.
    fn takes(&mut self, at: usize, endpoint: usize, now: u64) -> bool {
        let is_tired = self.is_tired(endpoint, now);
        if endpoint == 0 {
            self.count(at, is_tired, now);
        }
        if is_tired || self.at_work[endpoint].len() >= SLOTS {
            return false;
        }
        self.at_work[endpoint].push(now + WORK);
        self.in_flight.entry(now + WORK).or_default().push((at, endpoint));
        true
    }

    fn count(&mut self, at: usize, is_tired: bool, now: u64) {
        let asked = self.asked[at].filter(|asked| now < asked + ASKS);
        let is_late = asked.is_some_and(|asked| now >= asked + 500);
        self.in_rest[at] += usize::from(is_late);
        match is_tired {
            true if asked.is_none() => self.asked[at] = Some(now),
            true => {}
            false if now >= TIRED.end => *self.waves.entry(now / WAVE).or_default() += 1,
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
            pool.get_mut(&name).expect("it is there").back_off.request_accepted(now - WORK);
        }
        self.at_work.iter_mut().for_each(|work| work.retain(|ends| *ends > now));
        let later = self.coming.split_off(&(now + 1));
        let coming = std::mem::replace(&mut self.coming, later);
        for (at, rank) in coming.into_values().flatten() {
            self.request(at, rank, true, now);
        }
        let mut expected = per_s * STEP as f64 / 1_000.0;
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

/// A day on which some endpoints turn all requests away for 3 s, and ask each box for 3 s of rest. `load` is a part of
/// what the endpoints bear.
fn play(boxes: usize, load: f64, is_together: bool, tired: impl Fn(usize) -> usize) -> Model {
    let endpoints = (boxes / 2).clamp(3, 40);
    let mut model = Model::open(boxes, endpoints, tired(endpoints));
    let per_s = (endpoints * SLOTS) as f64 * 1_000.0 / WORK as f64 * load;
    for step in 0..(LASTS / STEP) {
        let now = step * STEP;
        model.step(now, per_s);
        if is_together && now == TIRED.start {
            model.all_are_told();
        }
    }
    let most_in_rest = model.in_rest.iter().max().copied().unwrap_or_default();
    let wave = model.waves.values().max().copied().unwrap_or_default();
    println!(
        "{boxes} boxes: {most_in_rest} in a rest, wave {wave}, of {} requests refused {}, with room {}, again {}",
        model.requests, model.refused, model.refused_idle, model.refused_again
    );
    assert!(most_in_rest <= 2, "{boxes} boxes: {most_in_rest} within a rest");
    // What it has room for when it is empty.
    assert!(wave <= SLOTS, "{boxes} boxes: {wave} came together");
    assert!(wave > 0, "{boxes} boxes: it gets work again");
    model
}

#[test]
fn fleets_of_all_sizes_keep_the_rest_of_one_endpoint_and_come_back_bit_by_bit() {
    for boxes in [1, 7, 75, 300] {
        let model = play(boxes, THIRD, false, |_| 1);
        // A hundredth of what comes in the first 9 s, the rest among them.
        let came = model.requests * 9_000 / LASTS as usize;
        assert!(model.refused * 100 < came, "{boxes} boxes: {} refused", model.refused);
    }
}

#[test]
fn fleets_of_all_sizes_keep_the_rest_of_all_endpoints_and_come_back_bit_by_bit() {
    all_rest(THIRD, [1, 7, 75, 300]);
}

#[test]
fn at_half_load_one_box_comes_back_after_the_rest_of_all_endpoints() {
    all_rest(HALF, [1]);
}

#[test]
fn at_half_load_fleets_come_back_after_the_rest_of_all_endpoints() {
    all_rest(HALF, [7, 75, 300]);
}

fn all_rest<const N: usize>(load: f64, sizes: [usize; N]) {
    for (boxes, is_together) in sizes.into_iter().flat_map(|boxes| [(boxes, false), (boxes, true)])
    {
        let model = play(boxes, load, is_together, |endpoints| endpoints);
        // Most of those who were told when to come again find room then.
        let (again, first) = (model.refused_again, model.refused - model.refused_again);
        assert!(again * 4 < first, "{boxes} boxes: {again} of {first} refused again");
    }
}
