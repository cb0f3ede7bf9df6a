//! A relay as a process: `relay --listen ADDR --forward ADDR`.
//!
//! Each line on standard input is a command. `swallow` discards all further bytes of the connections
//! that are open now, for good. A JSON object such as
//! `{"delay_ms": 8, "loss_percent": 1.5, "cut": false}` replaces the other faults; `{}` removes them.

use fulmarreel_testing::relay::{Control, start};
use std::{io::BufRead, net::SocketAddr, sync::Arc};

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let listen: SocketAddr = arguments.value_from_str("--listen")?;
    let forward: SocketAddr = arguments.value_from_str("--forward")?;
    let control = Arc::new(Control::default());
    smol::block_on(start(listen, forward, Arc::clone(&control)))?;
    for line in std::io::stdin().lock().lines() {
        match line?.trim() {
            "swallow" => control.blackhole_open_connections(),
            faults => control.set(serde_json::from_str(faults)?),
        }
    }
    std::thread::park();
    Ok(())
}
