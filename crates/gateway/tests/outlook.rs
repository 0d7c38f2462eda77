//! How long an outage of the store a box prepares for, on a paused clock and with no network.
//!
//! The load: all boxes lose the store for seconds, find it again, and die together moments later. What they
//! hold then is lost, since no witness is left. A day of that kind lost 13% of all that was paid unused:
//! each keeper drew for ten seconds of use with the settlement that ended the outage, and gave back what it
//! had not used 0.7 s later, after its death.

use std::time::Duration;

use gateway::Forecast;
use ledger::{Book, Incarnation, Policy, Settlement, Writer};
use tokio::time::Instant;

const POLICY: Policy =
    Policy { offline_share: 600, online_horizon: 0, offline_horizon: 10, boxes: 1, scarcity_permille: 500 };

/// Share of what is left that all boxes may hold while no outage was seen, and after one, in thousandths.
const CALM: u64 = POLICY.offline_share;
const AFTER: u64 = 950;

/// One box, with a book that others write as well.
struct Desk {
    book: Book,
    forecast: Forecast,
    write: u64,
}

impl Desk {
    fn open() -> Desk {
        Desk { book: Book::default(), forecast: Forecast::open(Instant::now()), write: 0 }
    }

    /// A settlement of this box lands; says whether an outage ended with it.
    fn land(&mut self) -> bool {
        self.forecast.report_outage(&mut self.book, Instant::now());
        self.settle("box-0");
        self.forecast.landed(&self.book, Instant::now())
    }

    /// A settlement of some box lands.
    fn settle(&mut self, name: &str) {
        self.write += 1;
        let writer = Writer { write: self.write, peer: None, witness: None, witness_at: None };
        let settlement = Settlement {
            holder: Incarnation::new(name, 1),
            writer,
            items: Vec::new(),
            earlier: Vec::new(),
            retires: false,
            leaves: false,
        };
        self.book.settle(&settlement, POLICY);
    }

    /// The store does not answer for so long, while others settle so often.
    async fn outage(&mut self, seconds: u64, others_settle: usize) -> bool {
        self.forecast.failed(Instant::now());
        pass(seconds).await;
        (0..others_settle).for_each(|_| self.settle("box-1"));
        self.land()
    }

    /// Seconds of use that this box prepares for, and the share of what is left that all may hold.
    fn prepares(&self) -> (u64, u64) {
        let policy = self.forecast.policy(POLICY, Instant::now());
        (policy.offline_horizon, policy.offline_share)
    }
}

async fn pass(seconds: u64) {
    tokio::time::advance(Duration::from_secs(seconds)).await;
}

#[tokio::test(start_paused = true)]
async fn the_settlement_that_ends_an_outage_draws_for_a_moment_alone() {
    let mut desk = Desk::open();
    pass(60).await;
    desk.land();
    desk.forecast.failed(Instant::now());
    pass(8).await;
    assert_eq!(desk.prepares().0, 1, "the store is not back for a moment yet");
}

#[tokio::test(start_paused = true)]
async fn an_outage_that_ends_is_told_and_a_short_one_is_none() {
    let mut desk = Desk::open();
    pass(60).await;
    assert!(!desk.land());
    for (seconds, ends) in [(0, false), (1, true), (8, true)] {
        assert_eq!(desk.outage(seconds, 0).await, ends, "{seconds} s");
        assert!(!desk.land(), "it has ended");
    }
}

#[tokio::test(start_paused = true)]
async fn after_an_outage_a_box_prepares_for_another_one_for_some_time() {
    let mut desk = Desk::open();
    pass(60).await;
    desk.land();
    assert_eq!(desk.prepares(), (10, CALM), "none was seen");
    desk.outage(8, 0).await;
    assert_eq!(desk.prepares(), (1, AFTER), "right after it");
    pass(6).await;
    assert_eq!(desk.prepares(), (7, AFTER));
    pass(20).await;
    assert_eq!(desk.prepares(), (10, AFTER));
    pass(20).await;
    assert_eq!(desk.prepares(), (10, CALM), "nothing came");
}

/// Where others reach the store while one box does not, that one gets tokens.
#[tokio::test(start_paused = true)]
async fn a_box_that_alone_lost_the_store_prepares_for_nothing_more() {
    let mut desk = Desk::open();
    pass(60).await;
    desk.land();
    desk.outage(9, 12).await;
    pass(20).await;
    assert_eq!(desk.prepares(), (10, CALM));
}

#[tokio::test(start_paused = true)]
async fn a_box_hears_of_an_outage_by_the_book() {
    let mut desk = Desk::open();
    pass(60).await;
    desk.land();
    desk.book.note_outage(desk.book.landed);
    desk.land();
    pass(20).await;
    assert_eq!(desk.prepares(), (10, AFTER));
}
