//! The comparison of trees, played by a script in place of a player.

use std::fs;
use std::path;

use wharflane_bench::{ablate, compare, plays};
use wharflane_stand_in::cases;

/// The player of these tests. It lies here as a file: one that a test writes may still be open in the child of
/// another test's thread as it is started, and is then refused as busy.
const PLAYER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/player.sh");

/// A folder with a player and two trees.
struct Setup {
    /// The folder.
    folder: tempfile::TempDir,
}

impl Setup {
    /// Makes a player and trees with what their days are worth.
    fn new(trees: &[(&str, &str)]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        fs::create_dir(folder.path().join("journal")).expect("a journal");
        for (name, worth) in trees {
            fs::create_dir(folder.path().join(name)).expect("a tree");
            fs::write(folder.path().join(name).join("worth"), worth).expect("its worth");
        }
        Self { folder }
    }

    /// Returns a tree.
    fn tree(&self, name: &str) -> plays::Tree {
        plays::Tree { name: name.to_owned(), folder: self.folder.path().join(name) }
    }

    /// Returns a comparison of the days of two deployments with some seeds.
    fn comparison(&self, seeds: &[u64]) -> compare::Comparison {
        let day = |site: &str, seed: &u64| plays::Day {
            site: site.into(),
            name: "busy".to_owned(),
            seed: *seed,
        };
        let days = seeds.iter().flat_map(|seed| [day("a.toml", seed), day("b.toml", seed)]);
        compare::Comparison {
            player: plays::Player { program: PLAYER.into(), jobs: 3, why: "a test".to_owned() },
            days: days.collect(),
            journal: self.folder.path().join("journal"),
        }
    }
}

cases! {
    a_steady_difference_counts => {
        let setup = Setup::new(&[("old", "0.5"), ("new", "0.6")]);
        let comparison = setup.comparison(&[1, 2, 3]);
        let differences =
            comparison.play(&setup.tree("old"), &setup.tree("new")).expect("days are played");
        assert_eq!(differences.len(), 3);
        for difference in &differences {
            assert!((difference.after - difference.before - 0.1).abs() < 1e-9);
            assert!(difference.counts());
            assert!(difference.broken_after.is_empty());
        }
        assert_eq!(differences[2].deployment, None);
        assert_eq!(differences[2].pairs, 6);
    },
    a_difference_within_the_spread_does_not_count => {
        let day = |seed| plays::Day { site: "a.toml".into(), name: "busy".to_owned(), seed };
        let report = |worth| plays::Report { worth, breaks: Default::default() };
        let pairs = [(report(0.5), report(0.6)), (report(0.5), report(0.45))];
        let two = compare::differences(&[day(1), day(2)], &pairs);
        assert!(!two[0].counts(), "{two:?}");
        let one = compare::differences(&[day(1)], &pairs[..1]);
        assert_eq!(one[0].error, None);
        assert!(!one[0].counts(), "{one:?}");
    },
    broken_rules_and_entries_are_kept => {
        let setup = Setup::new(&[("old", "0.5"), ("new", "0.6")]);
        fs::write(setup.tree("new").folder.join("broken"), "").expect("a mark");
        let comparison = setup.comparison(&[7]);
        let differences =
            comparison.play(&setup.tree("old"), &setup.tree("new")).expect("days are played");
        assert_eq!(differences[0].broken_before, 0);
        assert_eq!(differences[0].broken_after, ["a busy seed 7: TWICE"]);
        for name in ["7-old.json", "7-new.json"] {
            assert!(comparison.journal.join(name).exists(), "{name} is kept");
        }
    },
    a_day_without_a_report_is_an_error => {
        let setup = Setup::new(&[("old", "0.5"), ("new", "0.6")]);
        fs::write(setup.tree("new").folder.join("silent"), "").expect("a mark");
        let played = setup.comparison(&[1]).play(&setup.tree("old"), &setup.tree("new"));
        let err = played.expect_err("one side has no report");
        assert!(err.to_string().contains("no day of that name"), "{err}");
    },
    a_mechanism_is_taken_out_of_a_copy => {
        let setup = Setup::new(&[("whole", "0.6")]);
        let list = setup.folder.path().join("list");
        fs::write(&list, "# a remark\nhalf\tworth\t0.6\t0.3\n").expect("the list");
        let mechanisms = ablate::read(&list).expect("a list");
        let mut copy = ablate::Copy::of(&setup.tree("whole")).expect("a copy");
        let text = copy.take_out(&mechanisms[0]).expect("taken out");
        let read = |folder: &path::Path| fs::read_to_string(folder.join("worth")).expect("a worth");
        assert_eq!(read(&copy.tree.folder), "0.3");
        assert_eq!(copy.tree.name, "without half");
        assert_eq!(read(&setup.tree("whole").folder), "0.6");
        let again = copy.take_out(&mechanisms[0]).expect_err("the text is gone");
        assert!(matches!(again, ablate::AblateError::NotOnce { times: 0, .. }), "{again}");
        copy.put_back(&mechanisms[0], &text).expect("put back");
        assert_eq!(read(&copy.tree.folder), "0.6");
    },
    a_malformed_list_is_refused => {
        let setup = Setup::new(&[]);
        let list = setup.folder.path().join("list");
        fs::write(&list, "\nhalf\tworth\t0.6\n").expect("the list");
        let err = ablate::read(&list).expect_err("a field is missing");
        assert!(matches!(err, ablate::AblateError::Line { line: 2, .. }), "{err}");
    },
}
