//! Sets up logging with `tracing`.

use router::{LogFormat, LogSettings};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, fmt};

/// Starts logging to standard output. Timeline events are logged whatever the configured level.
pub fn init(settings: &LogSettings) {
    let filter = EnvFilter::new(format!("{},timeline=info,hyper=warn,h2=warn", settings.level));
    let builder = fmt().with_env_filter(filter);
    match settings.format {
        LogFormat::Human => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

/// Maximum number of log lines buffered for writing; further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts logging JSON lines to standard output without blocking on a slow reader.
///
/// Buffered lines are flushed when the guard is dropped.
pub fn init_non_blocking(level: &str) -> (WorkerGuard, ErrorCounter) {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let dropped_lines = writer.error_counter();
    let filter = EnvFilter::new(format!("{level},hyper=warn,reqwest=warn"));
    fmt().json().flatten_event(true).with_env_filter(filter).with_writer(writer).init();
    (guard, dropped_lines)
}
