//! The process in each target instance's slot: `fulmarreel-node --settings FILE`.

use anyhow::Context;
use fulmarreel_node::{run, settings};
use std::path::PathBuf;

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let check_only = arguments.contains("--check-settings");
    let path: PathBuf = arguments.value_from_str("--settings")?;
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
    let settings = settings::load(&path).with_context(|| format!("settings {}", path.display()))?;
    if check_only {
        return Ok(());
    }
    simplelog::SimpleLogger::init(log::LevelFilter::Info, simplelog::Config::default())?;
    run(settings).context("node")
}
