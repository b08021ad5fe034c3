//! Each release has a version of its own.
//!
//! Guards against a build of an earlier release that passes for one of this: cargo compiles nothing
//! where the version is the same and the files look older than the build.

use wharflane_stand_in::cases;

/// The page of all releases, the newest first.
const CHANGELOG: &str = include_str!("../../../CHANGELOG.md");
/// Start of a release in the page.
const HEAD: &str = "## ";
/// What a release says in place of its sources until it is complete.
const UNRELEASED: &str = "unreleased";

/// A release in the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Release {
    /// Its version.
    version: &'static str,
    /// `UNRELEASED`, or what identifies its sources; `None` for releases before hashes.
    sources: Option<&'static str>,
}

/// Returns all releases, the newest first.
fn releases() -> Vec<Release> {
    let heads = CHANGELOG.lines().filter_map(|line| line.strip_prefix(HEAD));
    let release = |head: &'static str| match head.split_once(", ") {
        Some((version, sources)) => Release { version, sources: Some(sources) },
        None => Release { version: head, sources: None },
    };
    heads.map(release).collect()
}

cases! {
    the_newest_release_has_the_version_of_the_workspace => {
        let newest = releases().first().copied().expect("the page has no release");
        assert_eq!(newest.version, wharflane_build::VERSION);
    },
    no_version_is_used_twice => {
        let mut versions: Vec<&str> = releases().iter().map(|release| release.version).collect();
        versions.sort_unstable();
        assert!(versions.windows(2).all(|pair| pair[0] != pair[1]), "{versions:?}");
    },
    a_complete_release_keeps_its_sources => {
        let newest = releases().first().copied().expect("the page has no release");
        let current = format!("sources {}", wharflane_build::SOURCES);
        assert!(
            newest.sources == Some(UNRELEASED) || newest.sources == Some(&current),
            "{} is complete with other sources ({:?}, now {current}): raise `version` in Cargo.toml \
             and add a release to CHANGELOG.md",
            newest.version, newest.sources
        );
    },
}
