//! Runs the store stand-in: `store --listen ADDR`.

use anyhow::Context;
use fulmarreel_testing::store::Stand;
use std::net::SocketAddr;

fn main() -> anyhow::Result<()> {
    let addr: SocketAddr = pico_args::Arguments::from_env()
        .value_from_str("--listen")
        .context("--listen ADDR is wanted")?;
    smol::block_on(async {
        let stand = Stand::start(addr)
            .await
            .with_context(|| format!("listen on {addr}"))?;
        println!("listening on {}", stand.address());
        std::future::pending::<()>().await;
        Ok(())
    })
}
