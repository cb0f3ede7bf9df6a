//! Parses arguments, runs the command, and prints its outcome.

mod arguments;
mod exit;
mod json;
mod print;
mod run;
mod table;
mod time;

pub use arguments::{Arguments, Command, STORE_VARIABLE, UsageError};
pub use exit::Exit;
pub use time::now;

use fulmarreel_document::rollout::Timestamp;
use std::{ffi::OsString, io};

/// What a run reads from its process environment.
#[derive(Debug, Clone)]
pub struct Environment {
    /// The value of [`STORE_VARIABLE`].
    pub store: Option<String>,
    /// The current time.
    pub now: Timestamp,
}

/// Runs one command; prints results to `out`, and errors to `err`, one line each.
pub fn run(
    arguments: Vec<OsString>,
    environment: &Environment,
    out: &mut impl io::Write,
    err: &mut impl io::Write,
) -> Exit {
    let arguments = match Arguments::parse(arguments, environment.store.as_deref()) {
        Ok(arguments) => arguments,
        Err(error) => {
            // A failure to write to the error stream cannot be reported anywhere.
            let _ = writeln!(err, "fulmarreel: {error}");
            return Exit::Usage;
        }
    };
    let mut printer = print::Printer {
        json: arguments.json,
        out,
        err,
    };
    match smol::block_on(run::run(&arguments, environment.now, &mut printer)) {
        Ok(exit) => exit,
        Err(error) => {
            let _ = writeln!(err, "fulmarreel: cannot write the result: {error}");
            Exit::Refused
        }
    }
}
