//! Rows that others wrote, or that can't be read: they cost nothing but themselves.

mod desk;

use wharflane::{job, rows, size};
use wharflane_stand_in::cases;

/// Returns the rows of two jobs, each with a task at work, and of their progress.
fn two_jobs() -> (Vec<rows::Row>, Vec<rows::Row>) {
    let mut before = desk::Desk::new(2, Vec::new());
    let mut jobs = Vec::new();
    for job in [1, 2] {
        let job::Event::Jobs(rows) = before.accepted(job, "first", desk::step("plain", 1_000))
        else {
            panic!("no rows");
        };
        jobs.extend(rows.clone());
        before.take(job::Event::Jobs(rows));
    }
    before.pass(200, false);
    (jobs, before.table(job::PROGRESS))
}

/// Returns a desk that takes over two jobs, the progress of the first spoilt.
fn spoilt(text: &str) -> desk::Desk {
    let (jobs, mut progress) = two_jobs();
    let key = job::progress_key(0, job::JobId(1)).name;
    let row = progress.iter_mut().find(|row| row.name == key).expect("a row");
    row.value = Some(text.to_owned());
    desk::Desk::after(2, (jobs, progress), Vec::new())
}

cases! {
    a_worker_of_a_service_that_no_queue_names_is_not_called => {
        let mut desk = desk::Desk::new(1, Vec::new());
        let stranger = job::Member { service: "another".into(), ..desk::member(7) };
        desk.take(job::Event::Member(stranger.incarnation.worker.clone(), Some(stranger.clone())));
        desk.submit(1, "first", desk::step("plain", 1_000));
        desk.pass(9_000, false);
        assert!(desk.heartbeats_sent.iter().any(|(_, worker)| *worker == desk::member(0).incarnation));
        assert!(!desk.heartbeats_sent.iter().any(|(_, worker)| *worker == stranger.incarnation));
    },
    a_job_whose_progress_can_t_be_read_is_left_alone_and_others_go_on => {
        for text in ["no json", "{}", "{\"phase\":7}", "{\"phase\":\"running\",\"tasks\":[{\"at\":[1]}]}"] {
            let mut desk = spoilt(text);
            desk.pass(8_000, false);
            assert_eq!(desk.starts(1).len(), 0, "{text}: its task may have been done");
            assert_eq!(desk.starts(2).len(), 1, "{text}");
            assert!(desk.removed.is_empty(), "{text}: {:?}", desk.removed);
        }
    },
    it_stays_so_when_its_row_is_told_again => {
        let mut desk = spoilt("no json");
        desk.pass(200, false);
        desk.submit(1, "first", desk::step("plain", 1_000));
        desk.pass(1_000, false);
        assert_eq!(desk.starts(1).len(), 0);
    },
    progress_of_tasks_that_the_job_does_not_have_does_no_harm => {
        let text = r#"{"phase":"running","on":[[9,9,9,1,"worker-0"],[0,0,4000000000,1,"worker-1"]]}"#;
        let mut desk = spoilt(text);
        desk.pass(8_000, false);
        assert_eq!(desk.starts(2).len(), 1);
    },
    a_job_that_can_t_be_read_costs_only_itself => {
        let (mut jobs, progress) = two_jobs();
        jobs[0].value = Some("{\"job\":[]}".to_owned());
        let mut desk = desk::Desk::after(2, (jobs, progress), Vec::new());
        desk.pass(8_000, false);
        assert_eq!(desk.starts(1).len(), 0);
        assert_eq!(desk.starts(2).len(), 1);
        assert!(desk.removed.is_empty(), "{:?}", desk.removed);
    },
    a_room_of_nothing_takes_no_task => {
        let mut desk = desk::Desk::new(0, Vec::new());
        let empty = job::Member { capacity: size::Size::default(), ..desk::member(0) };
        desk.take(job::Event::Member(empty.incarnation.worker.clone(), Some(empty)));
        desk.submit(1, "first", desk::step("plain", 1_000));
        desk.pass(4_000, false);
        assert_eq!(desk.starts(1).len(), 0);
    },
}
