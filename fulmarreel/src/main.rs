//! The operators' command line: `fulmarreel apply --store ADDRESS FILE`.

use anyhow::bail;
use fulmarreel::apply;
use fulmarreel_platform::etcd::{Client, Options};
use std::{path::PathBuf, time::Duration};

/// How long one call to the store may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    match arguments.subcommand()?.as_deref() {
        Some("apply") => run_apply(arguments),
        Some(other) => bail!("unknown command '{other}', expected apply"),
        None => bail!("no command, expected apply"),
    }
}

fn run_apply(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let options = Options {
        peers: vec![arguments.value_from_str("--store")?],
        timeout: STORE_TIMEOUT,
    };
    let path: PathBuf = arguments.free_from_str()?;
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
    let client = Client::new(options);
    let (document, revision) = smol::block_on(apply::apply(&client, &path))?;
    println!("{} applied at revision {revision}", document.service());
    Ok(())
}
