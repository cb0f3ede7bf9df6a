//! Distribution of documents, rollout states and verdicts: a few watchers read them from the store,
//! pushes bring them to all other nodes, and comparisons between random peers repair what pushes
//! missed.

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

/// Timeout of one request to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps this node's documents, rollout states and verdicts up to date until the process ends.
pub async fn run(state: Arc<State>) {
    let peers = state.settings.store.iter().map(ToString::to_string);
    let client = Arc::new(Client::new(Options {
        peers: peers.collect(),
        operation_timeout: STORE_TIMEOUT,
    }));
    let push_state = Arc::clone(&state);
    crate::runtime::spawn(async move { push::run(&push_state).await });
    let (seed_state, seed_client) = (Arc::clone(&state), Arc::clone(&client));
    crate::runtime::spawn(async move { seed::run(&seed_state, &seed_client).await });
    duty::run(&state, &client).await;
}
