//! Settings are checked as a whole, and docs/SETTINGS.md lists the keys of the code.

use std::fmt::Write as _;

use wharflane_daemon::settings;
use wharflane_stand_in::cases;

/// The operators' page on settings.
const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

/// Returns valid settings followed by further lines.
fn text(more: &str) -> String {
    format!(
        "host = \"entry\"\nhall = \"gent\"\n[listen]\ncaller = \"127.0.0.1:1\"\n\
         operator = \"127.0.0.1:2\"\npeer = \"127.0.0.1:3\"\n\
         [platform]\naddr = \"127.0.0.1:4\"\n{more}"
    )
}

/// Returns the faults of settings as text, one per line.
fn faults(text: &str) -> String {
    let faults = settings::parse(text).err().unwrap_or_default();
    faults.iter().fold(String::new(), |mut all, fault| {
        let _ = writeln!(all, "{fault}");
        all
    })
}

cases! {
    the_page_lists_every_key => {
        let mut rows = 0;
        for number in settings::NUMBERS {
            let (low, high) = (number.range.start(), number.range.end());
            let row = format!(
                "| `{}` | `{}` | {} | {low} to {high} | {} |",
                number.table, number.key, number.default, number.about
            );
            assert!(PAGE.contains(&row), "{row}");
            rows += 1;
        }
        assert_eq!(PAGE.matches("\n| `").count(), rows, "the page lists keys that do not exist");
    },
    defaults_are_within_their_ranges => {
        for number in settings::NUMBERS {
            assert!(number.range.contains(&number.default), "{}", number.key);
        }
        assert_eq!(faults(&text("")), "");
    },
    every_fault_is_named_with_its_line => {
        let found = faults(&text("colour = 1\n[traffic]\nthreads = 0\n[control]\nlease = 3\n"));
        for part in ["line 9: unknown key `colour`", "line 11: `threads` is 0", "line 13: unknown"] {
            assert!(found.contains(part), "{part} in {found}");
        }
    },
    an_address_used_twice_is_a_fault => {
        let found = faults(&text("").replace("127.0.0.1:2", "127.0.0.1:1"));
        assert!(found.contains("`127.0.0.1:1` is used twice"), "{found}");
    },
    a_task_lease_shorter_than_a_change_of_holder_is_a_fault => {
        let found = faults(&text("[control]\nworker_lease_ms = 3000\n"));
        assert!(found.contains("must be at least 7000"), "{found}");
    },
}
