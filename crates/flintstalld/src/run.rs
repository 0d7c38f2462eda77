//! Runs a router or a gateway until a signal stops it.

use std::path::{Path, PathBuf};

use gateway::Gateway;
use router::{Router, Settings};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::signal::unix::{SignalKind, signal};
use tracing_appender::non_blocking::ErrorCounter;

use crate::{cli::Options, exit::Code, logging};

/// Why the daemon failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// `--settings` is missing.
    #[snafu(display("`--settings FILE` is required; see `--help`"))]
    NoSettings,
    /// The settings file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    /// The settings are invalid.
    #[snafu(display("{}: {source}", path.display()))]
    Settings { path: PathBuf, source: jsonc::Error },
    /// The router did not start.
    #[snafu(display("{source}"))]
    Start { source: router::Error },
    /// The gateway did not start.
    #[snafu(display("{source}"))]
    Gateway { source: gateway::Error },
    /// A call to the operating system failed.
    #[snafu(display("{action}: {source}"))]
    System { action: &'static str, source: std::io::Error },
}

impl Error {
    /// The exit code for this error.
    pub fn code(&self) -> Code {
        match self {
            Error::NoSettings | Error::Read { .. } | Error::Settings { .. } => Code::Usage,
            Error::Start { .. } | Error::Gateway { .. } | Error::System { .. } => Code::Failure,
        }
    }
}

/// Runs the daemon until SIGTERM or SIGINT.
pub fn run(options: &Options) -> Result<(), Error> {
    if options.version {
        println!("flintstalld {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let path = options.settings.clone().context(NoSettingsSnafu)?;
    let text = std::fs::read_to_string(&path).context(ReadSnafu { path: path.clone() })?;
    if options.gateway {
        return run_gateway(&path, &text, options.check);
    }
    let settings = Settings::read(&text).context(SettingsSnafu { path: path.clone() })?;
    if options.check {
        println!("{}: the settings of box `{}` are valid", path.display(), settings.box_name);
        return Ok(());
    }
    logging::init(&settings.log);
    let runtime = tokio::runtime::Runtime::new()
        .context(SystemSnafu { action: "cannot start the runtime" })?;
    runtime.block_on(serve(settings))
}

fn run_gateway(path: &Path, text: &str, check: bool) -> Result<(), Error> {
    let settings = gateway::Settings::read(text).context(SettingsSnafu { path })?;
    if check {
        println!("{}: the settings of box `{}` are valid", path.display(), settings.box_name);
        return Ok(());
    }
    let (_flush_guard, dropped_lines) = logging::init_non_blocking(&settings.log.level);
    // A box has a fraction of one processor; a single thread avoids wake-ups between threads.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(SystemSnafu { action: "cannot start the runtime" })?;
    runtime.block_on(serve_gateway(path, settings, dropped_lines))
}

async fn serve_gateway(
    path: &Path,
    settings: gateway::Settings,
    dropped_lines: ErrorCounter,
) -> Result<(), Error> {
    let signal_context = SystemSnafu { action: "cannot listen for signals" };
    let mut terminate = signal(SignalKind::terminate()).context(signal_context)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(signal_context)?;
    let mut reload = signal(SignalKind::hangup()).context(signal_context)?;
    let gateway = Gateway::spawn(settings, rand::random()).await.context(GatewaySnafu)?;
    gateway.count_dropped_lines(move || dropped_lines.dropped_lines());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reload_settings(path, &gateway),
        }
    }
    gateway.stop().await;
    Ok(())
}

/// Reloads the settings. If the file is unreadable or invalid, the current ones stay in force.
fn reload_settings(path: &Path, gateway: &Gateway) {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            tracing::error!(event = "settings_unreadable", path = %path.display(), %error);
            return;
        }
    };
    match gateway::Settings::read(&text) {
        Ok(settings) => gateway.reload(settings),
        Err(error) => {
            tracing::error!(event = "settings_invalid", path = %path.display(), %error);
        }
    }
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let router = Router::spawn(settings, rand::random()).await.context(StartSnafu)?;
    tracing::info!(callers = %router.callers(), operators = %router.operators(), "listening");
    let signal_context = SystemSnafu { action: "cannot listen for signals" };
    let mut terminate = signal(SignalKind::terminate()).context(signal_context)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(signal_context)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("shutting down gracefully");
    router.stop().await;
    tracing::info!("stopped");
    Ok(())
}
