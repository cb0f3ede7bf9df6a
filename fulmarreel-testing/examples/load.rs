//! The open-loop load generator as a process. Prints a summary of the run as one line of JSON.
//!
//! `load --node ADDR [--node ADDR ...] --service NAME --path PATH --rate CALLS --seconds S`
//! `[--size BYTES ...] [--prefix NAME] [--timeout-ms MS] [--records FILE]`

use anyhow::Context;
use fulmarreel_testing::load::{Options, Record, run};
use std::{
    io::{BufWriter, Write},
    path::{Path, PathBuf},
    time::Duration,
};

const DEFAULT_TIMEOUT_MS: u64 = 10_000;
const DEFAULT_SIZE_BYTES: usize = 512;

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let mut sizes: Vec<usize> = arguments.values_from_str("--size")?;
    if sizes.is_empty() {
        sizes.push(DEFAULT_SIZE_BYTES);
    }
    let timeout: Option<u64> = arguments.opt_value_from_str("--timeout-ms")?;
    let prefix: Option<String> = arguments.opt_value_from_str("--prefix")?;
    let records: Option<PathBuf> = arguments.opt_value_from_str("--records")?;
    let options = Options {
        nodes: arguments.values_from_str("--node")?,
        service: arguments.value_from_str("--service")?,
        path: arguments.value_from_str("--path")?,
        rate: arguments.value_from_str("--rate")?,
        duration: Duration::from_secs_f64(arguments.value_from_str("--seconds")?),
        sizes,
        prefix: prefix.unwrap_or_else(|| format!("load-{}", std::process::id())),
        timeout: Duration::from_millis(timeout.unwrap_or(DEFAULT_TIMEOUT_MS)),
    };
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
    anyhow::ensure!(!options.nodes.is_empty(), "at least one --node is required");
    let report = smol::block_on(run(options));
    println!("{}", report.summary());
    match records {
        None => Ok(()),
        Some(path) => write_records(&path, &report.records).context("records"),
    }
}

fn write_records(path: &Path, records: &[Record]) -> anyhow::Result<()> {
    let mut file = BufWriter::new(std::fs::File::create(path)?);
    for record in records {
        serde_json::to_writer(&mut file, record)?;
        file.write_all(b"\n")?;
    }
    file.flush()?;
    Ok(())
}
