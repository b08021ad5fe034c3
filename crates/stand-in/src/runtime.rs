//! Runtimes for tests over real sockets.

/// Runs a case on one thread: while the case holds that thread, no other task of its runtime runs.
///
/// # Panics
/// Panics where the machine gives no runtime.
pub fn on_one_thread(case: impl Future<Output = ()>) {
    run(tokio::runtime::Builder::new_current_thread(), case);
}

/// Runs a case on as many threads as there are processors.
///
/// # Panics
/// Panics where the machine gives no runtime.
pub fn on_many_threads(case: impl Future<Output = ()>) {
    run(tokio::runtime::Builder::new_multi_thread(), case);
}

/// Runs a case on a runtime.
fn run(mut builder: tokio::runtime::Builder, case: impl Future<Output = ()>) {
    builder.enable_all().build().expect("a runtime").block_on(case);
}
