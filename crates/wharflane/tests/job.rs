//! The engine of the job service, event by event: the holder's lease, harm learned, who goes first.

mod desk;

use wharflane::job;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// Lets two tasks serve, one of them beside a task that fills, and returns the desk.
fn learn(harmed: bool) -> desk::Desk {
    let mut desk = desk::Desk::new(2, Vec::new());
    let serving = desk::step("serving", 4_000);
    desk.submit(1, "first", job::Step { count: 2, max_per_worker: Some(1), ..serving });
    desk.pass(3_000, harmed);
    desk.submit(2, "last", desk::step("filling", 4_000));
    desk.pass(9_000, harmed);
    desk
}

/// Returns the name of the first task of a job.
fn first(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

cases! {
    a_free_domain_is_taken_and_held => {
        let desk = desk::Desk::new(1, Vec::new());
        assert!(desk.engine.holding().is_some());
    },
    harm_is_learned_where_there_is_some => {
        let (some, none) = (learn(true).harm(), learn(false).harm());
        let (some, none) = (some.expect("learned"), none.expect("learned"));
        assert!(some > 2.0 * none, "{some} beside harm, {none} without");
    },
    what_would_harm_in_its_busy_phase_goes_elsewhere => {
        // On average the task would leave the other worker's target kept, by a little.
        let mut desk = learn(true);
        let harm = desk.harm().expect("learned");
        let cpu_milli = (16_000.0 * 0.4 / harm) as u64;
        desk.submit(3, "last", desk::step("filling", cpu_milli));
        desk.pass(1_000, true);
        assert_eq!(desk.starts(3), [], "harm {harm}, {cpu_milli} thousandths of a core");
        desk.take(job::Event::Member("worker-2".into(), Some(desk::member(2))));
        desk.pass(1_000, true);
        assert_eq!(desk.starts(3).len(), 1, "an empty worker takes it");
    },
    what_was_learned_is_kept_for_the_next_holder => {
        let desk = learn(true);
        let next = desk::Desk::new(1, desk.table(job::LEARNED));
        let (before, after) = (desk.harm().expect("learned"), next.harm().expect("restored"));
        assert!((before - after).abs() < 0.2 * before, "{before} before, {after} after");
    },
    learned_rows_that_cannot_be_read_are_learned_anew => {
        let mut rows = learn(true).table(job::LEARNED);
        rows.iter_mut().for_each(|row| row.value = Some("{".to_owned()));
        assert_eq!(desk::Desk::new(1, rows).harm(), None);
    },
    higher_priority_goes_first_and_lasting_tasks_after_those_that_end => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.submit(1, "last", desk::step("plain", 9_000));
        desk.submit(2, "first", desk::step("serving", 9_000));
        desk.submit(3, "first", desk::step("plain", 9_000));
        desk.pass(200, false);
        assert_eq!(desk::order(&desk), [3], "only one of them has room");
    },
    a_lasting_task_waits_behind_those_that_end_however_long_it_was_away => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.submit(1, "first", desk::step("plain", 9_000));
        desk.pass(200, false);
        desk.submit(2, "first", desk::step("serving", 9_000));
        desk.pass(10_000, false);
        desk.submit(3, "first", desk::step("plain", 9_000));
        desk.take(job::Event::Member("worker-1".into(), Some(desk::member(1))));
        desk.pass(400, false);
        assert_eq!(desk::order(&desk), [1, 3], "there is room for one more");
    },
    a_lasting_task_that_was_at_work_comes_back_before_shorter_work => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.submit(1, "first", desk::step("serving", 9_000));
        desk.pass(200, false);
        for job in 2..10 {
            desk.submit(job, "first", desk::step("plain", 3_500));
        }
        desk.pass(200, false);
        assert_eq!(desk::order(&desk), [1, 2, 3], "two pieces are left beside the lasting task");
        desk.end(first(1), job::EndKind::Failed);
        desk.pass(200, false);
        assert_eq!(desk::order(&desk)[3..], [4, 5], "shorter work takes the room for the moment");
        for done in [2, 3, 4, 5] {
            desk.pass(4_000, false);
            desk.end(first(done), job::EndKind::Done);
        }
        desk.pass(500, false);
        assert_eq!(desk.starts(1).len(), 2, "{:?}", desk::order(&desk));
        assert!(desk::order(&desk).len() < 9, "pieces are kept for it until they are enough");
    },
    kept_room_is_there_for_every_lasting_task_that_comes_back => {
        let mut desk = desk::Desk::new(1, Vec::new());
        for (job, cpu_milli) in [(1, 12_000), (2, 4_000)] {
            desk.submit(job, "first", desk::step("serving", cpu_milli));
            desk.pass(200, false);
        }
        for job in 3..20 {
            desk.submit(job, "first", desk::step("plain", 3_500));
        }
        desk.pass(200, false);
        for job in [1, 2] {
            desk.end(first(job), job::EndKind::Stopped);
        }
        desk.pass(4_000, false);
        assert_eq!(desk::order(&desk).len(), 2 + 4, "shorter work has all of the room");
        desk.end(first(3), job::EndKind::Done);
        desk.pass(500, false);
        assert_eq!(desk.starts(2).len(), 2, "it fits into what is kept for the larger one");
    },
    room_is_kept_on_few_workers_at_once => {
        let mut desk = desk::Desk::new(2, Vec::new());
        for job in [1, 2] {
            desk.submit(job, "first", desk::step("serving", 9_000));
            desk.pass(200, false);
        }
        for job in 3..20 {
            desk.submit(job, "first", desk::step("plain", 3_500));
        }
        desk.pass(200, false);
        for job in [1, 2] {
            desk.end(first(job), job::EndKind::Failed);
        }
        desk.pass(4_000, false);
        let before = desk::order(&desk);
        assert_eq!(before.len(), 2 + 8, "shorter work has all of the room: {before:?}");
        let one = before[2];
        let away = |job: &&u64| desk.worker_of(first(**job)) != desk.worker_of(first(one));
        let other = *before[2..].iter().find(away).expect("two workers");
        for job in [one, other] {
            desk.end(first(job), job::EndKind::Done);
        }
        desk.pass(500, false);
        assert_eq!(desk::order(&desk).len(), before.len() + 1, "one of two pieces is kept");
    },
    a_job_that_can_still_be_in_time_goes_before_one_that_is_late => {
        let mut desk = desk::Desk::new(1, Vec::new());
        let short = || job::Step { estimate_ms: 500, ..desk::step("plain", 9_000) };
        desk.submit(1, "first", short());
        desk.pass(200, false);
        // Twice half a second of work and one second more are allowed.
        desk.submit(2, "first", short());
        desk.pass(2_500, false);
        desk.submit(3, "first", short());
        desk.pass(200, false);
        desk.end(first(1), job::EndKind::Done);
        desk.pass(300, false);
        assert_eq!(desk::order(&desk), [1, 3]);
    },
    guesses_of_callers_are_corrected_by_what_was_seen => {
        let mut desk = desk::Desk::new(1, Vec::new());
        for number in 1..20 {
            desk.submit(number, "first", job::Step { estimate_ms: 1_000, ..desk::step("plain", 9_000) });
            desk.pass(300, false);
            desk.end(first(number), job::EndKind::Done);
            desk.pass(300, false);
        }
        let dump = desk.engine.holding().expect("a holder").dump();
        let times_ms = dump.times_ms["first"];
        assert!((250.0..600.0).contains(&times_ms), "{times_ms} ms instead of some 300");
    },
    an_old_job_is_removed_with_its_own_row_first => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.submit(1, "first", desk::step("plain", 9_000));
        desk.pass(200, false);
        desk.end(first(1), job::EndKind::Done);
        desk.pass(1_000, false);
        assert!(desk.rows.contains_key(&(job::PROGRESS, job::JobId(1).to_string())));
        desk.now += world::settings().keep;
        desk.pass(1_000, false);
        assert_eq!(desk.removed, [job::JOBS, job::PROGRESS]);
    },
    a_task_on_a_worker_that_was_idle_is_looked_after_at_once => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.pass(1_000, false);
        desk.submit(1, "first", desk::step("plain", 9_000));
        desk.pass(200, false);
        desk.end(first(1), job::EndKind::Done);
        desk.pass(200, false);
        let row = &desk.rows[&(job::PROGRESS, job::JobId(1).to_string())];
        let progress = job::Progress::decode(row).expect("a row that can be read");
        assert_eq!(progress.phase, job::Phase::Completed);
    },
    nothing_is_ordered_once_the_lease_may_be_over => {
        let mut desk = desk::Desk::new(1, Vec::new());
        desk.pass(500, false);
        // The store is silent from here on: nothing renews the lease.
        // Long enough for a look at the idle worker to be due.
        desk.now += world::settings().lease + world::settings().idle_heartbeat_gap;
        let event = desk.accepted(1, "first", desk::step("plain", 1_000));
        let mut effects = desk.engine.step(desk.now, event);
        effects.extend(desk.engine.step(desk.now, job::Event::Tick { wall_ms: 0 }));
        let order = |effect: &job::Effect| {
            matches!(effect, job::Effect::Start(_) | job::Effect::SendHeartbeat(_) | job::Effect::Stop(_))
        };
        let ordered = effects.iter().any(order);
        assert!(!ordered, "an order was given");
    },
}
