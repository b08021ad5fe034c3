//! Rows of other programs and unreadable rows don't affect the handling of other rows.

mod sim;

use wharflane::{job, rows, size};
use wharflane_stand_in::cases;

/// Returns the rows of two jobs with one running task each, and of their progress.
fn two_jobs() -> (Vec<rows::Row>, Vec<rows::Row>) {
    let mut before = sim::Sim::new(2, Vec::new());
    let mut jobs = Vec::new();
    for job in [1, 2] {
        let job::Event::Jobs(rows) = before.accepted(job, "first", sim::step("plain", 1_000))
        else {
            panic!("no rows");
        };
        jobs.extend(rows.clone());
        before.handle(job::Event::Jobs(rows));
    }
    before.advance(200, false);
    (jobs, before.table(job::PROGRESS))
}

/// Returns a simulation whose engine takes over two jobs, the first with `text` as its progress.
fn with_progress_of_first(text: &str) -> sim::Sim {
    let (jobs, mut progress) = two_jobs();
    let key = job::progress_key(0, job::JobId(1)).name;
    let row = progress.iter_mut().find(|row| row.name == key).expect("a row");
    row.value = Some(text.to_owned());
    sim::Sim::taking_over(2, (jobs, progress), Vec::new())
}

cases! {
    a_worker_of_a_service_without_a_queue_gets_no_heartbeat => {
        let mut sim = sim::Sim::new(1, Vec::new());
        let other_service = job::Member { service: "another".into(), ..sim::member(7) };
        sim.handle(job::Event::Member(other_service.incarnation.worker.clone(), Some(other_service.clone())));
        sim.submit(1, "first", sim::step("plain", 1_000));
        sim.advance(9_000, false);
        assert!(sim.heartbeats_sent.iter().any(|(_, worker)| *worker == sim::member(0).incarnation));
        assert!(!sim.heartbeats_sent.iter().any(|(_, worker)| *worker == other_service.incarnation));
    },
    a_job_with_unreadable_progress_is_not_run_and_others_are => {
        for text in ["no json", "{}", "{\"phase\":7}", "{\"phase\":\"running\",\"tasks\":[{\"at\":[1]}]}"] {
            let mut sim = with_progress_of_first(text);
            sim.advance(8_000, false);
            assert_eq!(sim.starts(1).len(), 0, "{text}: its task may have been done");
            assert_eq!(sim.starts(2).len(), 1, "{text}");
            assert!(sim.removed.is_empty(), "{text}: {:?}", sim.removed);
        }
    },
    a_job_with_unreadable_progress_is_not_run_when_its_row_is_read_again => {
        let mut sim = with_progress_of_first("no json");
        sim.advance(200, false);
        sim.submit(1, "first", sim::step("plain", 1_000));
        sim.advance(1_000, false);
        assert_eq!(sim.starts(1).len(), 0);
    },
    progress_of_unknown_tasks_does_not_affect_other_jobs => {
        let text = r#"{"phase":"running","on":[[9,9,9,1,"worker-0"],[0,0,4000000000,1,"worker-1"]]}"#;
        let mut sim = with_progress_of_first(text);
        sim.advance(8_000, false);
        assert_eq!(sim.starts(2).len(), 1);
    },
    an_unreadable_job_does_not_affect_others => {
        let (mut jobs, progress) = two_jobs();
        jobs[0].value = Some("{\"job\":[]}".to_owned());
        let mut sim = sim::Sim::taking_over(2, (jobs, progress), Vec::new());
        sim.advance(8_000, false);
        assert_eq!(sim.starts(1).len(), 0);
        assert_eq!(sim.starts(2).len(), 1);
        assert!(sim.removed.is_empty(), "{:?}", sim.removed);
    },
    a_worker_without_capacity_gets_no_task => {
        let mut sim = sim::Sim::new(0, Vec::new());
        let empty = job::Member { capacity: size::Size::default(), ..sim::member(0) };
        sim.handle(job::Event::Member(empty.incarnation.worker.clone(), Some(empty)));
        sim.submit(1, "first", sim::step("plain", 1_000));
        sim.advance(4_000, false);
        assert_eq!(sim.starts(1).len(), 0);
    },
}
