//! The engine of the job service, event by event: it holds the domain, learns interference, and
//! decides which task goes first.

mod sim;

use wharflane::job;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// Returns a simulation of two serving tasks, one of them beside a best-effort task.
fn learn_interference(interferes: bool) -> sim::Sim {
    let mut sim = sim::Sim::new(2, Vec::new());
    let serving = sim::step("serving", 4_000);
    sim.submit(1, "first", job::Step { count: 2, max_per_worker: Some(1), ..serving });
    sim.advance(3_000, interferes);
    sim.submit(2, "last", sim::step("filling", 4_000));
    sim.advance(9_000, interferes);
    sim
}

/// Returns the id of the first task of a job.
fn first_task(job: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(job), round: 0, step: 0, index: 0 }
}

cases! {
    a_free_domain_is_taken_and_held => {
        let sim = sim::Sim::new(1, Vec::new());
        assert!(sim.engine.holding().is_some());
    },
    interference_is_learned_where_there_is_some => {
        let (some, none) = (learn_interference(true).harm(), learn_interference(false).harm());
        let (some, none) = (some.expect("learned"), none.expect("learned"));
        assert!(some > 2.0 * none, "{some} with interference, {none} without");
    },
    a_task_that_interferes_in_its_busy_phase_goes_elsewhere => {
        // By its average load the task would just keep the target of the other worker's serving
        // task.
        let mut sim = learn_interference(true);
        let slope = sim.harm().expect("learned");
        let cpu_milli = (16_000.0 * 0.4 / slope) as u64;
        sim.submit(3, "last", sim::step("filling", cpu_milli));
        sim.advance(1_000, true);
        assert_eq!(sim.starts(3), [], "interference {slope}, {cpu_milli} thousandths of a core");
        sim.handle(job::Event::Member("worker-2".into(), Some(sim::member(2))));
        sim.advance(1_000, true);
        assert_eq!(sim.starts(3).len(), 1, "an empty worker takes it");
    },
    learned_interference_is_kept_for_the_next_holder => {
        let sim = learn_interference(true);
        let next = sim::Sim::new(1, sim.table(job::LEARNED));
        let (before, after) = (sim.harm().expect("learned"), next.harm().expect("restored"));
        assert!((before - after).abs() < 0.2 * before, "{before} before, {after} after");
    },
    unreadable_learned_rows_are_ignored => {
        let mut rows = learn_interference(true).table(job::LEARNED);
        rows.iter_mut().for_each(|row| row.value = Some("{".to_owned()));
        assert_eq!(sim::Sim::new(1, rows).harm(), None);
    },
    higher_priority_goes_first_and_long_running_tasks_go_last => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(1, "last", sim::step("plain", 9_000));
        sim.submit(2, "first", sim::step("serving", 9_000));
        sim.submit(3, "first", sim::step("plain", 9_000));
        sim.advance(200, false);
        assert_eq!(sim::started_jobs(&sim), [3], "there is room for only one of them");
    },
    a_new_long_running_task_waits_behind_batch_tasks_however_long_it_has_waited => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(1, "first", sim::step("plain", 9_000));
        sim.advance(200, false);
        sim.submit(2, "first", sim::step("serving", 9_000));
        sim.advance(10_000, false);
        sim.submit(3, "first", sim::step("plain", 9_000));
        sim.handle(job::Event::Member("worker-1".into(), Some(sim::member(1))));
        sim.advance(400, false);
        assert_eq!(sim::started_jobs(&sim), [1, 3], "there is room for one more task");
    },
    a_long_running_task_that_has_run_restarts_before_shorter_work => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(1, "first", sim::step("serving", 9_000));
        sim.advance(200, false);
        for job in 2..10 {
            sim.submit(job, "first", sim::step("plain", 3_500));
        }
        sim.advance(200, false);
        assert_eq!(sim::started_jobs(&sim), [1, 2, 3], "two short tasks fit beside the long-running task");
        sim.end_task(first_task(1), job::EndKind::Failed);
        sim.advance(200, false);
        assert_eq!(sim::started_jobs(&sim)[3..], [4, 5], "shorter work takes the room at first");
        for done in [2, 3, 4, 5] {
            sim.advance(4_000, false);
            sim.end_task(first_task(done), job::EndKind::Done);
        }
        sim.advance(500, false);
        assert_eq!(sim.starts(1).len(), 2, "{:?}", sim::started_jobs(&sim));
        assert!(sim::started_jobs(&sim).len() < 9, "freed room is reserved until it is enough");
    },
    reserved_room_is_open_to_every_restarting_long_running_task => {
        let mut sim = sim::Sim::new(1, Vec::new());
        for (job, cpu_milli) in [(1, 12_000), (2, 4_000)] {
            sim.submit(job, "first", sim::step("serving", cpu_milli));
            sim.advance(200, false);
        }
        for job in 3..20 {
            sim.submit(job, "first", sim::step("plain", 3_500));
        }
        sim.advance(200, false);
        for job in [1, 2] {
            sim.end_task(first_task(job), job::EndKind::Stopped);
        }
        sim.advance(4_000, false);
        assert_eq!(sim::started_jobs(&sim).len(), 2 + 4, "shorter work uses all of the room");
        sim.end_task(first_task(3), job::EndKind::Done);
        sim.advance(500, false);
        assert_eq!(sim.starts(2).len(), 2, "it fits into the room reserved for the larger one");
    },
    room_is_reserved_on_few_workers_at_once => {
        let mut sim = sim::Sim::new(2, Vec::new());
        for job in [1, 2] {
            sim.submit(job, "first", sim::step("serving", 9_000));
            sim.advance(200, false);
        }
        for job in 3..20 {
            sim.submit(job, "first", sim::step("plain", 3_500));
        }
        sim.advance(200, false);
        for job in [1, 2] {
            sim.end_task(first_task(job), job::EndKind::Failed);
        }
        sim.advance(4_000, false);
        let before = sim::started_jobs(&sim);
        assert_eq!(before.len(), 2 + 8, "shorter work uses all of the room: {before:?}");
        let one = before[2];
        let elsewhere = |job: &&u64| sim.worker_of(first_task(**job)) != sim.worker_of(first_task(one));
        let other = *before[2..].iter().find(elsewhere).expect("two workers");
        for job in [one, other] {
            sim.end_task(first_task(job), job::EndKind::Done);
        }
        sim.advance(500, false);
        assert_eq!(sim::started_jobs(&sim).len(), before.len() + 1, "the freed room of one of the two workers is reserved");
    },
    a_job_that_can_meet_its_objective_goes_before_a_late_one => {
        let mut sim = sim::Sim::new(1, Vec::new());
        let short = || job::Step { estimate_ms: 500, ..sim::step("plain", 9_000) };
        sim.submit(1, "first", short());
        sim.advance(200, false);
        // Twice half a second of work and one second more are allowed.
        sim.submit(2, "first", short());
        sim.advance(2_500, false);
        sim.submit(3, "first", short());
        sim.advance(200, false);
        sim.end_task(first_task(1), job::EndKind::Done);
        sim.advance(300, false);
        assert_eq!(sim::started_jobs(&sim), [1, 3]);
    },
    estimates_of_callers_are_corrected_by_observed_times => {
        let mut sim = sim::Sim::new(1, Vec::new());
        for number in 1..20 {
            sim.submit(number, "first", job::Step { estimate_ms: 1_000, ..sim::step("plain", 9_000) });
            sim.advance(300, false);
            sim.end_task(first_task(number), job::EndKind::Done);
            sim.advance(300, false);
        }
        let dump = sim.engine.holding().expect("a holder").dump();
        let times_ms = dump.times_ms["first"];
        assert!((250.0..600.0).contains(&times_ms), "{times_ms} ms instead of some 300");
    },
    an_old_job_is_removed_beginning_with_its_own_row => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(1, "first", sim::step("plain", 9_000));
        sim.advance(200, false);
        sim.end_task(first_task(1), job::EndKind::Done);
        sim.advance(1_000, false);
        assert!(sim.rows.contains_key(&(job::PROGRESS, job::JobId(1).to_string())));
        sim.now += world::settings().keep;
        sim.advance(1_000, false);
        assert_eq!(sim.removed, [job::JOBS, job::PROGRESS]);
    },
    a_worker_that_was_idle_gets_heartbeats_as_soon_as_a_task_runs => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.advance(1_000, false);
        sim.submit(1, "first", sim::step("plain", 9_000));
        sim.advance(200, false);
        sim.end_task(first_task(1), job::EndKind::Done);
        sim.advance(200, false);
        let row = &sim.rows[&(job::PROGRESS, job::JobId(1).to_string())];
        let progress = job::Progress::decode(row).expect("a row that can be read");
        assert_eq!(progress.phase, job::Phase::Completed);
    },
    no_order_is_given_once_the_lease_may_be_over => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.advance(500, false);
        // The store does not answer from here on, so that nothing renews the lease. The time is
        // long enough for a heartbeat to the idle worker to be due.
        sim.now += world::settings().lease + world::settings().idle_heartbeat_gap;
        let event = sim.accepted(1, "first", sim::step("plain", 1_000));
        let mut effects = sim.engine.step(sim.now, event);
        effects.extend(sim.engine.step(sim.now, job::Event::Tick { wall_ms: 0 }));
        let order = |effect: &job::Effect| {
            matches!(effect, job::Effect::Start(_) | job::Effect::SendHeartbeat(_) | job::Effect::Stop(_))
        };
        let ordered = effects.iter().any(order);
        assert!(!ordered, "an order was given");
    },
}
