//! Runs the fake store: `store --listen ADDR`.

use anyhow::Context;
use fulmarreel_testing::store::FakeEtcd;
use std::net::SocketAddr;

fn main() -> anyhow::Result<()> {
    let addr: SocketAddr = pico_args::Arguments::from_env()
        .value_from_str("--listen")
        .context("--listen ADDR is required")?;
    smol::block_on(async {
        let store = FakeEtcd::start(addr)
            .await
            .with_context(|| format!("listen on {addr}"))?;
        println!("listening on {}", store.address());
        std::future::pending::<()>().await;
        Ok(())
    })
}
