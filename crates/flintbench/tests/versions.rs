//! The simulation of versions depends on its seed only.

use std::process::Command;

fn table(seed: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_flintbench"));
    command.args(["versions", "--boxes", "7", "--seeds", "1", "--seed", seed]);
    let output = command.output().expect("flintbench runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("the table is text")
}

#[test]
fn the_same_seed_gives_the_same_table() {
    let first = table("3");
    assert!(first.lines().count() > 100, "{first}");
    assert_eq!(first, table("3"));
    assert_ne!(first, table("4"));
}
