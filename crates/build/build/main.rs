//! Passes what identifies this build to the library.

mod sources;

use std::env;
use std::io;
use std::path;

/// Folder of the workspace, as seen from the package.
const WORKSPACE: &str = "../..";

/// Why the build can't be identified.
#[derive(Debug, thiserror::Error)]
enum BuildError {
    /// A source file or folder can't be read.
    #[error("the sources can't be read")]
    Sources(#[from] io::Error),
    /// Cargo did not name the target.
    #[error("no target is named")]
    Target(#[from] env::VarError),
}

fn main() -> Result<(), BuildError> {
    let sources = sources::Sources::find(path::Path::new(WORKSPACE))?;
    for path in sources.watched() {
        println!("cargo::rerun-if-changed={}", path.display());
    }
    println!("cargo::rustc-env=WHARFLANE_SOURCES={}", sources.hash()?);
    println!("cargo::rustc-env=WHARFLANE_TARGET={}", env::var("TARGET")?);
    Ok(())
}
