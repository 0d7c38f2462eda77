//! A usage error exits with code 2, unlike a daemon that failed to start.

use std::process::Command;

#[test]
fn a_wrong_flag_or_value_exits_with_2_and_says_how_to_get_help() {
    for wrong in [&["--nothing"][..], &["--settings"], &["--gateway", "too much"]] {
        let ran = Command::new(env!("CARGO_BIN_EXE_flintstalld")).args(wrong).output();
        let ran = ran.expect("flintstalld can be run");
        let says = String::from_utf8_lossy(&ran.stderr);
        assert_eq!(ran.status.code(), Some(2), "{wrong:?}: {says}");
        assert!(says.contains("flintstalld --help"), "{wrong:?}: {says}");
    }
    let help = Command::new(env!("CARGO_BIN_EXE_flintstalld")).arg("--help").output();
    assert_eq!(help.expect("flintstalld can be run").status.code(), Some(0));
}
