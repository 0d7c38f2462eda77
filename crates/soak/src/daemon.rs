//! A daemon process under test.

use std::{
    net::SocketAddr,
    os::unix::process::ExitStatusExt,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    process::{Child, Command},
    task::JoinHandle,
    time::Instant,
};

/// Longest wait for a daemon to report the address that it listens on.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Failure to start or signal a daemon.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file cannot be created, or the binary cannot be started.
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
    /// The daemon did not report the address that it listens on.
    #[snafu(display("the daemon did not start; see its log {}", log.display()))]
    Start { log: PathBuf },
    /// The daemon cannot be signalled.
    #[snafu(display("cannot signal the daemon: {source}"))]
    Signal { source: rustix::io::Errno },
}

/// A running daemon; it is killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    pid: Pid,
    callers: SocketAddr,
    /// Copies the output; returns when the process closed it.
    output: JoinHandle<Option<Instant>>,
}

impl Daemon {
    /// Starts `program` as a gateway; its output goes to `log`.
    pub async fn spawn(program: &Path, settings: &Path, log: &Path) -> Result<Daemon, Error> {
        let mut child = Command::new(program)
            .arg("--gateway")
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .context(FileSnafu { path: program })?;
        let started = StartSnafu { log };
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32)).context(started)?;
        let out = child.stdout.take().context(started)?;
        let file = tokio::fs::File::create(log).await.context(FileSnafu { path: log })?;
        let (sender, callers) = tokio::sync::oneshot::channel();
        let output = tokio::spawn(copy_output(BufReader::new(out), file, sender));
        let callers = tokio::time::timeout(START_TIMEOUT, callers).await;
        let callers = callers.ok().and_then(Result::ok).context(started)?;
        Ok(Daemon { child, pid, callers, output })
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        kill_process(self.pid, signal).context(SignalSnafu)
    }

    /// Waits for the process to exit; returns whether it did in time.
    pub async fn wait_exit(&mut self, timeout: Duration) -> bool {
        tokio::time::timeout(timeout, self.child.wait()).await.is_ok()
    }

    /// Whether the process closed its output, as at its exit.
    pub fn has_closed_output(&self) -> bool {
        self.output.is_finished()
    }

    /// When a process that exited did so, unless SIGKILL ended it. The moment is that of the end of
    /// its output, since the exit is looked for later.
    pub async fn exit_moment(&mut self) -> Option<Instant> {
        let status = self.child.wait().await;
        let was_killed = status
            .is_ok_and(|status| status.signal() == Some(rustix::process::Signal::KILL.as_raw()));
        if was_killed {
            return None;
        }
        let closed = (&mut self.output).await.ok().flatten();
        Some(closed.unwrap_or_else(Instant::now))
    }
}

/// Copies output to the log, and sends the address from the `started` event. Returns when the output
/// ended; `None` if the log cannot be written.
async fn copy_output(
    out: BufReader<tokio::process::ChildStdout>,
    mut file: tokio::fs::File,
    sender: tokio::sync::oneshot::Sender<SocketAddr>,
) -> Option<Instant> {
    let mut sender = Some(sender);
    let mut lines = out.lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if sender.is_some()
            && let Some(address) = listening_address(&line)
        {
            let _ = sender.take().map(|sender| sender.send(address));
        }
        if file.write_all(line.as_bytes()).await.is_err() || file.write_all(b"\n").await.is_err() {
            return None;
        }
    }
    let closed = Instant::now();
    let _ = file.flush().await;
    Some(closed)
}

fn listening_address(line: &str) -> Option<SocketAddr> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    match line["event"].as_str() {
        Some("started") => line["callers"].as_str()?.parse().ok(),
        _ => None,
    }
}
