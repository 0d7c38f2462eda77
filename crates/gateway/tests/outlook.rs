//! How long an outage of the store a box prepares for, on a paused clock and with no network.
//!
//! The load: all boxes lose the store for seconds, find it again, and die together moments later. What they
//! hold then is lost, since no witness is left. A day of that kind lost 13% of all that was paid unused:
//! each keeper drew for ten seconds of use with the settlement that ended the outage, and gave back what it
//! had not used 0.7 s later, after its death.

use std::time::Duration;

use gateway::Outlook;
use ledger::{Book, Incarnation, Policy, Settlement, Writer};
use tokio::time::Instant;

const POLICY: Policy =
    Policy { offline_share: 600, online_horizon: 0, offline_horizon: 10, boxes: 1, plenty: 500 };
/// Seconds of use held while no outage was seen.
const CALM_S: u64 = 5;

/// One box, with a book that others write as well.
struct Desk {
    book: Book,
    outlook: Outlook,
    write: u64,
}

impl Desk {
    fn open() -> Desk {
        Desk { book: Book::default(), outlook: Outlook::open(Instant::now()), write: 0 }
    }

    /// A settlement of this box lands; says whether an outage ended with it.
    fn land(&mut self) -> bool {
        self.outlook.tell(&mut self.book, Instant::now());
        self.settle("box-0");
        self.outlook.landed(&self.book, Instant::now())
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
        self.outlook.failed(Instant::now());
        pass(seconds).await;
        (0..others_settle).for_each(|_| self.settle("box-1"));
        self.land()
    }

    /// Seconds of use that this box prepares for.
    fn prepares_s(&self) -> u64 {
        self.outlook.policy(POLICY, CALM_S, &self.book, Instant::now()).offline_horizon
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
    desk.outlook.failed(Instant::now());
    pass(8).await;
    assert_eq!(desk.prepares_s(), 1, "the store is not back for a moment yet");
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
async fn a_box_prepares_for_another_outage_as_long_for_some_time() {
    for (outage_s, prepares_s) in [(2, CALM_S), (6, 9), (20, 10)] {
        let mut desk = Desk::open();
        pass(60).await;
        desk.land();
        assert_eq!(desk.prepares_s(), CALM_S, "none was seen");
        desk.outage(outage_s, 0).await;
        assert_eq!(desk.prepares_s(), 1, "right after it");
        pass(20).await;
        assert_eq!(desk.prepares_s(), prepares_s, "after an outage of {outage_s} s");
        pass(20).await;
        assert_eq!(desk.prepares_s(), CALM_S, "nothing came");
    }
}

/// Of boxes that reach the store while one does not, that one gets tokens.
#[tokio::test(start_paused = true)]
async fn a_box_that_alone_lost_the_store_prepares_for_nothing_more() {
    let mut desk = Desk::open();
    pass(60).await;
    desk.land();
    desk.outage(9, 12).await;
    pass(20).await;
    assert_eq!(desk.prepares_s(), CALM_S);
}

#[tokio::test(start_paused = true)]
async fn a_box_hears_of_an_outage_by_the_book() {
    let mut desk = Desk::open();
    pass(60).await;
    desk.land();
    desk.book.note_outage(desk.book.landed, 6_000);
    desk.land();
    pass(20).await;
    assert_eq!(desk.prepares_s(), 9);
}
