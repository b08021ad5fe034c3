//! Identifies the build of a program, so that its log, its metrics and `--version` tell which one
//! runs.
//!
//! Cargo decides by the times of files and by the version whether a package has to be compiled: with
//! a build folder that was carried over, it can take the program of other sources for that of these.

/// The version of the release.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");
/// Hash of the sources, as they were when the program was built.
pub const SOURCES: &str = env!("WHARFLANE_SOURCES");
/// The target that the program was built for.
pub const TARGET_TRIPLE: &str = env!("WHARFLANE_TARGET");
/// All of these in one line.
pub const DESCRIPTION: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    " (sources ",
    env!("WHARFLANE_SOURCES"),
    ", ",
    env!("WHARFLANE_TARGET"),
    ")"
);
