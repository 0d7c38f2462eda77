//! What boxes hold of a budget together.

use ledger::{Book, Granted, Incarnation, Item, Observed, Policy, Settlement, Writer};

const PAID: u64 = 100_000_000;
const LARGEST: u64 = 20_000;
const POLICY: Policy =
    Policy { offline_share: 400, online_horizon: 0, offline_horizon: 10, boxes: 1 };

fn settle(book: &mut Book, name: usize, write: u64) -> Granted {
    let item = Item {
        customer: "bornova".into(),
        paid: Some((PAID, 1)),
        observed: Observed { largest: LARGEST, peak: LARGEST, ..Observed::default() },
        ..Item::default()
    };
    let settlement = Settlement {
        holder: Incarnation::new(&format!("box-{name}"), 1),
        writer: Writer { write, peer: None, witness: None },
        items: vec![item],
        earlier: Vec::new(),
        retires: false,
        leaves: false,
    };
    book.settle(&settlement, POLICY).remove(0)
}

#[test]
fn all_boxes_together_hold_the_largest_request_once() {
    for boxes in [1, 7, 86] {
        let mut book = Book::default();
        for write in [1, 2] {
            (0..boxes).for_each(|name| drop(settle(&mut book, name, write)));
        }
        let targets = (0..boxes).map(|name| settle(&mut book, name, 3).target);
        let held: u64 = targets.sum();
        assert!((LARGEST * 9 / 10..=LARGEST).contains(&held), "{boxes} boxes hold {held}");
    }
}
