//! Tests of the comparison of source trees, with a script in place of the player program.

use std::fs;
use std::path;

use wharflane_bench::{ablate, compare, player};
use wharflane_stand_in::cases;

/// The player of these tests. It is a file of the source tree, because a file that a test writes
/// may still be open in a child process of another test's thread, and the system refuses to run a
/// file that is open for writing.
const PLAYER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/player.sh");

/// A temporary folder with a journal and source trees.
struct Setup {
    /// Deleted on drop.
    folder: tempfile::TempDir,
}

impl Setup {
    /// Creates trees, each with a file that contains the worth of its days.
    fn new(trees: &[(&str, &str)]) -> Self {
        let folder = tempfile::tempdir().expect("temporary folder is created");
        fs::create_dir(folder.path().join("journal")).expect("journal is created");
        for (name, worth) in trees {
            fs::create_dir(folder.path().join(name)).expect("tree is created");
            fs::write(folder.path().join(name).join("worth"), worth).expect("worth is written");
        }
        Self { folder }
    }

    /// Returns the tree with the given name.
    fn tree(&self, name: &str) -> player::Tree {
        player::Tree { name: name.to_owned(), folder: self.folder.path().join(name) }
    }

    /// Returns a comparison over one day of two deployments, for each of the seeds.
    fn comparison(&self, seeds: &[u64]) -> compare::Comparison {
        let day = |site: &str, seed: &u64| player::Day {
            site: site.into(),
            name: "busy".to_owned(),
            seed: *seed,
        };
        let days = seeds.iter().flat_map(|seed| [day("a.toml", seed), day("b.toml", seed)]);
        compare::Comparison {
            player: player::Player {
                program: PLAYER.into(),
                parallelism: 3,
                note: "a test".to_owned(),
            },
            days: days.collect(),
            journal: self.folder.path().join("journal"),
        }
    }
}

cases! {
    consistent_difference_is_significant => {
        let setup = Setup::new(&[("old", "0.5"), ("new", "0.6")]);
        let comparison = setup.comparison(&[1, 2, 3]);
        let differences =
            comparison.play(&setup.tree("old"), &setup.tree("new")).expect("all days are played");
        assert_eq!(differences.len(), 3);
        for difference in &differences {
            assert!((difference.after - difference.before - 0.1).abs() < 1e-9);
            assert!(difference.is_significant());
            assert!(difference.broken_after.is_empty());
        }
        assert_eq!(differences[2].deployment, None);
        assert_eq!(differences[2].pairs, 6);
    },
    difference_within_two_standard_errors_or_of_one_pair_is_not_significant => {
        let day = |seed| player::Day { site: "a.toml".into(), name: "busy".to_owned(), seed };
        let report = |worth| player::Report { worth, breaks: Default::default() };
        let pairs = [(report(0.5), report(0.6)), (report(0.5), report(0.45))];
        let two_pairs = compare::differences(&[day(1), day(2)], &pairs);
        assert!(!two_pairs[0].is_significant(), "{two_pairs:?}");
        let one_pair = compare::differences(&[day(1)], &pairs[..1]);
        assert_eq!(one_pair[0].standard_error, None);
        assert!(!one_pair[0].is_significant(), "{one_pair:?}");
    },
    broken_rules_are_reported_and_journal_entries_collected => {
        let setup = Setup::new(&[("old", "0.5"), ("new", "0.6")]);
        fs::write(setup.tree("new").folder.join("broken"), "").expect("marker is written");
        let comparison = setup.comparison(&[7]);
        let differences =
            comparison.play(&setup.tree("old"), &setup.tree("new")).expect("all days are played");
        assert_eq!(differences[0].broken_before, 0);
        assert_eq!(differences[0].broken_after, ["a busy seed 7: TWICE"]);
        for name in ["7-old.json", "7-new.json"] {
            assert!(comparison.journal.join(name).exists(), "{name} was not collected");
        }
    },
    missing_report_is_an_error_with_the_output_of_the_player => {
        let setup = Setup::new(&[("old", "0.5"), ("new", "0.6")]);
        fs::write(setup.tree("new").folder.join("silent"), "").expect("marker is written");
        let played = setup.comparison(&[1]).play(&setup.tree("old"), &setup.tree("new"));
        let err = played.expect_err("one side has no report");
        assert!(err.to_string().contains("no day of that name"), "{err}");
    },
    mechanism_is_removed_from_the_copy_and_restored => {
        let setup = Setup::new(&[("whole", "0.6")]);
        let list = setup.folder.path().join("list");
        fs::write(&list, "# a remark\nhalf\tworth\t0.6\t0.3\n").expect("list is written");
        let mechanisms = ablate::read(&list).expect("list is well-formed");
        let mut copy = ablate::TreeCopy::of(&setup.tree("whole")).expect("tree is copied");
        let text = copy.remove(&mechanisms[0]).expect("mechanism is removed");
        let read =
            |folder: &path::Path| fs::read_to_string(folder.join("worth")).expect("worth is read");
        assert_eq!(read(&copy.tree.folder), "0.3");
        assert_eq!(copy.tree.name, "without half");
        assert_eq!(read(&setup.tree("whole").folder), "0.6");
        let again = copy.remove(&mechanisms[0]).expect_err("text to replace is gone");
        assert!(matches!(again, ablate::AblateError::NotUnique { count: 0, .. }), "{again}");
        copy.restore(&mechanisms[0], &text).expect("file is restored");
        assert_eq!(read(&copy.tree.folder), "0.6");
    },
    malformed_list_is_rejected_with_its_line => {
        let setup = Setup::new(&[]);
        let list = setup.folder.path().join("list");
        fs::write(&list, "\nhalf\tworth\t0.6\n").expect("list is written");
        let err = ablate::read(&list).expect_err("a field is missing");
        assert!(matches!(err, ablate::AblateError::MalformedLine { line: 2, .. }), "{err}");
    },
}
