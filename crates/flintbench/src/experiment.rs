//! Selects and runs experiments by name.

use crate::{
    accounting, capacity, changes,
    cli::Options,
    exit::Code,
    fleet, herd, latency, plot,
    report::{self, Report},
    slopes, versions,
};

/// One experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Experiment {
    /// Latency added by a router, and requests per core.
    Path,
    /// An availability zone is cut off from the other boxes and the platform.
    Partition,
    /// Boxes die with requests in flight.
    Crash,
    /// A box is suspended, is sealed, and resumes.
    Pause,
    /// The platform is down for all boxes.
    Outage,
    /// The platform applies writes, but its responses are lost.
    LostAnswers,
    /// Callers send each request to several boxes concurrently.
    RetryStorm,
    /// Budgets are exhausted, topped up and lowered under load.
    TopUp,
    /// All faults combined.
    AllAtOnce,
    /// Short requests alone, then together with long prompts.
    MixedLoad,
    /// An endpoint leaves under load.
    DrainEndpoint,
    /// Routers are stopped and restarted one after the other under load.
    RollingRestart,
    /// One resource changes repeatedly while a box is cut off.
    ConfigRace,
    /// Platform writes and latency at several intervals of journal writes.
    Steady,
    /// Boxes select endpoints from outdated load reports.
    Herd,
    /// Streams that break are taken up while several software versions serve.
    Versions,
    /// Cost of each mechanism as a function of size.
    Slopes,
    /// Cost of one change at a box, as a function of the size of the fleet.
    Fleet,
    /// Costs of a large deployment, computed from measured slopes.
    Capacity,
}

impl Experiment {
    const ALL: [Experiment; 19] = [
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
        Experiment::Versions,
        Experiment::Slopes,
        Experiment::Fleet,
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
            Experiment::Versions => "versions",
            Experiment::Slopes => "slopes",
            Experiment::Fleet => "fleet",
            Experiment::Capacity => "capacity",
        }
    }

    fn about(self) -> &'static str {
        match self {
            Experiment::Path => "latency added to the first byte, and requests per core",
            Experiment::Partition => "a zone is cut off from all other boxes and the platform",
            Experiment::Crash => "boxes die with requests in flight and restart",
            Experiment::Pause => "a box is suspended, is sealed, and resumes",
            Experiment::Outage => "the platform is down for all boxes",
            Experiment::LostAnswers => "the platform applies writes, but its responses are lost",
            Experiment::RetryStorm => "each request is sent ten times concurrently to all boxes",
            Experiment::TopUp => "budgets are exhausted, topped up and lowered under load",
            Experiment::AllAtOnce => "all faults combined",
            Experiment::MixedLoad => "pings and chats alone, then together with long prompts",
            Experiment::DrainEndpoint => "an endpoint leaves under load",
            Experiment::RollingRestart => "routers are restarted one after the other under load",
            Experiment::ConfigRace => "one resource changes repeatedly, a box is cut off",
            Experiment::Steady => "platform writes and latency by interval of journal writes",
            Experiment::Herd => "boxes select endpoints from outdated load reports",
            Experiment::Versions => "streams are taken up while several versions serve",
            Experiment::Slopes => "cost of each mechanism as a function of size",
            Experiment::Fleet => "cost of one change at a box, by the size of its fleet",
            Experiment::Capacity => "costs of a large deployment, from measured slopes",
        }
    }

    async fn run(self, options: &Options) -> Report {
        match self {
            Experiment::Path => latency::run(options).await,
            Experiment::Partition => accounting::partition(options).await,
            Experiment::Crash => accounting::crash(options).await,
            Experiment::Pause => accounting::pause(options).await,
            Experiment::Outage => accounting::outage(options).await,
            Experiment::LostAnswers => accounting::lost_answers(options).await,
            Experiment::RetryStorm => accounting::retry_storm(options).await,
            Experiment::TopUp => accounting::top_up(options).await,
            Experiment::AllAtOnce => accounting::all_at_once(options).await,
            Experiment::MixedLoad => changes::mixed_load(options).await,
            Experiment::DrainEndpoint => changes::drain_endpoint(options).await,
            Experiment::RollingRestart => changes::rolling_restart(options).await,
            Experiment::ConfigRace => changes::config_race(options).await,
            Experiment::Steady => accounting::steady(options).await,
            Experiment::Herd => herd::run(options),
            Experiment::Versions => versions::run(options),
            Experiment::Slopes => slopes::run(options).await,
            Experiment::Fleet => fleet::run(),
            Experiment::Capacity => capacity::run(),
        }
    }
}

/// Runs the experiment that the options name.
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
        found.ok_or_else(|| format!("unknown experiment `{name}`; see `flintbench list`"))?;
    if experiment == Experiment::Capacity && !options.json {
        print!("{}", capacity::table());
        return Ok(Code::Success);
    }
    if experiment == Experiment::Versions && !options.json {
        print!("{}", versions::table(options));
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
