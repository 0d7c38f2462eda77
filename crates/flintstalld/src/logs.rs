//! Setting up `tracing` from the settings.

use router::{LogFormat, LogSettings};
use tracing_subscriber::{EnvFilter, fmt};

/// Starts logging to standard output; time line events are always part of it.
pub fn open(settings: &LogSettings) {
    let filter = EnvFilter::new(format!("{},timeline=info,hyper=warn,h2=warn", settings.level));
    let lines = fmt().with_env_filter(filter);
    match settings.format {
        LogFormat::Human => lines.init(),
        LogFormat::Json => lines.json().init(),
    }
}
