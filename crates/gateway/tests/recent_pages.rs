//! Pages of bills that are created again after the store came back from an older copy.

use std::time::Duration;

use gateway::{Draft, Recent};
use ledger::{Bill, Ended, Evidence, Incarnation, Page, Part};
use tokio::time::Instant;

/// Far longer than pages are remembered.
const LONG: Duration = Duration::from_secs(3_600);

fn page(bills: &[u64]) -> Page {
    let bill = |n: &u64| Bill {
        key: format!("try-{n}").into(),
        customer: "bornova".into(),
        by: Incarnation::new("box-2", 1),
        n: *n,
        part: Part::Offline,
        tokens: 1,
        ended: Ended::Answered,
        evidence: Evidence::Recorded,
    };
    Page { bills: bills.iter().map(bill).collect() }
}

fn draft(number: u64, bills: &[u64]) -> Draft {
    Draft { log: Incarnation::new("box-1", 1), number, page: page(bills) }
}

/// Guards against bills that are lost, or written twice, where another box has put a page into the place of a lost one.
#[test]
fn bills_on_no_page_any_more_are_returned_once_all_pages_were_found() {
    let mut recent = Recent::default();
    let now = Instant::now();
    for (number, bills) in [(3, &[1, 2][..]), (4, &[3]), (5, &[4])] {
        recent.add(draft(number, bills), 0, now);
    }
    assert_eq!(recent.missing(0), None);
    // The place of page 3 is taken by another box, which wrote bill 4 there.
    let first = recent.missing(1).expect("page 3 may be lost");
    assert_eq!(first.number, 3);
    assert!(recent.record_found(&first, &page(&[9, 4]), 1).is_empty());
    let second = recent.missing(1).expect("page 4 may be lost");
    assert!(recent.record_found(&second, &second.page, 1).is_empty());
    let third = recent.missing(1).expect("page 5 may be lost");
    let lost = recent.record_found(&third, &page(&[]), 1);
    assert_eq!(lost, page(&[1, 2]).bills);
    assert_eq!(recent.missing(1), None);
}

#[test]
fn old_pages_are_forgotten() {
    let mut recent = Recent::default();
    let now = Instant::now();
    recent.add(draft(3, &[1]), 0, now);
    recent.add(draft(4, &[2]), 0, now + LONG);
    assert_eq!(recent.missing(1).map(|draft| draft.number), Some(4));
}
