//! Guards the figures that tell a holder that can't keep up from one that lacks room.

use std::time;

use wharflane::job;
use wharflane_daemon::jobs::holder_load;
use wharflane_stand_in::cases;

cases! {
    a_report_covers_a_second_and_the_next_begins_anew => reports(),
    a_pass_counts_apart_from_the_event_that_ran_it => passes(),
    waits_and_calls_have_mean_and_maximum => waits(),
    each_event_has_a_kind => kinds(),
}

/// Returns a duration in milliseconds.
fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Returns the report after a second with the given events of one kind at its start.
fn report(kind: holder_load::Kind, events: &[holder_load::Handling]) -> holder_load::Report {
    let mut load = holder_load::HolderLoad::default();
    for handling in events {
        assert_eq!(load.record(kind, *handling, millis(10)), None);
    }
    let last = holder_load::Handling::default();
    load.record(holder_load::Kind::Other, last, millis(1_010)).expect("a report is due")
}

/// Records an event every 100 ms for 2.5 s.
fn reports() {
    let mut load = holder_load::HolderLoad::default();
    let handling = holder_load::Handling { took: millis(3), ..holder_load::Handling::default() };
    let reports: Vec<_> = (0..=25)
        .filter_map(|at| load.record(holder_load::Kind::Tick, handling, millis(at * 100)))
        .collect();
    let events: Vec<u64> =
        reports.iter().map(|report| report.kind(holder_load::Kind::Tick).events).collect();
    assert_eq!(events, [11, 10]);
    assert_eq!(reports[1].busy(), millis(30));
    assert_eq!(reports[1].lasted, millis(1_000));
}

/// Records two events, one of which ran a pass.
fn passes() {
    let event = holder_load::Handling { took: millis(5), ..holder_load::Handling::default() };
    let pass = holder_load::Handling { passes: 1, took: millis(20), ..event };
    let report = report(holder_load::Kind::Commit, &[event, pass]);
    assert_eq!(report.kind(holder_load::Kind::Commit).busy, millis(5));
    assert_eq!((report.passes, report.passing, report.longest_pass), (1, millis(20), millis(20)));
    assert_eq!(report.busy(), millis(25));
}

/// Records two events that waited and answer calls.
fn waits() {
    let of = |waited, call| holder_load::Handling {
        waited: millis(waited),
        call: millis(call),
        ..holder_load::Handling::default()
    };
    let report = report(holder_load::Kind::Start, &[of(10, 100), of(30, 300)]);
    let starts = report.kind(holder_load::Kind::Start);
    assert_eq!((starts.mean_wait(), starts.longest_wait), (millis(20), millis(30)));
    assert_eq!((starts.mean_call(), starts.longest_call), (millis(200), millis(300)));
}

/// Asks for the kinds of some events; each kind keeps its figures apart.
fn kinds() {
    let tick = job::Event::Tick { wall_ms: 0 };
    assert_eq!(holder_load::Kind::of(&tick), holder_load::Kind::Tick);
    assert_eq!(holder_load::Kind::of(&job::Event::Jobs(Vec::new())), holder_load::Kind::Jobs);
    assert_eq!(holder_load::Kind::of(&job::Event::Leave), holder_load::Kind::Other);
    for (at, kind) in holder_load::Kind::ALL.into_iter().enumerate() {
        assert_eq!(kind as usize, at, "{}", kind.label());
    }
}
