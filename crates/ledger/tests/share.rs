//! Totals between a keeper and a box, whatever becomes of the messages.

use ledger::Share;
use proptest::prelude::*;

/// What happens to a pair.
#[derive(Debug, Clone)]
enum Step {
    /// The keeper passes tokens on.
    Give(u64),
    /// The box uses tokens.
    Spend(u64),
    /// The box gives tokens back.
    Return(u64),
    /// One of the messages sent so far reaches the box.
    ToBox(usize),
    /// One of the messages sent so far reaches the keeper.
    ToKeeper(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1u64..100).prop_map(Step::Give),
        (1u64..100).prop_map(Step::Spend),
        (1u64..100).prop_map(Step::Return),
        (0usize..64).prop_map(Step::ToBox),
        (0usize..64).prop_map(Step::ToKeeper),
    ]
}

proptest! {
    #[test]
    fn every_token_is_counted_at_least_once(steps in prop::collection::vec(step(), 0..80)) {
        let (mut keeper, mut holder) = (Share::default(), Share::default());
        let (mut to_box, mut to_keeper) = (vec![0], vec![Share::default()]);
        // Free in the keeper's account by what was given back, and in the box's.
        let (mut back, mut here, mut used) = (0, 0, 0);
        for step in steps {
            match step {
                Step::Give(tokens) => {
                    keeper.given += tokens;
                    to_box.push(keeper.given);
                }
                Step::Spend(tokens) => {
                    let spent = holder.spend(tokens);
                    (here, used) = (here - spent, used + spent);
                    to_keeper.push(holder);
                }
                Step::Return(tokens) => {
                    let returned = tokens.min(holder.outstanding());
                    holder.returned += returned;
                    here -= returned;
                    to_keeper.push(holder);
                }
                Step::ToBox(which) => here += holder.receive(to_box[which % to_box.len()]),
                Step::ToKeeper(which) => {
                    let news = keeper.receive_report(to_keeper[which % to_keeper.len()]);
                    back += news.expect("a word of this pair fits").returned;
                }
            }
            prop_assert_eq!(here, holder.outstanding());
            prop_assert!(used + here + back <= keeper.given);
            prop_assert!(used + here <= keeper.used + keeper.outstanding());
        }
    }
}

#[test]
fn totals_that_do_not_fit_change_nothing() {
    let mut keeper = Share { given: 100, used: 40, ..Share::default() };
    let before = keeper;
    for told in [
        Share { used: 101, ..Share::default() },
        Share { used: 60, returned: 41, ..Share::default() },
        Share { used: u64::MAX, returned: 1, ..Share::default() },
    ] {
        assert_eq!(keeper.receive_report(told), None, "{told:?}");
        assert_eq!(keeper, before);
    }
}
