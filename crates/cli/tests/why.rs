//! Tests `wharflane why` on the logs of three hosts, of which the second takes over the domain.

use std::fs;
use std::process;

use wharflane_stand_in::cases;

/// Logs of three hosts: one job waits for a new holder, one waits because of interference, and one
/// fails because of lost workers.
const LOGS: &[&str] = &[
    "\
-0.1 host-a {\"timestamp\":\"2026-01-01T00:00:00.000000Z\",\"fields\":{\"message\":\"call answered\",\"method\":\"POST\",\"path\":\"/first/00000000000000aa\",\"answer\":\"Accepted\"}}
{\"timestamp\":\"2026-01-01T00:00:00.100000Z\",\"fields\":{\"message\":\"start ordered\",\"task\":\"00000000000000aa.0.0.0\",\"run\":1}}
no line of ours
{\"timestamp\":\"2026-01-01T00:00:01.100000Z\",\"fields\":{\"message\":\"end taken in\",\"task\":\"00000000000000aa.0.0.0\",\"run\":1,\"how\":\"failed\"}}
",
    "\
{\"timestamp\":\"2026-01-01T00:00:04.100000Z\",\"fields\":{\"message\":\"holding the domain\",\"epoch\":2}}
{\"timestamp\":\"2026-01-01T00:00:04.200000Z\",\"fields\":{\"message\":\"start ordered\",\"task\":\"00000000000000aa.0.0.0\",\"run\":2}}
{\"timestamp\":\"2026-01-01T00:00:05.200000Z\",\"fields\":{\"message\":\"end taken in\",\"task\":\"00000000000000aa.0.0.0\",\"run\":2,\"how\":\"done\"}}
{\"timestamp\":\"2026-01-01T00:00:05.200000Z\",\"fields\":{\"message\":\"job completed\",\"job\":\"00000000000000aa\"}}
{\"timestamp\":\"2026-01-01T00:00:06.000000Z\",\"fields\":{\"message\":\"call answered\",\"method\":\"POST\",\"path\":\"/last/00000000000000bb\",\"answer\":\"Accepted\"}}
{\"timestamp\":\"2026-01-01T00:00:08.000000Z\",\"fields\":{\"message\":\"no worker for a task\",\"task\":\"00000000000000bb.0.0.0\",\"harm\":5,\"no_room\":1,\"unavailable\":0}}
{\"timestamp\":\"2026-01-01T00:00:09.000000Z\",\"fields\":{\"message\":\"start ordered\",\"task\":\"00000000000000bb.0.0.0\",\"run\":1}}
{\"timestamp\":\"2026-01-01T00:00:10.000000Z\",\"fields\":{\"message\":\"end taken in\",\"task\":\"00000000000000bb.0.0.0\",\"run\":1,\"how\":\"done\"}}
{\"timestamp\":\"2026-01-01T00:00:10.000000Z\",\"fields\":{\"message\":\"job completed\",\"job\":\"00000000000000bb\"}}
{\"timestamp\":\"2026-01-01T00:00:11.000000Z\",\"fields\":{\"message\":\"call answered\",\"method\":\"POST\",\"path\":\"/last/00000000000000cc\",\"answer\":\"NotTaken { retry_after: 1s }\"}}
{\"timestamp\":\"2026-01-01T00:00:12.000000Z\",\"fields\":{\"message\":\"call answered\",\"method\":\"POST\",\"path\":\"/held/00000000000000ee\",\"answer\":\"Accepted\"}}
{\"timestamp\":\"2026-01-01T00:00:12.100000Z\",\"fields\":{\"message\":\"start deferred until it can be isolated\",\"task\":\"00000000000000ee.0.0.0\",\"reason\":\"NotCalm\"}}
{\"timestamp\":\"2026-01-01T00:00:14.000000Z\",\"fields\":{\"message\":\"start ordered\",\"task\":\"00000000000000ee.0.0.0\",\"run\":4}}
{\"timestamp\":\"2026-01-01T00:00:15.000000Z\",\"fields\":{\"message\":\"end taken in\",\"task\":\"00000000000000ee.0.0.0\",\"run\":4,\"how\":\"done\"}}
{\"timestamp\":\"2026-01-01T00:00:15.000000Z\",\"fields\":{\"message\":\"job completed\",\"job\":\"00000000000000ee\"}}
{\"timestamp\":\"2026-01-01T00:00:16.000000Z\",\"fields\":{\"message\":\"call answered\",\"method\":\"POST\",\"path\":\"/beside/00000000000000ff\",\"answer\":\"Accepted\"}}
{\"timestamp\":\"2026-01-01T00:00:18.000000Z\",\"fields\":{\"message\":\"no worker for a task\",\"task\":\"00000000000000ff.0.0.0\",\"harm\":0,\"no_room\":2,\"unavailable\":1,\"quarantined\":1,\"isolated\":3}}
{\"timestamp\":\"2026-01-01T00:00:19.000000Z\",\"fields\":{\"message\":\"start ordered\",\"task\":\"00000000000000ff.0.0.0\",\"run\":1}}
{\"timestamp\":\"2026-01-01T00:00:20.000000Z\",\"fields\":{\"message\":\"end taken in\",\"task\":\"00000000000000ff.0.0.0\",\"run\":1,\"how\":\"done\"}}
{\"timestamp\":\"2026-01-01T00:00:20.000000Z\",\"fields\":{\"message\":\"job completed\",\"job\":\"00000000000000ff\"}}
",
    "\
{\"timestamp\":\"2026-01-01T00:00:20.500000Z\",\"fields\":{\"message\":\"worker lost under a task\",\"task\":\"0000000000000033.0.0.0\",\"run\":1,\"worker\":\"w1@0\",\"times_unexplained\":1,\"evidence\":\"Unlisted\"}}
{\"timestamp\":\"2026-01-01T00:00:20.501000Z\",\"fields\":{\"message\":\"worker lost under a task\",\"task\":\"0000000000000033.0.0.1\",\"run\":1,\"worker\":\"w2@0\",\"times_unexplained\":1,\"evidence\":\"Unlisted\"}}
{\"timestamp\":\"2026-01-01T00:00:20.502000Z\",\"fields\":{\"message\":\"worker lost under a task\",\"task\":\"0000000000000033.0.0.2\",\"run\":1,\"worker\":\"w3@0\",\"times_unexplained\":1,\"evidence\":\"Unlisted\"}}
{\"timestamp\":\"2026-01-01T00:00:21.000000Z\",\"fields\":{\"message\":\"call answered\",\"method\":\"POST\",\"path\":\"/lost/0000000000000011\",\"answer\":\"Accepted\"}}
{\"timestamp\":\"2026-01-01T00:00:21.100000Z\",\"fields\":{\"message\":\"worker that counted as lost is there again\",\"worker\":\"w1@0\",\"evidence\":\"Unlisted\",\"tasks\":1,\"ago_ms\":900}}
{\"timestamp\":\"2026-01-01T00:00:22.000000Z\",\"fields\":{\"message\":\"start ordered\",\"task\":\"0000000000000011.0.0.0\",\"run\":5,\"worker\":\"w1@0\"}}
{\"timestamp\":\"2026-01-01T00:00:23.000000Z\",\"fields\":{\"message\":\"worker lost under a task\",\"task\":\"0000000000000011.0.0.0\",\"run\":5,\"worker\":\"w1@0\",\"times_unexplained\":5,\"evidence\":\"Unlisted\"}}
{\"timestamp\":\"2026-01-01T00:00:23.000000Z\",\"fields\":{\"message\":\"task freed\",\"task\":\"0000000000000011.0.0.0\",\"run\":5,\"worker\":\"w1@0\",\"why\":\"lease expired\"}}
{\"timestamp\":\"2026-01-01T00:00:23.000000Z\",\"fields\":{\"message\":\"job failed: workers crashed under its task\",\"job\":\"0000000000000011\",\"task\":\"0000000000000011.0.0.0\",\"times_unexplained\":5}}
{\"timestamp\":\"2026-01-01T00:00:24.000000Z\",\"fields\":{\"message\":\"worker that counted as lost is there again\",\"worker\":\"w1@0\",\"evidence\":\"Unlisted\",\"tasks\":1,\"ago_ms\":1000}}
{\"timestamp\":\"2026-01-01T00:00:24.000000Z\",\"fields\":{\"message\":\"worker that counted as lost is there again\",\"worker\":\"w2@0\",\"evidence\":\"Unlisted\",\"tasks\":1,\"ago_ms\":1000}}
{\"timestamp\":\"2026-01-01T00:00:24.100000Z\",\"fields\":{\"message\":\"cancel of an unknown job recorded\",\"job\":\"0000000000000044\",\"version\":7,\"store_ms\":9}}
{\"timestamp\":\"2026-01-01T00:00:24.200000Z\",\"fields\":{\"message\":\"call answered\",\"method\":\"DELETE\",\"path\":\"/late/0000000000000044\",\"answer\":\"NoJob\"}}
{\"timestamp\":\"2026-01-01T00:00:24.300000Z\",\"fields\":{\"message\":\"job stored as cancelled\",\"job\":\"0000000000000044\",\"version\":8,\"cancel_version\":7}}
{\"timestamp\":\"2026-01-01T00:00:25.000000Z\",\"fields\":{\"message\":\"call answered\",\"method\":\"POST\",\"path\":\"/tried/0000000000000022\",\"answer\":\"Accepted\"}}
{\"timestamp\":\"2026-01-01T00:00:26.000000Z\",\"fields\":{\"message\":\"job failed\",\"task\":\"0000000000000022.0.0.0\",\"failures\":3,\"runs\":\"{1, 2, 3}\",\"attempts\":3}}
",
];

/// Runs the command on the logs; returns its exit code and its standard output.
fn why(job: &[&str]) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().expect("can't create a folder");
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_wharflane"));
    command.arg("why").args(job);
    for (at, log) in LOGS.iter().enumerate() {
        let path = folder.path().join(at.to_string());
        fs::write(&path, log).expect("can't write a log");
        command.arg("--log").arg(path);
    }
    let output = command.output().expect("can't run the command");
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Returns the cells of a queue's row, with an empty one before the first bar.
fn cells(queue: &str) -> Vec<String> {
    let (_, table) = why(&[]);
    let row = table
        .lines()
        .find(|line| line.starts_with(&format!("| {queue} ")))
        .expect("the queue has no row");
    row.split('|').map(|cell| cell.trim().to_owned()).collect()
}

cases! {
    the_lines_of_a_job_are_printed_in_order => {
        let (code, printed) = why(&["00000000000000aa"]);
        assert_eq!(code, Some(0));
        let lines: Vec<&str> = printed.lines().collect();
        assert_eq!(lines.len(), 6, "{printed}");
        assert!(lines[5].contains("5200 ms") && lines[5].contains("job completed"), "{printed}");
    },
    // A job that was cancelled before it was stored looked like one that is missing.
    a_cancel_that_came_before_its_job_is_shown => {
        let (code, printed) = why(&["0000000000000044"]);
        assert_eq!(code, Some(0));
        let messages = ["cancel of an unknown job recorded", "NoJob", "job stored as cancelled"];
        let lines: Vec<&str> = printed.lines().collect();
        assert_eq!(lines.len(), messages.len(), "{printed}");
        let shown = lines.iter().zip(messages).all(|(line, message)| line.contains(message));
        assert!(shown, "{printed}");
    },
    an_unknown_job_has_its_own_exit_code => {
        assert_eq!(why(&["00000000000000dd"]).0, Some(4));
    },
    time_without_a_holder_is_counted_as_takeover => {
        // 5.2 s in total: 1 s of work and 3 s without a holder; the remainder is the failed run.
        let cells = cells("/first");
        assert_eq!(cells[6..8], ["5.20", "1.00"], "{cells:?}");
        assert_eq!(cells[11..17], ["3.00", "0.00", "0.00", "0.00", "0.00", "1.20"], "{cells:?}");
    },
    waiting_because_of_interference_is_counted_as_harm => {
        let cells = cells("/last");
        assert_eq!(cells[11..17], ["0.00", "0.00", "0.00", "3.00", "0.00", "0.00"], "{cells:?}");
    },
    // An operator could not tell that a deferred start, or a worker reserved for one, kept a task.
    waiting_because_of_isolation_is_counted_as_isolation => {
        assert_eq!(cells("/held")[17], "2.00", "a start that is deferred");
        assert_eq!(cells("/beside")[17], "3.00", "workers reserved for other suspects");
    },
    refused_submissions_are_counted => {
        let (_, table) = why(&[]);
        assert!(table.contains("submissions turned away: 1"), "{table}");
    },
    // An engineer could not tell a job failed by lost workers from one that goes on.
    a_job_failed_by_lost_workers_counts_as_failed => {
        assert_eq!(cells("/lost")[4], "1", "by lost workers");
        assert_eq!(cells("/tried")[4], "1", "by its attempts");
    },
    // Nor whether a worker that counted as lost was lost: the line of its return names no job.
    the_lines_of_a_job_tell_of_lost_workers_and_of_those_that_live => {
        let (_, printed) = why(&["0000000000000011"]);
        let expected = [
            "call answered",
            "start ordered",
            "worker lost under a task",
            "task freed",
            "job failed: workers crashed under its task",
            "worker that counted as lost is there again",
        ];
        let messages = printed.lines().filter_map(|line| line.split("  ").find(|part| {
            part.starts_with(char::is_alphabetic)
        }));
        assert_eq!(messages.collect::<Vec<_>>(), expected, "{printed}");
        assert!(printed.lines().last().is_some_and(|line| line.contains("w1@0")), "{printed}");
    },
    the_lines_of_a_job_tell_of_its_failed_attempts => {
        let (_, printed) = why(&["0000000000000022"]);
        assert!(printed.contains("job failed  attempts=3 failures=3"), "{printed}");
    },
    losses_are_counted_with_those_of_workers_that_live => {
        let (_, table) = why(&[]);
        assert!(table.contains("workers lost under tasks: 4, of which live: 3"), "{table}");
    },
}
