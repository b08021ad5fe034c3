//! Runtimes for tests over real sockets.

/// Runs a test case on a single-threaded runtime; while the case blocks the thread, no other task
/// of the runtime runs.
///
/// # Panics
/// Panics if the runtime can't be created.
pub fn on_one_thread(case: impl Future<Output = ()>) {
    run(tokio::runtime::Builder::new_current_thread(), case);
}

/// Runs a test case on as many threads as there are processors.
///
/// # Panics
/// Panics if the runtime can't be created.
pub fn on_many_threads(case: impl Future<Output = ()>) {
    run(tokio::runtime::Builder::new_multi_thread(), case);
}

/// Runs a test case on the runtime that `builder` builds.
fn run(mut builder: tokio::runtime::Builder, case: impl Future<Output = ()>) {
    builder.enable_all().build().expect("a runtime").block_on(case);
}
