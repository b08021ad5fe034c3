//! The sources that the programs of a workspace are built from, and their hash.

use std::fs;
use std::io;
use std::path;

use sha2::Digest as _;

/// Files of the workspace that decide what is built.
const WORKSPACE_FILES: [&str; 2] = ["Cargo.lock", "Cargo.toml"];
/// Folder of packages, beside `ADAPTER`.
const PACKAGES: &str = "crates";
/// The package that speaks to the platform.
const ADAPTER: &str = "platform";
/// What a package is built from; tests are left out.
const PACKAGE_PARTS: [&str; 3] = ["Cargo.toml", "build", "src"];
/// Length of a hash in bytes: enough to tell apart all builds that ever run.
const HASH_BYTES: usize = 6;

/// The sources of a workspace.
#[derive(Clone, Debug)]
pub struct Sources {
    /// The folder of the workspace.
    workspace: path::PathBuf,
    /// Files, and folders with all files in them; sorted.
    parts: Vec<path::PathBuf>,
}

impl Sources {
    /// Finds the sources of a workspace.
    ///
    /// # Errors
    /// Returns the error of the operating system if the folder of packages can't be read.
    pub fn find(workspace: &path::Path) -> io::Result<Self> {
        let mut packages = vec![workspace.join(ADAPTER)];
        for entry in fs::read_dir(workspace.join(PACKAGES))? {
            packages.push(entry?.path());
        }
        let own = WORKSPACE_FILES.map(|name| workspace.join(name));
        let of_packages =
            packages.iter().flat_map(|package| PACKAGE_PARTS.map(|part| package.join(part)));
        let mut parts: Vec<path::PathBuf> =
            own.into_iter().chain(of_packages).filter(|part| part.exists()).collect();
        parts.sort();
        Ok(Self { workspace: workspace.to_owned(), parts })
    }

    /// Returns the files and folders whose change calls for a new hash.
    pub fn watched(&self) -> &[path::PathBuf] {
        &self.parts
    }

    /// Returns a hash of the paths and contents of all files, in hexadecimal digits.
    ///
    /// # Errors
    /// Returns the error of the operating system if a file can't be read.
    pub fn hash(&self) -> io::Result<String> {
        let mut hash = sha2::Sha256::new();
        for path in self.files()? {
            let name = path.strip_prefix(&self.workspace).unwrap_or(&path).to_string_lossy();
            let content = fs::read(&path)?;
            // With the lengths, no other files have the same bytes.
            hash.update(name.len().to_le_bytes());
            hash.update(name.as_bytes());
            hash.update(content.len().to_le_bytes());
            hash.update(content);
        }
        let digest = hash.finalize();
        Ok(digest.iter().take(HASH_BYTES).map(|byte| format!("{byte:02x}")).collect())
    }

    /// Returns all files, sorted.
    fn files(&self) -> io::Result<Vec<path::PathBuf>> {
        let mut files = Vec::new();
        let mut open = self.parts.clone();
        while let Some(path) = open.pop() {
            if !path.is_dir() {
                files.push(path);
                continue;
            }
            for entry in fs::read_dir(path)? {
                open.push(entry?.path());
            }
        }
        files.sort();
        Ok(files)
    }
}
