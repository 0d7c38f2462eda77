//! A book that came back from an older copy: whatever was lost, no more is spent than was paid.
//!
//! Guards against tokens that are granted a second time because the copy lacks the first grant.

use std::sync::Arc;

use ledger::{Book, Incarnation, Item, Landed, Observed, Policy, Settlement, Writer};
use proptest::{prelude::*, test_runner::RngSeed};

const PAID: u64 = 10_000;
const BOXES: usize = 3;

/// A box with its tokens, and the settlements that it remembers.
struct Holder {
    name: Incarnation,
    write: u64,
    free: u64,
    charged: u64,
    history: Vec<Landed>,
}

struct Model {
    book: Book,
    era: u64,
    holders: Vec<Holder>,
    spent: u64,
    withholds: bool,
}

#[derive(Debug, Clone)]
enum Step {
    /// A box spends a part of what it holds, in percent.
    Spend { at: usize, percent: u64 },
    /// A box settles, with requests of this size waiting.
    Settle { at: usize, waiting: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..BOXES, 0..=100_u64).prop_map(|(at, percent)| Step::Spend { at, percent }),
        (0..BOXES, 0..2_000_u64).prop_map(|(at, waiting)| Step::Settle { at, waiting }),
    ]
}

fn policy() -> Policy {
    Policy {
        offline_share: 600,
        online_horizon: 0,
        offline_horizon: std::time::Duration::from_secs(10),
        boxes: 1,
        scarcity_permille: 500,
        use_permille: 350,
    }
}

impl Model {
    fn start() -> Model {
        let holder = |n| Holder {
            name: Incarnation::new(&format!("box-{n}"), 1),
            write: 0,
            free: 0,
            charged: 0,
            history: Vec::new(),
        };
        let holders = (0..BOXES).map(holder).collect();
        Model { book: Book::default(), era: 0, holders, spent: 0, withholds: false }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Spend { at, percent } => {
                let holder = &mut self.holders[at];
                let tokens = holder.free * percent / 100;
                holder.free -= tokens;
                holder.charged += tokens;
                self.spent += tokens;
            }
            Step::Settle { at, waiting } => self.settle(at, waiting),
        }
    }

    fn settle(&mut self, at: usize, waiting: u64) {
        let holder = &mut self.holders[at];
        holder.write += 1;
        let customer: Arc<str> = "bornova".into();
        let item = Item {
            customer,
            paid: Some((PAID, 1)),
            charged: std::mem::take(&mut holder.charged),
            free: holder.free,
            waiting,
            observed: Observed { rate: 100, largest: 500, peak: 500, unspent: 0 },
            ..Item::default()
        };
        let writer = Writer { write: holder.write, peer: None, witness: None, witness_at: None };
        let settlement = Settlement {
            holder: holder.name.clone(),
            writer,
            items: vec![item],
            unused_by_earlier: Vec::new(),
            retires: false,
            withholds: self.withholds,
            leaves: false,
        };
        self.book.note_era(self.era);
        let returned = self.book.returned;
        for landed in &mut holder.history {
            if landed.is_missing_after(returned) {
                self.book.restore(landed);
                (landed.era, landed.landed) = (self.era, self.book.landed + 1);
            }
        }
        let granted = self.book.settle(&settlement, policy());
        holder.free += granted[0].tokens;
        let landed = self.book.landed;
        holder.history.push(Landed { settlement, granted, era: self.era, landed });
    }

    /// The store comes back from a copy, and each box writes again what the copy lacks before any box draws.
    fn return_from(&mut self, copy: Book) {
        self.book = copy;
        self.era += 1;
        self.withholds = true;
        (0..BOXES).for_each(|at| self.settle(at, 0));
        self.withholds = false;
    }

    fn held(&self) -> u64 {
        self.holders.iter().map(|holder| holder.free).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(1_000) })]

    #[test]
    fn no_more_is_spent_than_was_paid_after_returns_from_copies(
        before in prop::collection::vec(step(), 0..20),
        lost in prop::collection::vec(step(), 0..20),
        between in prop::collection::vec(step(), 0..20),
        lost_again in prop::collection::vec(step(), 0..20),
        after in prop::collection::vec(step(), 0..40),
        is_same_copy: bool,
    ) {
        let mut model = Model::start();
        before.iter().for_each(|step| model.run(step));
        let copy = model.book.clone();
        lost.iter().for_each(|step| model.run(step));
        model.return_from(copy.clone());
        between.iter().for_each(|step| model.run(step));
        let newer = model.book.clone();
        lost_again.iter().for_each(|step| model.run(step));
        model.return_from(if is_same_copy { copy } else { newer });
        after.iter().for_each(|step| model.run(step));
        (0..BOXES).for_each(|at| model.settle(at, 0));
        prop_assert!(model.spent + model.held() <= PAID, "{} spent, {} held", model.spent, model.held());
        let ledger = &model.book.ledgers["bornova"];
        prop_assert!(ledger.is_sound());
        prop_assert_eq!(ledger.spent, model.spent);
        prop_assert_eq!(ledger.granted(), model.held());
    }
}
