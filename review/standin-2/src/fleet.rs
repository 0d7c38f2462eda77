//! Boxes: the daemon of the deploy file as processes on loopback addresses.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http::Connection, record::Record};

/// A box, running or not.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Address for other boxes.
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A port that is free now, below those that the system gives to outgoing connections, so that none of them takes it
/// while its box is down.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = now.subsec_nanos() as u64 / 1_000 + u64::from(std::process::id()) * 977;
    loop {
        let port = 12_000 + (seed + NEXT.fetch_add(1, Ordering::SeqCst) * 7) % 19_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().expect("a bound address");
        }
    }
}

/// Has a process killed when this one ends, however it does.
fn end_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    unsafe extern "C" {
        fn prctl(option: i32, value: u64, ...) -> i32;
    }
    // A plain system call, which may be made between `fork` and `exec`.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
}

impl Gateway {
    /// Prepares a box with settings as the deploy file's template makes them.
    pub fn new(dir: &Path, name: &str, zone: &str, zones: &[&str], store: SocketAddr) -> Gateway {
        let [callers, ready, operators, peers] = [(); 4].map(|()| free_address());
        let regions: Vec<String> =
            zones.iter().map(|zone| format!("\"{zone}\": \"region\"")).collect();
        let text = format!(
            "{{ \"box\": \"{name}\", \"zone\": \"{zone}\", \"regions\": {{ {} }},\n  \"listen\": {{ \"callers\": \"{callers}\", \"ready\": \"{ready}\", \"operators\": \"{operators}\", \"peers\": \"{peers}\" }},\n  \"machine\": {{ \"cores\": 0.25, \"link_mbps\": 1000.0 }},\n  \"store\": {{ \"address\": \"{store}\", \"max_age_ms\": 2000 }},\n  \"log\": {{ \"level\": \"info\" }} }}\n",
            regions.join(", ")
        );
        let settings = dir.join(format!("{name}.jsonc"));
        fs::write(&settings, text).expect("the temporary folder can be written");
        let log = dir.join(format!("{name}.log"));
        Gateway { name: name.into(), callers, ready, peers, settings, log, child: None }
    }

    /// Starts the daemon as the deploy file does.
    pub fn start(&mut self, program: &Path, record: &Record) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the temporary folder can be written");
        let mut command = Command::new(program);
        command
            .args(["--gateway", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log);
        end_with_parent(&mut command);
        match command.spawn() {
            Ok(child) => {
                record.line(&format!("box {} starts as process {}", self.name, child.id()));
                self.child = Some(child);
            }
            Err(error) => {
                eprintln!("{}: {error}", program.display());
                std::process::exit(2);
            }
        }
    }

    /// Whether the balancer would take it in.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) =
            std::net::TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut connection = Connection::new(stream);
        let asked =
            connection.write(b"GET /ready HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n");
        asked.is_ok() && matches!(connection.read_head(), Ok(Some(head)) if head.status() == 200)
    }

    pub fn wait_ready(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Memory that the process has for itself, in units of 2^20 bytes. Pages of its program are left out, and bytes that it
    /// has not read, which the platform counts too.
    pub fn memory_mb(&self) -> Option<f64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = text.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1_024.0)
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
