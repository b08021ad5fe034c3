//! Next incarnations that take a start and are cut off, by what the store's list tells of them and
//! by how often the holder changes.
//!
//! Guards against tasks that run at two places at once. What is known of one incarnation of a
//! worker, or of its list entry, was taken for a fact about every incarnation under its id, and the
//! task was started elsewhere before the lease that the next incarnation had granted was over.

mod restarted_worker;
mod silent_worker;
mod sim;

use std::time;

use restarted_worker::{End, Entry, Script};
use wharflane_stand_in::cases;

/// When holders end, in milliseconds after the first order, and how.
const ENDS: [&[(u64, End)]; 9] = [
    &[],
    &[(100, End::Expired)],
    &[(700, End::Killed)],
    &[(700, End::Released)],
    &[(2_600, End::Expired)],
    &[(5_000, End::Released)],
    &[(700, End::Killed), (1_600, End::Killed)],
    &[(700, End::Released), (900, End::Released)],
    &[(2_600, End::Killed), (5_000, End::Released)],
];
/// When the worker is cut off from the hosts, in milliseconds after it took the start.
const CUT_AFTER_MS: [u64; 3] = [0, 900, 2_500];
/// When the cut ends, in milliseconds after the first order.
const CUT_ENDS_MS: [Option<u64>; 2] = [None, Some(9_000)];

/// Returns all scripts in which the list tells the same of the worker.
fn scripts(entry: Entry) -> Vec<Script> {
    let mut scripts = Vec::new();
    for longest in [time::Duration::from_secs(6), silent_worker::LONGEST_LEASE] {
        for (answered, answers_only) in [(false, false), (false, true), (true, false), (true, true)]
        {
            for cut_after_ms in CUT_AFTER_MS {
                for cut_ends_ms in CUT_ENDS_MS {
                    scripts.extend(ENDS.map(|ends| Script {
                        longest,
                        answered,
                        cut_after_ms,
                        answers_only,
                        cut_ends_ms,
                        entry,
                        ends,
                    }));
                }
            }
        }
    }
    scripts
}

/// Checks that the task never runs on two workers at once, and that it doesn't wait for ever for a
/// worker that stays cut off.
fn check(entries: &[Entry]) {
    let scripts: Vec<Script> = entries.iter().copied().flat_map(scripts).collect();
    let mut failures = Vec::new();
    for script in &scripts {
        let outcome = restarted_worker::play(*script);
        let waits = outcome.moved.is_none() && script.cut_ends_ms.is_none();
        if !outcome.twice.is_zero() || waits {
            failures.push(format!("{outcome:?} after {script:?}"));
        }
    }
    let shown = failures.iter().take(5).map(String::as_str).collect::<Vec<_>>().join("\n");
    assert!(failures.is_empty(), "{} of {} scripts: {shown}", failures.len(), scripts.len());
}

cases! {
    // The former incarnation's entry is as old as the last thing that the holder heard.
    no_task_runs_twice_while_a_former_entry_stays => check(&[Entry::Stays]),
    // No entry is taken for no worker.
    no_task_runs_twice_though_a_former_entry_goes_for_good => {
        check(&[320, 1_000, 2_200, 3_300].map(Entry::Goes));
    },
    // The entry of the former incarnation comes back from a store that had lost it.
    no_task_runs_twice_though_a_former_entry_goes_and_returns => {
        check(&[Entry::GoesAndReturns(1_000, 3_000), Entry::GoesAndReturns(1_000, 8_000)]);
    },
    // What the holder knows of the next incarnation it hands on.
    no_task_runs_twice_once_a_next_entry_comes => {
        check(&[400, 1_500].map(Entry::NextComes));
    },
    // The entry of the next incarnation goes, also before the next holder has read it.
    no_task_runs_twice_though_a_next_entry_comes_and_goes => {
        let gone = [(400, 700), (400, 2_600), (2_000, 4_500)];
        check(&gone.map(|(come_ms, gone_ms)| Entry::NextComesAndGoes(come_ms, gone_ms)));
    },
}
