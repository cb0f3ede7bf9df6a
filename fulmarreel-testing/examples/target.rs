//! Runs a fake target: `target --listen ADDR --service NAME --version VERSION [--node ADDR]`
//! `[--slots N] [--executions FILE]`.

use fulmarreel_testing::target::{Options, run};

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let options = Options {
        listen: arguments.value_from_str("--listen")?,
        node: arguments.opt_value_from_str("--node")?,
        service: arguments.value_from_str("--service")?,
        version: arguments.value_from_str("--version")?,
        slots: arguments.opt_value_from_str("--slots")?.unwrap_or(6),
        executions: arguments.opt_value_from_str("--executions")?,
    };
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
    smol::block_on(run(options));
    Ok(())
}
