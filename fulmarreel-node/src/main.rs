//! The node, the process that runs beside each target: `fulmarreel-node --settings FILE`, or
//! `fulmarreel-node platform` on the users' platform.

use anyhow::Context;
use fulmarreel_node::{mesh, run, settings, telemetry};
use fulmarreel_platform::Settings;
use log::LevelFilter;
use std::{io, path::PathBuf, process::ExitCode};

/// Exit code for wrong arguments.
const USAGE: u8 = 2;

/// The text of `--help`.
const HELP: &str = "\
usage: fulmarreel-node --settings FILE [--check-settings]
       fulmarreel-node platform [--metrics PORT] [--check-settings]

  --settings FILE     the node's settings, JSON with comments
  --check-settings    check them and end
  platform            run on the users' platform, with the settings file that
                      its variable names, and log to standard output
  --metrics PORT      serve /metrics at that port of the instance too
Exit codes: 0 ended in order, 1 settings refused or an address cannot be bound, 2 usage.
";

/// What the arguments ask for.
enum Request {
    Help,
    Check(PathBuf),
    Run(PathBuf),
    Platform {
        metrics: Option<u16>,
        check_only: bool,
    },
}

fn main() -> ExitCode {
    let request = match parse(pico_args::Arguments::from_env()) {
        Ok(request) => request,
        Err(error) => {
            eprintln!("fulmarreel-node: {error}; see --help");
            return ExitCode::from(USAGE);
        }
    };
    let result = execute(request);
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fulmarreel-node: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut arguments: pico_args::Arguments) -> anyhow::Result<Request> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(Request::Help);
    }
    let check_only = arguments.contains("--check-settings");
    if let Some(command) = arguments.subcommand()? {
        anyhow::ensure!(command == "platform", "unknown command {command:?}");
        let metrics = arguments.opt_value_from_str("--metrics")?;
        let rest = arguments.finish();
        anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}");
        return Ok(Request::Platform {
            metrics,
            check_only,
        });
    }
    let path: PathBuf = arguments.value_from_str("--settings")?;
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}");
    Ok(if check_only {
        Request::Check(path)
    } else {
        Request::Run(path)
    })
}

fn execute(request: Request) -> anyhow::Result<()> {
    match request {
        Request::Help => print!("{HELP}"),
        Request::Check(path) => {
            settings::load(&path)?;
        }
        Request::Run(path) => {
            let settings = settings::load(&path)?;
            let output = telemetry::queue::LogQueue::start(io::stderr()).context("log thread")?;
            telemetry::logger::Logger::new(settings.log.level, output).install()?;
            telemetry::decision::set_limit_per_second(settings.log.decisions_per_second);
            run(settings).context("node")?;
        }
        Request::Platform {
            metrics,
            check_only,
        } => {
            let settings = Settings::load().context("settings")?;
            if !check_only {
                let output =
                    telemetry::queue::LogQueue::start(io::stdout()).context("log thread")?;
                telemetry::logger::Logger::new(LevelFilter::Info, output).install()?;
                mesh::run(settings, metrics).context("node")?;
            }
        }
    }
    Ok(())
}
