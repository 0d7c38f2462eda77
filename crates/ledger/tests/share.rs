//! Totals between a keeper and a box while messages are lost, late, repeated or reordered.

use ledger::Share;
use proptest::prelude::*;

/// One step of a keeper and a box.
#[derive(Debug, Clone)]
enum Step {
    /// The keeper passes tokens on.
    PassOn(u64),
    /// The box uses tokens.
    Spend(u64),
    /// The box returns tokens.
    Return(u64),
    /// One of the messages sent so far reaches the box.
    ToBox(usize),
    /// One of the messages sent so far reaches the keeper.
    ToKeeper(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1u64..100).prop_map(Step::PassOn),
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
        // Free tokens that were returned to the keeper, free tokens of the box, and used tokens.
        let (mut returned_to_keeper, mut free, mut used) = (0, 0, 0);
        for step in steps {
            match step {
                Step::PassOn(tokens) => {
                    keeper.passed_on += tokens;
                    to_box.push(keeper.passed_on);
                }
                Step::Spend(tokens) => {
                    let spent = holder.spend(tokens);
                    (free, used) = (free - spent, used + spent);
                    to_keeper.push(holder);
                }
                Step::Return(tokens) => {
                    let returned = tokens.min(holder.outstanding());
                    holder.returned += returned;
                    free -= returned;
                    to_keeper.push(holder);
                }
                Step::ToBox(which) => free += holder.receive(to_box[which % to_box.len()]),
                Step::ToKeeper(which) => {
                    let delta = keeper.receive_report(to_keeper[which % to_keeper.len()]);
                    returned_to_keeper += delta.expect("totals of this pair fit").returned;
                }
            }
            prop_assert_eq!(free, holder.outstanding());
            prop_assert!(used + free + returned_to_keeper <= keeper.passed_on);
            prop_assert!(used + free <= keeper.used + keeper.outstanding());
        }
    }
}

#[test]
fn excessive_totals_are_ignored() {
    let mut keeper = Share { passed_on: 100, used: 40, ..Share::default() };
    let before = keeper;
    for report in [
        Share { used: 101, ..Share::default() },
        Share { used: 60, returned: 41, ..Share::default() },
        Share { used: u64::MAX, returned: 1, ..Share::default() },
    ] {
        assert_eq!(keeper.receive_report(report), None, "{report:?}");
        assert_eq!(keeper, before);
    }
}
