//! The boxes of a run: starts, kills, stops and signals their daemons.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use rustix::process::Signal;
use snafu::{ResultExt, Snafu};
use standin::Link;
use tokio::time::Instant;

use crate::{
    call::Incarnation,
    daemon::{self, Daemon},
    life::{End, Life, Trace},
    run::callers::Shared,
};

/// The daemon's setting `notice_ms`: time after SIGTERM in which it still accepts requests.
const NOTICE_MS: u64 = 600;
/// The daemon's setting `stop_ms`: longest time of a planned stop.
const STOP_MS: u64 = 6_000;
/// The same for boxes whose planned stops run out of time: shorter than the longest streams.
const SHORT_STOP_MS: u64 = 900;
/// Longest wait for a daemon to exit.
pub const EXIT_TIMEOUT: Duration = Duration::from_secs(12);

/// Failure of the test environment.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A daemon cannot be started or signalled.
    #[snafu(display("{source}"))]
    Daemon { source: daemon::Error },
    /// A file or folder cannot be created, or no port can be bound.
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
}

/// A box: its current daemon, if it runs, and its link to the store.
pub struct Node {
    settings: PathBuf,
    pub link: Link,
    starts: usize,
    pub daemon: Option<Daemon>,
}

/// All boxes, and what happened to them; see [`crate::verdict::Evidence`].
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub stopped: BTreeMap<Incarnation, (Instant, Instant)>,
    pub short_stops: BTreeMap<Incarnation, Instant>,
    pub interrupted: BTreeSet<Incarnation>,
    pub trace: Trace,
    shared: Arc<Shared>,
    store: SocketAddr,
    program: PathBuf,
    folder: PathBuf,
    layout: Layout,
}

/// What the boxes of a run differ in from those of others.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// Whether each box has an address of its own.
    pub has_addresses: bool,
    /// Whether planned stops of every other box run out of time.
    pub has_short_stops: bool,
}

impl Layout {
    /// Whether the planned stops of a box run out of time.
    fn is_short(self, box_index: usize) -> bool {
        self.has_short_stops && box_index.is_multiple_of(2)
    }
}

/// Address from which a box opens connections, in runs in which it is cut off from endpoints.
pub fn box_address(box_index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, box_index as u8 + 1)
}

impl Fleet {
    /// A fleet without boxes.
    pub fn new(
        shared: Arc<Shared>,
        store: SocketAddr,
        program: PathBuf,
        folder: PathBuf,
        layout: Layout,
    ) -> Fleet {
        Fleet {
            nodes: Vec::new(),
            stopped: BTreeMap::new(),
            short_stops: BTreeMap::new(),
            interrupted: BTreeSet::new(),
            trace: Trace::new(Instant::now()),
            shared,
            store,
            program,
            folder,
            layout,
        }
    }

