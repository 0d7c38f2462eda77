//! A router on a thread of its own.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::JoinHandle,
    time::Duration,
};

use ledger::Incarnation;
use resource::Kind;
use router::{Router, Settings};
use timeline::{Event, Log};
use tokio::sync::oneshot;

enum Command {
    Stop(oneshot::Sender<()>),
    Kill,
    Pause(mpsc::Receiver<()>),
    Incarnation(oneshot::Sender<Incarnation>),
    WaitForVersion(u64, oneshot::Sender<()>),
    Version(Kind, String, oneshot::Sender<u64>),
}

/// A router that can be stopped, killed or suspended.
pub struct Node {
    name: Arc<str>,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: Option<SocketAddr>,
    log: Log,
    calls: objects::Calls,
    commands: tokio::sync::mpsc::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
    resume: Option<mpsc::Sender<()>>,
}

struct Started {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: Option<SocketAddr>,
    log: Log,
    calls: objects::Calls,
}

impl Node {
    /// Starts a router on a new thread.
    pub async fn spawn(settings: Settings, seed: u64) -> Node {
        let name = settings.box_name.clone();
        let (commands, receiver) = tokio::sync::mpsc::unbounded_channel();
        let (ready, started) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || run(settings, seed, ready, receiver))
            .expect("a thread can be started");
        let started = started.await.expect("the router starts on loopback");
        Node {
            name,
            callers: started.callers,
            operators: started.operators,
            peers: started.peers,
            log: started.log,
            calls: started.calls,
            commands,
            thread: Some(thread),
            resume: None,
        }
    }

    /// Name of the box.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address for operators: metrics and health.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Address for other boxes.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.peers
    }

    /// The newest events of its log.
    pub fn events(&self) -> Vec<Event> {
        self.log.events()
    }

    /// Counters of its calls to the platform.
    pub fn calls(&self) -> &objects::Calls {
        &self.calls
    }

    /// Its current incarnation; `None` if the router is down.
    pub async fn incarnation(&self) -> Option<Incarnation> {
        let (sender, receiver) = oneshot::channel();
        self.commands.send(Command::Incarnation(sender)).ok()?;
        receiver.await.ok()
    }

    /// Waits until the router has applied all changes up to a version of the platform.
    pub async fn wait_for_version(&self, version: u64) {
        let (sender, receiver) = oneshot::channel();
        if self.commands.send(Command::WaitForVersion(version, sender)).is_ok() {
            let _ = receiver.await;
        }
    }

    /// The applied version of a resource; 0 if there is none.
    pub async fn version(&self, kind: &str, name: &str) -> u64 {
        let Ok(kind) = kind.parse() else { return 0 };
        let (sender, receiver) = oneshot::channel();
        let sent = self.commands.send(Command::Version(kind, name.to_owned(), sender));
        if sent.is_err() {
            return 0;
        }
        receiver.await.unwrap_or(0)
    }

    /// Waits until a version of a resource, or a newer one, is applied.
    pub async fn wait_version(&self, kind: &str, name: &str, version: u64) {
        while !self.is_down() && self.version(kind, name).await < version {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Stops the router as planned, and waits until it has stopped.
    pub async fn stop(&mut self) {
        let (sender, receiver) = oneshot::channel();
        if self.commands.send(Command::Stop(sender)).is_ok() {
            let _ = receiver.await;
        }
        self.join();
    }

    /// Ends the router at once, as a crash would.
    pub fn kill(&mut self) {
        let _ = self.commands.send(Command::Kill);
        self.join();
    }

    /// Suspends the router: blocks its thread, so that no task makes progress.
    pub fn pause(&mut self) {
        let (resume, paused) = mpsc::channel();
        let _ = self.commands.send(Command::Pause(paused));
        self.resume = Some(resume);
    }

    /// Resumes a suspended router.
    pub fn resume(&mut self) {
        self.resume = None;
    }

    /// Whether the router was stopped or killed.
    pub fn is_down(&self) -> bool {
        self.thread.is_none()
    }

    fn join(&mut self) {
        self.resume = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn run(
    settings: Settings,
    seed: u64,
    ready: oneshot::Sender<Started>,
    commands: tokio::sync::mpsc::UnboundedReceiver<Command>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(serve(settings, seed, ready, commands));
    // Ends tasks that are still running, without waiting for them.
    runtime.shutdown_background();
}

async fn serve(
    settings: Settings,
    seed: u64,
    ready: oneshot::Sender<Started>,
    mut commands: tokio::sync::mpsc::UnboundedReceiver<Command>,
) {
    let router = match Router::spawn(settings, seed).await {
        Ok(router) => router,
        Err(error) => {
            eprintln!("{error}");
            return;
        }
    };
    let _ = ready.send(Started {
        callers: router.callers(),
        operators: router.operators(),
        peers: router.peers(),
        log: router.log(),
        calls: router.calls(),
    });
    while let Some(command) = commands.recv().await {
        match command {
            Command::Stop(done) => {
                router.stop().await;
                let _ = done.send(());
                return;
            }
            Command::Kill => return,
            // Blocks the only thread of the runtime, and so the whole box.
            Command::Pause(paused) => drop(paused.recv()),
            Command::Incarnation(answer) => drop(answer.send(router.incarnation())),
            Command::Version(kind, name, answer) => {
                let _ = answer.send(router.version(kind, &name));
            }
            Command::WaitForVersion(version, done) => {
                router.wait_for_version(version).await;
                let _ = done.send(());
            }
        }
    }
}
