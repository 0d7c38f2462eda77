//! The newest version wins, in whatever order versions arrive.

use config::{Snapshot, Verdict, validate};
use proptest::prelude::*;
use resource::Kind;

fn source(version: u64) -> String {
    format!(r#"{{"customer": "dis", "paid": {version}}}"#)
}

#[test]
fn an_invalid_source_is_refused_with_a_reason() {
    let verdict =
        validate(Kind::Budget, "b", 4, Some(r#"{"customer": "dis", "paid": -3}"#), Some(3));
    let Verdict::Invalid { reason } = verdict else { panic!("{verdict:?}") };
    assert!(reason.contains("paid"), "{reason}");
}

proptest! {
    #[test]
    fn the_newest_version_is_applied(versions in prop::collection::vec(1u64..40, 1..30)) {
        let mut snapshot = Snapshot::default();
        let mut newest = 0;
        for version in versions {
            let deleted = version % 7 == 0;
            let text = source(version);
            let value = (!deleted).then_some(text.as_str());
            match validate(Kind::Budget, "b", version, value, None) {
                Verdict::Accept(accepted) => {
                    prop_assert_eq!(snapshot.apply(&accepted).unwrap(), version > newest);
                }
                other => prop_assert!(false, "{:?}", other),
            }
            newest = newest.max(version);
            let paid = snapshot.budgets.get("b").map(|budget| budget.paid);
            prop_assert_eq!(paid, (newest % 7 != 0).then_some(newest));
            let again = validate(Kind::Budget, "b", newest, None, Some(newest));
            prop_assert!(matches!(again, Verdict::UpToDate));
        }
    }
}
