//! A usage error exits with code 2, unlike a daemon that failed to start.

use std::process::Command;

#[test]
fn usage_errors_exit_with_2_and_point_to_help() {
    for args in [&["--nothing"][..], &["--settings"], &["--gateway", "too much"]] {
        let output = Command::new(env!("CARGO_BIN_EXE_flintstalld")).args(args).output();
        let output = output.expect("flintstalld can be run");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {stderr}");
        assert!(stderr.contains("flintstalld --help"), "{args:?}: {stderr}");
    }
    let help = Command::new(env!("CARGO_BIN_EXE_flintstalld")).arg("--help").output();
    assert_eq!(help.expect("flintstalld can be run").status.code(), Some(0));
}
