//! Runs the client against a stand-in platform and checks output and exit codes.

use std::process::Command;

use standin::Platform;

/// A stand-in platform and a scratch file for the client.
struct TestEnv {
    platform: Platform,
    file: std::path::PathBuf,
}

struct Output {
    code: i32,
    out: String,
    err: String,
}

impl TestEnv {
    async fn open(name: &str) -> TestEnv {
        let file = std::env::temp_dir().join(format!("flintstall-{}-{name}", std::process::id()));
        TestEnv { platform: Platform::spawn(1).await, file }
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
    }

    /// Runs `flintstall` with these arguments; FILE is replaced by the scratch file's path.
    async fn run(&self, args: &str) -> Output {
        let file = self.file.to_string_lossy().into_owned();
        let args: Vec<String> = args.split(' ').map(|arg| arg.replace("FILE", &file)).collect();
        let mut command = Command::new(env!("CARGO_BIN_EXE_flintstall"));
        command.args(args).env("FLINTSTALL_PLATFORM", self.platform.address());
        let output = tokio::task::spawn_blocking(move || command.output()).await.unwrap().unwrap();
        Output {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8_lossy(&output.stdout).replace(&file, "FILE"),
            err: String::from_utf8_lossy(&output.stderr).replace(&file, "FILE"),
        }
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

const BUDGET: &str =
    r#"{"kind": "budget", "name": "bornova", "spec": {"customer": "dis", "paid": 1000}}"#;

#[tokio::test(flavor = "multi_thread")]
async fn apply_get_and_delete() {
    let env = TestEnv::open("apply").await;
    env.write(BUDGET);
    let check = env.run("check -f FILE").await;
    insta::assert_snapshot!(check.out, @"FILE: 1 resources are valid");
    let dry = env.run("apply --dry-run -f FILE").await;
    assert!(dry.out.starts_with("budget bornova: would change"), "{}", dry.out);
    let applied = env.run("apply -f FILE").await;
    insta::assert_snapshot!(applied.out, @"budget bornova: written as version 1");
    let again = env.run("apply -f FILE").await;
    insta::assert_snapshot!(again.out, @"budget bornova: unchanged");
    let listed = env.run("--output json get budget").await;
    assert!(listed.out.contains("\"paid\":1000"), "{}", listed.out);
    assert_eq!(env.run("delete budget bornova").await.code, 0);
    let gone = env.run("get budget bornova").await;
    assert_eq!(gone.code, 1);
    insta::assert_snapshot!(gone.err, @"[flintstall error]: there is no budget `bornova`");
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_name_the_cause_and_set_the_exit_code() {
    let env = TestEnv::open("mistakes").await;
    env.write(&BUDGET.replace("1000", "-5"));
    let file = env.run("apply -f FILE").await;
    assert_eq!(file.code, 2);
    assert!(file.err.starts_with("[flintstall error]: FILE: line 1: `spec.paid`"), "{}", file.err);
    let kind = env.run("get bugdet").await;
    assert_eq!(kind.code, 2);
    assert!(kind.err.contains("`bugdet` is not a kind; the kinds are"), "{}", kind.err);
    let flag = env.run("--wrong").await;
    assert_eq!(flag.code, 2);
    assert!(flag.err.contains("--wrong"), "{}", flag.err);
    let nothing = env.run("statement bornova").await;
    assert_eq!(nothing.code, 1);
}
