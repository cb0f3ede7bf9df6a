//! `standins CASE RECORD`: plays one case of the review, run in the repository after the build of the
//! deploy file. Exit code 0: the rule held; 1: it was broken; 2: the case could not run. With
//! `TROUBLE=0` the disturbance is left out.

mod fleet;
mod http;
mod json;
mod memory;
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
            "memory" => memory::run(&record, folder.clone(), is_disturbed),
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
