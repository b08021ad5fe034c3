//! Ablation: removes one mechanism at a time from a copy of a source tree.
//!
//! A list has one mechanism per line, as four fields separated by tabs: its name, a file, a text
//! that occurs exactly once in the file, and the replacement. Lines that begin with `#` are
//! comments.

use std::fs;
use std::io;
use std::path;
use std::process;

use crate::player;

/// A mechanism and the text replacement that disables it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mechanism {
    /// The name shown in the table.
    pub name: String,
    /// The file, relative to the root of the tree.
    pub file: path::PathBuf,
    /// The text to replace, which occurs exactly once in the file.
    pub pattern: String,
    /// The replacement text, which disables the mechanism.
    pub replacement: String,
}

/// A copy of a source tree in a temporary folder, which is deleted on drop.
#[derive(Debug)]
pub struct TreeCopy {
    /// The copied tree.
    pub tree: player::Tree,
    /// Deletes the folder on drop.
    _folder: tempfile::TempDir,
}

/// Why a mechanism could not be removed or measured.
#[derive(Debug, thiserror::Error)]
pub enum AblateError {
    /// A file could not be read or written.
    #[error("cannot read or write {path}")]
    Io {
        /// The file or folder.
        path: path::PathBuf,
        /// Error of the file system.
        #[source]
        source: io::Error,
    },
    /// A line of the list does not have four fields.
    #[error("line {line} of {path} does not have four tab-separated fields")]
    MalformedLine {
        /// The path of the list.
        path: path::PathBuf,
        /// The line number, from one.
        line: usize,
    },
    /// The text to replace does not occur exactly once in its file.
    #[error("{name}: the text to replace occurs {count} times in {file} instead of once")]
    NotUnique {
        /// The name of the mechanism.
        name: String,
        /// The file, relative to the root of the tree.
        file: path::PathBuf,
        /// The number of occurrences.
        count: usize,
    },
    /// A day could not be played.
    #[error(transparent)]
    Play(#[from] player::PlayError),
}

/// Reads a list of mechanisms.
///
/// # Errors
/// Returns `AblateError` if the list can't be read or a line is malformed.
pub fn read(list: &path::Path) -> Result<Vec<Mechanism>, AblateError> {
    let text = fs::read_to_string(list).map_err(|source| io_error(list, source))?;
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#'));
    lines
        .map(|(at, line)| {
            let fields: Vec<&str> = line.split('\t').collect();
            let &[name, file, pattern, replacement] = fields.as_slice() else {
                return Err(AblateError::MalformedLine { path: list.to_owned(), line: at + 1 });
            };
            Ok(Mechanism {
                name: name.to_owned(),
                file: file.into(),
                pattern: pattern.to_owned(),
                replacement: replacement.to_owned(),
            })
        })
        .collect()
}

impl TreeCopy {
    /// Copies a tree with its build output, so that only changed files are built again.
    ///
    /// # Errors
    /// Returns `AblateError` if the copy can't be started.
    pub fn of(original: &player::Tree) -> Result<Self, AblateError> {
        let folder = tempfile::tempdir().map_err(|source| io_error(&original.folder, source))?;
        let copied = process::Command::new("cp")
            .args(["-r", "--preserve=timestamps"])
            .arg(original.folder.join("."))
            .arg(folder.path())
            .status();
        copied.map_err(|source| io_error(&original.folder, source))?;
        let tree = player::Tree { name: original.name.clone(), folder: folder.path().to_owned() };
        Ok(Self { tree, _folder: folder })
    }

    /// Removes a mechanism and returns the previous text of its file, for `restore`.
    ///
    /// # Errors
    /// Returns `AblateError` if the file can't be read or written, or if the text to replace does
    /// not occur exactly once.
    pub fn remove(&mut self, mechanism: &Mechanism) -> Result<String, AblateError> {
        let file = self.tree.folder.join(&mechanism.file);
        let text = fs::read_to_string(&file).map_err(|source| io_error(&file, source))?;
        let count = text.matches(&mechanism.pattern).count();
        if count != 1 {
            let (name, file) = (mechanism.name.clone(), mechanism.file.clone());
            return Err(AblateError::NotUnique { name, file, count });
        }
        let changed = text.replace(&mechanism.pattern, &mechanism.replacement);
        fs::write(&file, changed).map_err(|source| io_error(&file, source))?;
        self.tree.name = format!("without {}", mechanism.name);
        Ok(text)
    }

    /// Restores the file of a mechanism from the text that `remove` returned.
    ///
    /// # Errors
    /// Returns `AblateError` if the file can't be written.
    pub fn restore(&self, mechanism: &Mechanism, text: &str) -> Result<(), AblateError> {
        let file = self.tree.folder.join(&mechanism.file);
        fs::write(&file, text).map_err(|source| io_error(&file, source))
    }
}

/// Returns the error for a failed access to a path.
fn io_error(path: &path::Path, source: io::Error) -> AblateError {
    AblateError::Io { path: path.to_owned(), source }
}