    pub async fn add_box(&mut self, box_index: usize) -> Result<(), Error> {
        let settings = self.folder.join(format!("box-{box_index}.jsonc"));
        let link =
            Link::bind(self.store, Duration::ZERO).await.context(FileSnafu { path: &settings })?;
        let text = format!(
            r#"{{
                "box": "box-{box_index}", "zone": "z{zone}",
                "listen": {{
                    "callers": "127.0.0.1:0", "ready": "127.0.0.1:0",
                    "operators": "127.0.0.1:0", "peers": "{address}:0"
                }},
                "store": {{ "address": "{store}", "timeout_ms": 500 }},
                "limits": {{ "notice_ms": {NOTICE_MS}, "stop_ms": {stop_ms} }},
            }}"#,
            zone = box_index % 2,
            stop_ms = if self.layout.is_short(box_index) { SHORT_STOP_MS } else { STOP_MS },
            address = if self.layout.has_addresses {
                box_address(box_index)
            } else {
                Ipv4Addr::LOCALHOST
            },
            store = link.address(),
        );
        std::fs::write(&settings, text).context(FileSnafu { path: &settings })?;
        self.nodes.push(Node { settings, link, starts: 0, daemon: None });
        self.start(box_index).await
    }

    /// Starts the daemon of a box.
    async fn start(&mut self, box_index: usize) -> Result<(), Error> {
        let node = &mut self.nodes[box_index];
        node.starts += 1;
        let log = self.folder.join(format!("box-{box_index}.{}.log", node.starts));
        let incarnation = Incarnation { box_index, number: node.starts };
        self.trace.lives.insert(incarnation, Life::new(Instant::now()));
        let daemon = Daemon::spawn(&self.program, &node.settings, &log).await;
        let daemon = daemon.context(DaemonSnafu)?;
        self.shared.accepting.lock()[box_index] = Some((daemon.callers(), incarnation));
        node.daemon = Some(daemon);
        Ok(())
    }

    pub fn incarnation(&self, box_index: usize) -> Incarnation {
        Incarnation { box_index, number: self.nodes[box_index].starts }
    }

    pub async fn start_if_down(&mut self, box_index: usize) -> Result<(), Error> {
        match self.nodes[box_index].daemon {
            Some(_) => Ok(()),
            None => self.start(box_index).await,
        }
    }

    /// Sends a signal to the daemon of a box, if it runs.
    pub fn signal(&mut self, box_index: usize, signal: Signal) -> Result<(), Error> {
        let Some(daemon) = &self.nodes[box_index].daemon else { return Ok(()) };
        daemon.signal(signal).context(DaemonSnafu)?;
        let incarnation = self.incarnation(box_index);
        let life = self.trace.lives.get_mut(&incarnation);
        match life {
            Some(life) if signal == Signal::STOP => life.suspended.set(true, Instant::now()),
            Some(life) if signal == Signal::CONT => life.suspended.set(false, Instant::now()),
            Some(_) | None => {}
        }
        Ok(())
    }

    pub async fn kill(&mut self, box_index: usize) {
        let incarnation = self.incarnation(box_index);
        if let Some(mut daemon) = self.nodes[box_index].daemon.take() {
            self.interrupted.insert(incarnation);
            self.shared.accepting.lock()[box_index] = None;
            let at = Instant::now();
            // May fail if the daemon has already exited.
            let _ = daemon.signal(Signal::KILL);
            if daemon.wait_exit(EXIT_TIMEOUT).await {
                let exited = daemon.exit_moment().await;
                self.end(incarnation, exited.map_or((at, End::Killed), |at| (at, End::Exited)));
            } else {
                self.end(incarnation, (at, End::Killed));
            }
        }
    }

    /// Removes the daemon of a box that was stopped; it is killed if it has not exited.
    pub async fn remove(&mut self, box_index: usize, has_exited: bool) {
        let incarnation = self.incarnation(box_index);
        if let Some(mut daemon) = self.nodes[box_index].daemon.take() {
            let exited = if has_exited { daemon.exit_moment().await } else { None };
            let killed = (Instant::now(), End::Killed);
            self.end(incarnation, exited.map_or(killed, |at| (at, End::Exited)));
        }
    }

    /// Notes the end of an incarnation; it is noted once.
    fn end(&mut self, incarnation: Incarnation, end: (Instant, End)) {
        if let Some(life) = self.trace.lives.get_mut(&incarnation) {
            life.ended.get_or_insert(end);
        }
    }

    /// Cuts the link of a box to the store, or mends it.
    pub fn set_cut(&mut self, box_index: usize, cut: bool) {
        self.nodes[box_index].link.set_cut(cut);
        self.trace.cut.entry(box_index).or_default().set(cut, Instant::now());
    }

    /// Stalls the open connections of a box to the store.
    pub fn stall(&mut self, box_index: usize) {
        self.nodes[box_index].link.stall_open_connections();
        let incarnation = self.incarnation(box_index);
        if let Some(life) = self.trace.lives.get_mut(&incarnation) {
            life.stalled.push(Instant::now());
        }
    }

    /// Begins a planned stop; returns the incarnation, unless the box is down or stopping already.
    /// Shortly before the box rejects requests, callers move to other boxes, as behind a load
    /// balancer.
    pub fn stop(&mut self, box_index: usize) -> Result<Option<Incarnation>, Error> {
        let incarnation = self.incarnation(box_index);
        if self.nodes[box_index].daemon.is_none() || self.stopped.contains_key(&incarnation) {
            return Ok(None);
        }
        let now = Instant::now();
        // Requests sent just before the end of the notice may arrive after it.
        let notice = Duration::from_millis(NOTICE_MS - 200);
        self.stopped.insert(incarnation, (now, now + notice));
        if self.layout.is_short(box_index) {
            self.short_stops.insert(incarnation, now + Duration::from_millis(SHORT_STOP_MS));
        }
        self.signal(box_index, Signal::TERM)?;
        let (stopping, shared) = (box_index, self.shared.clone());
        tokio::spawn(async move {
            tokio::time::sleep(notice).await;
            let mut all = shared.accepting.lock();
            if all[stopping].is_some_and(|(_, running)| running == incarnation) {
                all[stopping] = None;
            }
        });
        Ok(Some(incarnation))
    }

    /// Stops all boxes and waits for their exit.
    pub async fn finish(&mut self) -> Result<(), Error> {
        for box_index in 0..self.nodes.len() {
            self.set_cut(box_index, false);
            let has_exited =
                self.nodes[box_index].daemon.as_ref().is_some_and(Daemon::has_closed_output);
            if has_exited {
                self.remove(box_index, true).await;
            }
            self.signal(box_index, Signal::CONT)?;
            self.signal(box_index, Signal::TERM)?;
        }
        for box_index in 0..self.nodes.len() {
            let incarnation = self.incarnation(box_index);
            if let Some(daemon) = &mut self.nodes[box_index].daemon {
                if !daemon.wait_exit(EXIT_TIMEOUT).await {
                    self.interrupted.insert(incarnation);
                }
                self.end(incarnation, (Instant::now(), End::Run));
            }
        }
        self.trace.until = Instant::now();
        Ok(())
    }
}
