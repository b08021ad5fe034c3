//! The hash of the sources tells builds apart.
//!
//! Guards against a program of other sources that passes for one of these: nothing that a process
//! said told them apart.

#[path = "../build/sources.rs"]
mod sources;

use std::fs;
use std::path;
use std::time;

use wharflane_stand_in::cases;

cases! {
    a_changed_file_changes_the_hash => check_change(true, |workspace| {
        write(workspace, "crates/a/src/lib.rs", "two");
    }),
    a_new_file_changes_the_hash => check_change(true, |workspace| {
        write(workspace, "crates/a/src/more/new.rs", "");
    }),
    a_renamed_file_changes_the_hash => check_change(true, |workspace| {
        let from = workspace.join("crates/a/src/lib.rs");
        fs::rename(from, workspace.join("crates/a/src/main.rs")).expect("can't rename a file");
    }),
    a_changed_dependency_changes_the_hash => check_change(true, |workspace| {
        write(workspace, "Cargo.lock", "two");
    }),
    tests_and_pages_dont_change_the_hash => check_change(false, |workspace| {
        write(workspace, "crates/a/tests/a.rs", "two");
        write(workspace, "docs/a.md", "two");
    }),
    times_of_files_dont_change_the_hash => check_change(false, |workspace| {
        let path = workspace.join("crates/a/src/lib.rs");
        let file = fs::File::options().write(true).open(path).expect("can't open a file");
        file.set_modified(time::SystemTime::UNIX_EPOCH).expect("can't set the time of a file");
    }),
    content_moved_to_the_next_file_changes_the_hash => {
        let parted = |first, second| {
            let folder = workspace();
            write(folder.path(), "crates/a/src/a.rs", first);
            write(folder.path(), "crates/a/src/b.rs", second);
            hash(folder.path())
        };
        assert_ne!(parted("one", "two"), parted("onetwo", ""));
    },
    all_parts_of_this_workspace_are_watched => {
        let found = sources::Sources::find(path::Path::new("../..")).expect("no sources");
        for part in ["Cargo.lock", "Cargo.toml", "crates/daemon/src", "platform/src"] {
            let part = path::Path::new("../..").join(part);
            assert!(found.watched().contains(&part), "{part:?}");
        }
    },
}

/// Writes a file of a workspace.
fn write(workspace: &path::Path, name: &str, content: &str) {
    let path = workspace.join(name);
    fs::create_dir_all(path.parent().expect("a file lies in a folder")).expect("no folder");
    fs::write(path, content).expect("can't write a file");
}

/// Creates a workspace of two packages.
fn workspace() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("can't create a folder");
    for name in ["Cargo.lock", "Cargo.toml", "crates/a/src/lib.rs", "platform/src/lib.rs"] {
        write(folder.path(), name, "one");
    }
    folder
}

/// Returns the hash of a workspace.
fn hash(workspace: &path::Path) -> String {
    let found = sources::Sources::find(workspace).expect("no sources");
    found.hash().expect("can't read the sources")
}

/// Checks whether a change of a workspace changes its hash.
fn check_change(expected: bool, change: impl FnOnce(&path::Path)) {
    let folder = workspace();
    let before = hash(folder.path());
    change(folder.path());
    assert_eq!(hash(folder.path()) != before, expected);
}
