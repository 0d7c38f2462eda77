//! The experiments by name.

use crate::{
    capacity,
    cli::Options,
    exit::Code,
    herd, money, path, plot,
    report::{self, Report},
    serve, slopes,
};

/// One experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Experiment {
    /// Added latency and requests per core.
    Path,
    /// A zone loses everyone else and the platform.
    Partition,
    /// Boxes die with requests under way.
    Crash,
    /// A box freezes, is sealed, and wakes up.
    Pause,
    /// The platform is down.
    Outage,
    /// Writes land, but their answers are lost.
    LostAnswers,
    /// Callers send each request many times at once.
    RetryStorm,
    /// Budgets run out and are topped up and lowered meanwhile.
    TopUp,
    /// All of it together.
    AllAtOnce,
    /// See its line in `flintbench list`.
    MixedLoad,
    /// See its line in `flintbench list`.
    DrainEndpoint,
    /// See its line in `flintbench list`.
    RollingRestart,
    /// See its line in `flintbench list`.
    ConfigRace,
    /// See its line in `flintbench list`.
    Steady,
    /// See its line in `flintbench list`.
    Herd,
    /// What each mechanism costs as it grows.
    Slopes,
    /// The letter's size from measured slopes.
    Capacity,
}

impl Experiment {
    const ALL: [Experiment; 17] = [
        Experiment::Path,
        Experiment::Partition,
        Experiment::Crash,
        Experiment::Pause,
        Experiment::Outage,
        Experiment::LostAnswers,
        Experiment::RetryStorm,
        Experiment::TopUp,
        Experiment::AllAtOnce,
        Experiment::MixedLoad,
        Experiment::DrainEndpoint,
        Experiment::RollingRestart,
        Experiment::ConfigRace,
        Experiment::Steady,
        Experiment::Herd,
        Experiment::Slopes,
        Experiment::Capacity,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Experiment::Path => "path",
            Experiment::Partition => "partition",
            Experiment::Crash => "crash",
            Experiment::Pause => "pause",
            Experiment::Outage => "outage",
            Experiment::LostAnswers => "lost-answers",
            Experiment::RetryStorm => "retry-storm",
            Experiment::TopUp => "top-up",
            Experiment::AllAtOnce => "all-at-once",
            Experiment::MixedLoad => "mixed-load",
            Experiment::DrainEndpoint => "drain-endpoint",
            Experiment::RollingRestart => "rolling-restart",
            Experiment::ConfigRace => "config-race",
            Experiment::Steady => "steady",
            Experiment::Herd => "herd",
            Experiment::Slopes => "slopes",
            Experiment::Capacity => "capacity",
        }
    }

    fn about(self) -> &'static str {
        match self {
            Experiment::Path => "what a router adds to the first byte, and requests per core",
            Experiment::Partition => "a zone loses all other boxes and the platform",
            Experiment::Crash => "boxes die with requests under way and start again",
            Experiment::Pause => "a box freezes, is sealed, and wakes up",
            Experiment::Outage => "the platform is down for everyone",
            Experiment::LostAnswers => "writes land, but their answers are lost",
            Experiment::RetryStorm => "each request is sent ten times at once to all boxes",
            Experiment::TopUp => "a budget runs out, is topped up and lowered meanwhile",
            Experiment::AllAtOnce => "cuts, crashes, freezes, outages and lost answers together",
            Experiment::MixedLoad => "pings and chats alone, then beside long prompts",
            Experiment::DrainEndpoint => "an endpoint leaves under load",
            Experiment::RollingRestart => "every router is stopped by plan and started again",
            Experiment::ConfigRace => "one resource changes again and again, a box cut off",
            Experiment::Steady => "platform writes against latency at several spacings",
            Experiment::Herd => "eight boxes choose from reports two seconds late",
            Experiment::Slopes => "what each mechanism costs as it grows",
            Experiment::Capacity => "the size to design for, from measured slopes",
        }
    }

    async fn run(self, options: &Options) -> Report {
        match self {
            Experiment::Path => path::run(options).await,
            Experiment::Partition => money::partition(options).await,
            Experiment::Crash => money::crash(options).await,
            Experiment::Pause => money::pause(options).await,
            Experiment::Outage => money::outage(options).await,
            Experiment::LostAnswers => money::lost_answers(options).await,
            Experiment::RetryStorm => money::retry_storm(options).await,
            Experiment::TopUp => money::top_up(options).await,
            Experiment::AllAtOnce => money::all_at_once(options).await,
            Experiment::MixedLoad => serve::mixed_load(options).await,
            Experiment::DrainEndpoint => serve::drain_endpoint(options).await,
            Experiment::RollingRestart => serve::rolling_restart(options).await,
            Experiment::ConfigRace => serve::config_race(options).await,
            Experiment::Steady => money::steady(options).await,
            Experiment::Herd => herd::run(options),
            Experiment::Slopes => slopes::run(options).await,
            Experiment::Capacity => capacity::run(),
        }
    }
}

/// Runs the experiment of the options.
pub fn run(options: &Options) -> Result<Code, String> {
    if options.version {
        println!("flintbench {}", env!("CARGO_PKG_VERSION"));
        return Ok(Code::Success);
    }
    if let Some(file) = &options.figures {
        return plot::draw_file(file, options.plot.as_deref()).map(|()| Code::Success);
    }
    let name = options.experiment.as_deref().unwrap_or("list");
    if name == "list" {
        for experiment in Experiment::ALL {
            println!("{:<14} {}", experiment.name(), experiment.about());
        }
        return Ok(Code::Success);
    }
    let found = Experiment::ALL.into_iter().find(|experiment| experiment.name() == name);
    let experiment =
        found.ok_or_else(|| format!("no experiment `{name}`; `flintbench list` names them"))?;
    if experiment == Experiment::Capacity && !options.json {
        print!("{}", capacity::table());
        return Ok(Code::Success);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start the runtime: {error}"))?;
    let report = runtime.block_on(experiment.run(options));
    runtime.shutdown_background();
    report::print(experiment.name(), &report, options)
}
