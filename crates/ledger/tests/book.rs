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

#[test]
fn a_box_that_retires_stands_in_the_book_until_it_holds_nothing() {
    let mut book = Book::default();
    let held = (1..=2).map(|write| settle(&mut book, 0, write).tokens).sum::<u64>();
    assert!(held > 0, "it draws");
    let holder = Incarnation::new("box-0", 1);
    let mut retire = |write, returned| {
        let item = Item {
            customer: "bornova".into(),
            paid: Some((PAID, 1)),
            returned,
            free: held - returned,
            ..Item::default()
        };
        let settlement = Settlement {
            holder: holder.clone(),
            writer: Writer { write, peer: None, witness: None },
            items: vec![item],
            earlier: Vec::new(),
            retires: true,
            leaves: false,
        };
        let granted = book.settle(&settlement, POLICY).remove(0);
        assert_eq!(granted.tokens, 0, "it draws no more");
        (book.writers.contains_key(&holder), book.ledgers["bornova"].granted())
    };
    assert_eq!(retire(3, held / 2), (true, held - held / 2), "some is still out");
    assert_eq!(retire(4, held - held / 2), (true, 0), "the answer may be lost: read it back");
    assert_eq!(retire(5, 0), (false, 0));
    assert_eq!(retire(5, 0), (false, 0), "again, since its answer was lost");
}
