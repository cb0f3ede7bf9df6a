//! Entry point of the operators' command line.

use fulmarreel::cli;
use std::{io, process::ExitCode};

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    let environment = cli::Environment {
        store: std::env::var(cli::STORE_VARIABLE).ok(),
        now: cli::now(),
    };
    let exit = cli::run(
        arguments,
        &environment,
        &mut io::stdout(),
        &mut io::stderr(),
    );
    ExitCode::from(exit as u8)
}
