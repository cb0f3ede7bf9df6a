//! Documents, moves and verdicts: from the store by a few watchers, by pushes to everyone else, and
//! by comparison with random peers.

mod accept;
mod duty;
mod exchange;
mod push;
mod seed;
mod slot;
mod stream;
mod watch;

pub use accept::accept;
pub(crate) use exchange::compare;

use crate::state::State;
use fulmarreel_store::etcd::{Client, Options};
use std::{sync::Arc, time::Duration};

/// How long one call to the store may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps this node's documents up to date until the process ends.
pub async fn run(state: Arc<State>) {
    let peers = state.settings.store.iter().map(ToString::to_string);
    let client = Arc::new(Client::new(Options {
        peers: peers.collect(),
        timeout: STORE_TIMEOUT,
    }));
    let telling = Arc::clone(&state);
    crate::runtime::spawn(async move { push::run(&telling).await });
    let (seeding, seeds) = (Arc::clone(&state), Arc::clone(&client));
    crate::runtime::spawn(async move { seed::run(&seeding, &seeds).await });
    duty::run(&state, &client).await;
}
