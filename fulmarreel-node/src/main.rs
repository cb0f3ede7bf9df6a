//! The process in each target instance's slot: `fulmarreel-node --settings FILE`.

use anyhow::Context;
use fulmarreel_node::{run, settings, telemetry};
use std::{io, path::PathBuf, process::ExitCode};

/// Exit code for wrong arguments.
const USAGE: u8 = 2;

/// The arguments.
const HELP: &str = "\
usage: fulmarreel-node --settings FILE [--check-settings]

  --settings FILE     the node's settings, JSON with comments
  --check-settings    check them and end
Exit codes: 0 ended in order, 1 settings refused or an address cannot be bound, 2 usage.
";

/// What the arguments ask for.
enum Request {
    Help,
    Check(PathBuf),
    Run(PathBuf),
}

fn main() -> ExitCode {
    let request = match parse(pico_args::Arguments::from_env()) {
        Ok(request) => request,
        Err(error) => {
            eprintln!("fulmarreel-node: {error}; see --help");
            return ExitCode::from(USAGE);
        }
    };
    match serve(request) {
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
    let path: PathBuf = arguments.value_from_str("--settings")?;
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}");
    Ok(if check_only {
        Request::Check(path)
    } else {
        Request::Run(path)
    })
}

fn serve(request: Request) -> anyhow::Result<()> {
    match request {
        Request::Help => print!("{HELP}"),
        Request::Check(path) => {
            settings::load(&path)?;
        }
        Request::Run(path) => {
            let settings = settings::load(&path)?;
            let output = telemetry::queue::Queue::start(io::stderr()).context("log thread")?;
            telemetry::logger::Logger::new(settings.log.level, output).install()?;
            telemetry::decision::limit(settings.log.decisions_per_second);
            run(settings).context("node")?;
        }
    }
    Ok(())
}
