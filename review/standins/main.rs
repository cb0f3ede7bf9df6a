//! Stand-ins and cases of the independent review. `cases NAME FOLDER` plays a case, writes
//! `record.txt` in the folder, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod answers;
mod drain;
mod http;
mod json;
mod machine;
mod record;
mod run;
mod store;

use run::Run;
use std::{path::Path, process::ExitCode};

/// Plays a case; returns whether the rule held.
type Case = fn(&mut Run) -> std::io::Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let case: Case = match name.as_str() {
        "late-heartbeat" => drain::late_heartbeat,
        "resumed-target" => drain::resumed_target,
        "long-body" => answers::long_body,
        "status" => answers::status,
        "stop-in-answer" => answers::stop_in_answer,
        _ => {
            eprintln!("no case {name}");
            return ExitCode::from(2);
        }
    };
    let result = Run::new(Path::new(folder)).and_then(|mut run| {
        let result = case(&mut run);
        match &result {
            Ok(true) => run.record.say("the rule held"),
            Ok(false) => run.record.say("THE RULE WAS BROKEN"),
            Err(error) => run.record.say(&format!("could not run: {error}")),
        }
        result
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
