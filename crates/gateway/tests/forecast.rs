//! How long a store outage a box holds tokens for, on a paused clock and without network.
//!
//! Guards against losses when all boxes die right after an outage: a keeper's settlement that ends the outage must not
//! already draw tokens for another long one, since no witness is left to return them.

use std::time::Duration;

use gateway::Forecast;
use ledger::{Book, Incarnation, Policy, Settlement, Writer};
use tokio::time::Instant;

const POLICY: Policy = Policy {
    offline_share: 600,
    online_horizon: 0,
    offline_horizon: Duration::from_secs(10),
    boxes: 1,
    scarcity_permille: 500,
    use_permille: 350,
};

/// Share of the remaining tokens that all boxes may hold, in thousandths: without a recent outage, and after one.
const SHARE_WITHOUT_OUTAGE: u64 = POLICY.offline_share;
const SHARE_AFTER_OUTAGE: u64 = 950;

/// One box, with a book that other boxes also write.
struct Fixture {
    book: Book,
    forecast: Forecast,
    write: u64,
}

impl Fixture {
    fn open() -> Fixture {
        Fixture { book: Book::default(), forecast: Forecast::open(Instant::now()), write: 0 }
    }

    /// Makes a settlement of this box; returns whether it ended an outage.
    fn settle_own(&mut self) -> bool {
        self.forecast.report_outage(&mut self.book, Instant::now());
        self.settle("box-0");
        self.forecast.record_settlement(&self.book, Instant::now())
    }

    /// Makes a settlement of any box.
    fn settle(&mut self, name: &str) {
        self.write += 1;
        let writer = Writer { write: self.write, peer: None, witness: None, witness_at: None };
        let settlement = Settlement {
            holder: Incarnation::new(name, 1),
            writer,
            items: Vec::new(),
            unused_by_earlier: Vec::new(),
            retires: false,
            withholds: false,
            leaves: false,
        };
        self.book.settle(&settlement, POLICY);
    }

    /// Cuts this box off from the store while other boxes settle; returns whether its next settlement ended an outage.
    async fn outage(&mut self, seconds: u64, others_settle: usize) -> bool {
        self.forecast.record_failure(Instant::now());
        advance(seconds).await;
        (0..others_settle).for_each(|_| self.settle("box-1"));
        self.settle_own()
    }

    /// Milliseconds of use that this box holds tokens for, and the share of the remaining tokens that all may hold.
    fn horizon_and_share(&self) -> (u128, u64) {
        let policy = self.forecast.policy(POLICY, Instant::now());
        (policy.offline_horizon.as_millis(), policy.offline_share)
    }
}

async fn advance(seconds: u64) {
    tokio::time::advance(Duration::from_secs(seconds)).await;
}

#[tokio::test(start_paused = true)]
async fn settlement_that_ends_an_outage_draws_little() {
    let mut fixture = Fixture::open();
    advance(60).await;
    fixture.settle_own();
    fixture.forecast.record_failure(Instant::now());
    advance(8).await;
    assert_eq!(fixture.horizon_and_share().0, 250, "the store has not answered yet");
}

#[tokio::test(start_paused = true)]
async fn end_of_an_outage_is_reported_once_unless_it_was_short() {
    let mut fixture = Fixture::open();
    advance(60).await;
    assert!(!fixture.settle_own());
    for (seconds, ends) in [(0, false), (1, true), (8, true)] {
        assert_eq!(fixture.outage(seconds, 0).await, ends, "{seconds} s");
        assert!(!fixture.settle_own(), "the same outage does not end twice");
    }
}

#[tokio::test(start_paused = true)]
async fn outage_raises_the_forecast_for_some_time() {
    let mut fixture = Fixture::open();
    advance(60).await;
    fixture.settle_own();
    assert_eq!(fixture.horizon_and_share(), (10_000, SHARE_WITHOUT_OUTAGE), "no outage so far");
    fixture.outage(8, 0).await;
    assert_eq!(fixture.horizon_and_share(), (250, SHARE_AFTER_OUTAGE), "right after the outage");
    advance(6).await;
    assert_eq!(fixture.horizon_and_share(), (6_250, SHARE_AFTER_OUTAGE));
    advance(20).await;
    assert_eq!(fixture.horizon_and_share(), (10_000, SHARE_AFTER_OUTAGE));
    advance(20).await;
    assert_eq!(fixture.horizon_and_share(), (10_000, SHARE_WITHOUT_OUTAGE), "no further outage");
}

/// A box that alone is cut off can draw tokens from the others.
#[tokio::test(start_paused = true)]
async fn outage_of_one_box_does_not_raise_the_forecast() {
    let mut fixture = Fixture::open();
    advance(60).await;
    fixture.settle_own();
    fixture.outage(9, 12).await;
    advance(20).await;
    assert_eq!(fixture.horizon_and_share(), (10_000, SHARE_WITHOUT_OUTAGE));
}

#[tokio::test(start_paused = true)]
async fn box_learns_of_an_outage_from_the_book() {
    let mut fixture = Fixture::open();
    advance(60).await;
    fixture.settle_own();
    fixture.book.note_outage(fixture.book.landed);
    fixture.settle_own();
    advance(20).await;
    assert_eq!(fixture.horizon_and_share(), (10_000, SHARE_AFTER_OUTAGE));
}
