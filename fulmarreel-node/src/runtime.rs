//! The executor, which all tasks of the process share with the HTTP library.

use async_global_executor::GlobalExecutorConfig;
pub use async_global_executor::Task;
use std::future::Future;

/// Number of worker threads; a single one leaves the instance's processors to the target.
const WORKER_THREADS: usize = 1;

/// Starts the worker threads; must be called once, before any task is spawned.
pub fn init() {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(WORKER_THREADS)
        .with_max_threads(WORKER_THREADS);
    async_global_executor::init_with_config(config);
}

/// Spawns a detached task.
pub fn spawn<F>(future: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    async_global_executor::spawn(future).detach();
}

/// Spawns a task that is cancelled when the result is dropped.
pub fn spawn_task<T, F>(future: F) -> Task<T>
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    async_global_executor::spawn(future)
}

/// Runs a future to completion on the current thread.
pub fn block_on<F: Future>(future: F) -> F::Output {
    async_global_executor::block_on(future)
}
