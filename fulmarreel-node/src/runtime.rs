//! The executor that every task of the process shares with the HTTP library.

use async_global_executor::GlobalExecutorConfig;
use std::future::Future;

/// Worker threads; a node's instance belongs to its target.
const WORKER_THREADS: usize = 1;

/// Starts the worker threads; to be called once, before any task.
pub fn init() {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(WORKER_THREADS)
        .with_max_threads(WORKER_THREADS);
    async_global_executor::init_with_config(config);
}

/// Runs a task on its own.
pub fn spawn<F>(future: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    async_global_executor::spawn(future).detach();
}

/// Runs a future to its end on the current thread.
pub fn block_on<F: Future>(future: F) -> F::Output {
    async_global_executor::block_on(future)
}
