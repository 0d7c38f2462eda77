//! Detection of silent members, and agreement on the owner of a key.

use ledger::Incarnation;
use member::{Member, Members};
use proptest::prelude::*;

fn member(name: &str, beat: u64) -> Member {
    Member {
        incarnation: Incarnation::from(name),
        zone: "z".into(),
        region: "r".into(),
        peer: "".into(),
        watched: 0,
        beat,
        stopping: false,
    }
}

#[test]
fn silence_restarts_after_a_disconnection() {
    let (mut members, me) = (Members::default(), Incarnation::from("a.1"));
    members.observe(member("a.1", 1), 0);
    members.observe(member("b.1", 1), 0);
    members.observe(member("b.1", 1), 900);
    assert_eq!(members.silent(&me, 1_000, 1_000), [Incarnation::from("b.1")]);
    members.reset_silence(1_000);
    assert!(members.silent(&me, 1_500, 1_000).is_empty());
    members.observe(member("b.1", 2), 1_900);
    assert!(members.silent(&me, 2_500, 1_000).is_empty());
}

proptest! {
    #[test]
    fn every_key_has_one_owner(count in 1usize..20, key in "[a-z]{1,8}") {
        let mut members = Members::default();
        let names: Vec<String> = (0..count).map(|i| format!("b{i}.1")).collect();
        for name in &names {
            members.observe(member(name, 1), 0);
        }
        let mut ranks: Vec<usize> = names
            .iter()
            .map(|name| members.rank(&key, &Incarnation::from(name.as_str()), 0, 10))
            .collect();
        ranks.sort_unstable();
        prop_assert_eq!(ranks, (0..count).collect::<Vec<_>>());
    }
}
