//! What one box holds of a budget and whom it gives it to, on a paused clock.

use std::{sync::Arc, time::Duration};

use gateway::{Participation, Funds, Table};
use ledger::{Book, Granted, Incarnation, Item, Policy, Writer};
use platform::{config::Config, played};

const PAID: u64 = 1_000_000;
const POLICY: Policy =
    Policy { offline_share: 500, online_horizon: 0, offline_horizon: 10, boxes: 1, scarcity_permille: 500 };

/// One box and the book.
struct Desk {
    funds: Funds,
    name: Incarnation,
    write: u64,
    book: Book,
}

impl Desk {
    /// A box that has settled twice: it holds its first tokens.
    fn open() -> Desk {
        let funds = Funds::open();
        let text = played::config(1, PAID, &["stream"]);
        funds.configure(&Table::new(Config::read(&text).expect("valid")));
        let name = Incarnation::new("box-0", 1);
        let mut desk = Desk { funds, name, write: 0, book: Book::default() };
        desk.settle();
        desk.settle();
        desk
    }

    /// One settlement that lands.
    fn settle(&mut self) -> Item {
        self.settle_under(POLICY).0
    }

    /// One settlement that lands, and what it brought.
    fn settle_under(&mut self, policy: Policy) -> (Item, Granted) {
        self.write += 1;
        let writer = Writer { write: self.write, peer: None, witness: None, witness_at: None };
        let settlement = self.funds.plan(&self.name, writer, Participation::Active);
        let granted = self.book.settle(&settlement, policy);
        let at = settlement.items.iter().position(|item| item.customer == customer());
        let at = at.expect("the customer's budget is settled");
        let mine = (settlement.items[at].clone(), granted[at].clone());
        self.funds.landed(&settlement, granted);
        mine
    }
}

fn customer() -> Arc<str> {
    "bornova".into()
}

async fn pass(time: Duration) {
    tokio::time::advance(time).await;
}

#[tokio::test(start_paused = true)]
async fn the_use_of_a_box_that_just_started_is_not_taken_for_less_than_it_is() {
    let mut desk = Desk::open();
    for _ in 0..30 {
        let hold = desk.funds.try_hold(&customer(), 100).expect("enough is held");
        hold.settle(100);
        pass(Duration::from_millis(100)).await;
        desk.settle();
    }
    let rate = desk.settle().observed.rate;
    assert!((850..=1_150).contains(&rate), "1,000 tokens a second for 3 s, taken for {rate}");
}

#[tokio::test(start_paused = true)]
async fn what_a_box_holds_grows_with_the_time_for_which_the_store_has_answered() {
    let mut desk = Desk::open();
    for _ in 0..60 {
        let hold = desk.funds.try_hold(&customer(), 100).expect("enough is held");
        hold.settle(100);
        pass(Duration::from_millis(100)).await;
        desk.settle();
    }
    let mut target = |answered_s| desk.settle_under(POLICY.reachable_for(answered_s)).1.target;
    let at_first = target(0);
    // It uses 1,000 tokens a second.
    for (answered_s, more_s) in [(1, 1), (4, 4), (60, 9)] {
        let more = target(answered_s) - at_first;
        assert_eq!((more + 500) / 1_000, more_s, "{answered_s} s after the store came back");
    }
}

/// A box stops by plan while the store is away, and other boxes go on asking it for tokens. What it had
/// promised to keep before it promised everything bound it no more once its witness had refused an ordinary
/// promise after the last one: it lent tokens that its next life got back from the witness, and two customers
/// got 797 and 1,216 tokens more than they had paid.
#[tokio::test(start_paused = true)]
async fn nothing_is_spent_or_lent_once_everything_was_promised() {
    let mut desk = Desk::open();
    for _ in 0..40 {
        let hold = desk.funds.try_hold(&customer(), 100).expect("enough is held");
        hold.settle(100);
        pass(Duration::from_millis(100)).await;
        desk.settle();
    }
    let before = desk.funds.promise().expect("there is something to keep");
    desk.funds.promise_accepted(&before);
    let all = desk.funds.promise_all();
    assert!(all[&customer()] > before[&customer()], "it kept less before: {before:?} of {all:?}");
    // The witness refuses an ordinary promise that comes after the last one.
    drop(desk.funds.request_release(&customer(), 1_000));
    assert_eq!(desk.funds.promise(), None, "the last one was made");
    desk.funds.promise_accepted(&before);
    desk.funds.clear_promise();
    let to = Incarnation::new("box-1", 1);
    assert_eq!(desk.funds.lend(&customer(), 1_000, &desk.name, &to), None);
    assert!(desk.funds.try_hold(&customer(), 100).is_none(), "nothing is used either");
}

/// What a box holds beyond its need is lost with it, and is out of reach of the others: it goes back with a
/// settlement that is written anyway, also when it is not worth one of its own.
#[tokio::test(start_paused = true)]
async fn what_is_held_beyond_need_goes_back_with_any_settlement() {
    let mut desk = Desk::open();
    for _ in 0..60 {
        let hold = desk.funds.try_hold(&customer(), 100).expect("enough is held");
        hold.settle(100);
        pass(Duration::from_millis(100)).await;
        desk.settle();
    }
    // It uses 1,000 tokens a second, and needs less of them ahead now.
    let target = desk.settle_under(POLICY.reachable_for(4)).1.target;
    assert!(!desk.funds.is_due(), "no settlement is made for this");
    let (item, _) = desk.settle_under(POLICY.reachable_for(4));
    assert!(item.returned > 0, "{} are held, {target} needed", item.free);
    assert!(item.free <= target + target / 5, "{} are held, {target} needed", item.free);
}
