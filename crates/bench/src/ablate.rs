//! Takes single mechanisms out of a copy of a tree of sources.
//!
//! A list names one mechanism a line: its name, a file, a text that stands there once, and what stands
//! in its place, parted by tabs. Lines that begin with `#` are remarks.

use std::fs;
use std::io;
use std::path;
use std::process;

use crate::plays;

/// A mechanism and the change that takes it out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mechanism {
    /// Its name.
    pub name: String,
    /// The file, from the root of the tree.
    pub file: path::PathBuf,
    /// A text that stands there once.
    pub from: String,
    /// What stands in its place without the mechanism.
    pub to: String,
}

/// A copy of a tree; its folder goes when it is dropped.
#[derive(Debug)]
pub struct Copy {
    /// The tree.
    pub tree: plays::Tree,
    /// Keeps the folder.
    _folder: tempfile::TempDir,
}

/// Why a mechanism could not be taken out.
#[derive(Debug, thiserror::Error)]
pub enum AblateError {
    /// A file could not be read or written.
    #[error("{path}")]
    Io {
        /// Which one.
        path: path::PathBuf,
        /// The reason.
        #[source]
        source: io::Error,
    },
    /// A line of the list has not four fields.
    #[error("line {line} of {path} has not four fields")]
    Line {
        /// The list.
        path: path::PathBuf,
        /// The line, from one.
        line: usize,
    },
    /// The text that is to be replaced does not stand once in its file.
    #[error("{name}: the text stands {times} times in {file}, not once")]
    NotOnce {
        /// The mechanism.
        name: String,
        /// The file.
        file: path::PathBuf,
        /// How often.
        times: usize,
    },
    /// A day could not be played.
    #[error(transparent)]
    Play(#[from] plays::PlayError),
}

/// Reads a list.
///
/// # Errors
/// Returns `AblateError` where the list can't be read or a line is malformed.
pub fn read(list: &path::Path) -> Result<Vec<Mechanism>, AblateError> {
    let text = fs::read_to_string(list).map_err(|source| failed(list, source))?;
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#'));
    lines
        .map(|(at, line)| {
            let fields: Vec<&str> = line.split('\t').collect();
            let &[name, file, from, to] = fields.as_slice() else {
                return Err(AblateError::Line { path: list.to_owned(), line: at + 1 });
            };
            Ok(Mechanism {
                name: name.to_owned(),
                file: file.into(),
                from: from.to_owned(),
                to: to.to_owned(),
            })
        })
        .collect()
}

impl Copy {
    /// Copies a tree with all that was built in it, so that only what changes is built again.
    ///
    /// # Errors
    /// Returns `AblateError` where the tree can't be copied.
    pub fn of(whole: &plays::Tree) -> Result<Self, AblateError> {
        let folder = tempfile::tempdir().map_err(|source| failed(&whole.folder, source))?;
        let copied = process::Command::new("cp")
            .args(["-r", "--preserve=timestamps"])
            .arg(whole.folder.join("."))
            .arg(folder.path())
            .status();
        copied.map_err(|source| failed(&whole.folder, source))?;
        let tree = plays::Tree { name: whole.name.clone(), folder: folder.path().to_owned() };
        Ok(Self { tree, _folder: folder })
    }

    /// Takes a mechanism out, and returns the text of its file as it was.
    ///
    /// # Errors
    /// Returns `AblateError` where the text that is to be replaced does not stand once in the file.
    pub fn take_out(&mut self, mechanism: &Mechanism) -> Result<String, AblateError> {
        let file = self.tree.folder.join(&mechanism.file);
        let text = fs::read_to_string(&file).map_err(|source| failed(&file, source))?;
        let times = text.matches(&mechanism.from).count();
        if times != 1 {
            let (name, file) = (mechanism.name.clone(), mechanism.file.clone());
            return Err(AblateError::NotOnce { name, file, times });
        }
        let changed = text.replace(&mechanism.from, &mechanism.to);
        fs::write(&file, changed).map_err(|source| failed(&file, source))?;
        self.tree.name = format!("without {}", mechanism.name);
        Ok(text)
    }

    /// Puts the text of a mechanism's file back.
    ///
    /// # Errors
    /// Returns `AblateError` where it can't be written.
    pub fn put_back(&self, mechanism: &Mechanism, text: &str) -> Result<(), AblateError> {
        let file = self.tree.folder.join(&mechanism.file);
        fs::write(&file, text).map_err(|source| failed(&file, source))
    }
}

/// Returns the error for a path.
fn failed(path: &path::Path, source: io::Error) -> AblateError {
    AblateError::Io { path: path.to_owned(), source }
}
