//! The project's daemon as a process, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{free_address, record::Record};

/// Program of the deploy file.
const PROGRAM: &str = "target/release/flintstalld";

/// A box.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub operators: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    record: Record,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a box as the template of the deploy file fills them in, and starts it at the
    /// repository's root.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Daemon {
        let (callers, ready, operators, peers) =
            (free_address(), free_address(), free_address(), free_address());
        let text = format!(
            r#"{{
  "box": "{name}",
  "zone": "{zone}",
  "regions": {{ "{zone}": "izmir" }},
  "listen": {{
    "callers": "{callers}",
    "ready": "{ready}",
    "operators": "{operators}",
    "peers": "{peers}"
  }},
  "machine": {{ "cores": 0.25, "link_mbps": 1000.0 }},
  "store": {{ "address": "{store}", "max_age_ms": 2000 }},
  "log": {{ "level": "info" }}
}}
"#
        );
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text).expect("settings can be written");
        let log = folder.join(format!("{name}.log"));
        let record = record.clone();
        let mut daemon = Daemon {
            name: name.into(),
            callers,
            ready,
            operators,
            settings,
            log,
            record,
            child: None,
        };
        daemon.run();
        daemon
    }

    /// Starts the process; again, if it ended.
    pub fn run(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(PROGRAM)
            .args(["--gateway", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("{PROGRAM} does not start: {error}"));
        self.record.add(format!("box {}: started as process {}", self.name, child.id()));
        self.child = Some(child);
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by name, as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        self.record.add(format!("box {}: SIG{name}", self.name));
        let sent = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal can be sent");
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let ended = child.try_wait().ok().flatten();
        self.record.add(format!("box {}: SIGKILL (ended before: {ended:?})", self.name));
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Whether the process has ended by itself or by a signal.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().ok().flatten().is_some())
    }

    /// Waits until the box says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if crate::client::get(self.ready, "/ready") == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether something listens at the address for callers.
    pub fn is_listening(&self) -> bool {
        TcpStream::connect_timeout(&self.callers, Duration::from_millis(200)).is_ok()
    }

    /// The lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder that is removed in the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
