//! `standins CASE RECORD`: plays one case of the review, run in the repository after the build of the
//! deploy file. Exit code 0: the rule held; 1: it was broken; 2: the case could not run. With
//! `TROUBLE=0` the disturbance is left out.

mod few;
mod fleet;
mod http;
mod json;
mod rollout;
mod store;

use std::{env, fs, process::exit};

fn main() {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins CASE RECORD");
        exit(2);
    };
    let is_disturbed = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = env::temp_dir().join(format!("fulmarreel-review-{}", std::process::id()));
    let result = fs::create_dir_all(&folder)
        .and_then(|()| fleet::Record::create(&record))
        .and_then(|record| match case.as_str() {
            "few" => few::run(&record, folder.clone(), is_disturbed),
            "rollout" => rollout::run(&record, folder.clone(), is_disturbed.then_some(404)),
            // For comparison: failures that the system looks for.
            "rollout-500" => rollout::run(&record, folder.clone(), is_disturbed.then_some(500)),
            _ => Ok(2),
        });
    let _ = fs::remove_dir_all(&folder);
    match result {
        Ok(code) => exit(code),
        Err(error) => {
            eprintln!("{case}: {error}");
            exit(2);
        }
    }
}
