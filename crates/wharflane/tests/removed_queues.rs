//! Jobs whose queue the configuration changes, leaves out or doesn't tell yet: they are to be run as
//! the newest revision that has their queue says, whoever knows it and however often all processes
//! start anew.

mod sim;

use std::sync;

use wharflane::{job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// The job of these tests.
const JOB: u64 = 11;
/// Its first task.
const TASK: job::TaskId = job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index: 0 };
/// A job of another queue.
const OTHER: u64 = 12;

/// Returns a simulation with three workers whose hosts and callers go by a configuration.
fn sim(queues: &sync::Arc<job::Queues>) -> sim::Sim {
    let mut sim = sim::Sim::new(3, Vec::new());
    sim.allowed_workers = (0..3).map(|at| sim::member(at).incarnation).collect();
    configure(&mut sim, queues);
    sim.accepting_hosts_queues = sync::Arc::clone(queues);
    sim.advance(300, false);
    sim
}

/// Puts a configuration in force at the holder.
fn configure(sim: &mut sim::Sim, queues: &sync::Arc<job::Queues>) {
    sim.handle(job::Event::Queues(sync::Arc::clone(queues)));
}

/// Submits the job to a queue and returns its row.
fn submit(sim: &mut sim::Sim, queue: &str) -> Vec<rows::Row> {
    let event = sim.accepted(JOB, queue, sim::step("plain", 1_000));
    sim.handle(event.clone());
    let job::Event::Jobs(rows) = event else {
        panic!("no rows");
    };
    sim.advance(400, false);
    rows
}

/// Lets the newest run of the task fail, and gives the engine time for the next.
fn fail(sim: &mut sim::Sim) {
    sim.end_task(TASK, job::EndKind::Failed);
    sim.advance(2_000, false);
}

/// Lets the task fail until its job has failed or `most` runs have; returns the failed runs.
fn fail_up_to(sim: &mut sim::Sim, most: usize) -> usize {
    let mut failed = 0;
    while failed < most && sim.phase(JOB) != job::Phase::Failed {
        let run = sim.newest_order(TASK).run;
        fail(sim);
        failed += 1;
        let next = sim.newest_order(TASK).run;
        assert!(next > run || sim.phase(JOB) == job::Phase::Failed || failed == most);
    }
    failed
}

/// Returns a holder of fresh processes that knows what the store keeps, and `queues` if given.
fn restart_all_hosts(
    before: &sim::Sim,
    jobs: &[rows::Row],
    queues: Option<&sync::Arc<job::Queues>>,
) -> sim::Sim {
    let mut sim = sim::Sim::watching(world::settings());
    sim.now = before.now;
    sim.version = before.version;
    sim.rows = before.rows.clone();
    sim.allowed_workers = before.allowed_workers.clone();
    if let Some(queues) = queues {
        configure(&mut sim, queues);
    }
    let progress = before.table(job::PROGRESS);
    sim.take_over(3, (jobs.to_vec(), progress), before.table(job::LEARNED));
    sim.advance(400, false);
    sim
}

/// Returns the tickets of the starts of the job.
fn tickets(sim: &sim::Sim) -> Vec<String> {
    let starts = sim.pending.iter().filter_map(|effect| match effect {
        job::Effect::Start(start) if start.order.task.job.0 == JOB => Some(start.ticket.clone()),
        _ => None,
    });
    starts.collect()
}

/// Returns the queues of which the holder keeps the policy in the store.
fn stored_policies(sim: &sim::Sim) -> Vec<String> {
    let rows = sim.table(job::LEARNED).into_iter().filter(|row| row.name == "policies");
    let rows = rows.filter_map(|row| row.value);
    let mut policies = rows.map(|text| {
        let policies: serde_json::Value = serde_json::from_str(&text).expect("a row");
        policies.as_object().expect("queues").keys().cloned().collect()
    });
    policies.next().unwrap_or_default()
}

/// Returns the number of attempts that the task gets once its queue is left out, where it may have
/// `max_attempts`.
fn attempts_without_queue(max_attempts: u32) -> usize {
    let mut sim = sim(&sim::queues_with(2, "first", |policy| policy.max_attempts = max_attempts));
    submit(&mut sim, "first");
    configure(&mut sim, &sim::queues_without(3, "first"));
    fail_up_to(&mut sim, 6)
}

cases! {
    // A job was shown as failed after three failed runs where its queue allows more.
    a_job_without_its_queue_gets_all_attempts => {
        assert_eq!(attempts_without_queue(5), 5);
    },
    // A task was started a third time after the two failed runs that its queue allows.
    a_job_without_its_queue_gets_no_further_attempts => {
        assert_eq!(attempts_without_queue(2), 2);
    },
    // The same for a gang, which fails as one.
    a_gang_without_its_queue_gets_all_attempts => {
        let mut sim = sim(&sim::queues_with(2, "first", |policy| policy.max_attempts = 4));
        let step = job::Step { count: 2, gang: true, ..sim::step("plain", 1_000) };
        sim.submit(JOB, "first", step);
        sim.advance(400, false);
        configure(&mut sim, &sim::queues_without(3, "first"));
        for run in 1..=4 {
            assert_eq!(sim.phase(JOB), job::Phase::Running);
            assert_eq!(sim.newest_order(TASK).run, run);
            sim.end_task(job::TaskId { index: 1, ..TASK }, job::EndKind::Broken);
            fail(&mut sim);
        }
        assert_eq!(sim.phase(JOB), job::Phase::Failed);
    },
    // Starts went out without the ticket that the queue demands, and workers refused them.
    a_job_without_its_queue_still_carries_tickets => {
        let mut sim = sim(&sim::queues());
        configure(&mut sim, &sim::queues_without(2, sim::ADVISED));
        submit(&mut sim, sim::ADVISED);
        assert_eq!(tickets(&sim), ["for worker-0"]);
        assert_eq!(sim.advice_requests.len(), 1);
    },
    // The job went to the workers of the service that its row names, which the last configuration
    // had taken its queue from.
    a_job_without_its_queue_stays_with_its_last_service => {
        let mut sim = sim(&sim::queues());
        configure(&mut sim, &sim::queues_with(2, "first", |policy| policy.service = "else".into()));
        submit(&mut sim, "first");
        configure(&mut sim, &sim::queues_without(3, "first"));
        sim.advance(400, false);
        assert_eq!(sim.starts(JOB), []);
    },
    // The job waited behind all others, whatever priority its queue had.
    a_job_without_its_queue_keeps_its_priority => {
        let mut sim = sim(&sim::queues());
        configure(&mut sim, &sim::queues_without(2, "first"));
        sim.handle(job::Event::Listed(Vec::new()));
        sim.submit(OTHER, "last", sim::step("plain", 16_000));
        let event = sim.accepted(JOB, "first", sim::step("plain", 16_000));
        sim.handle(event);
        sim.handle(job::Event::Listed(vec![sim::member(0)]));
        sim.advance(400, false);
        assert_eq!(sim::started_jobs(&sim), [JOB]);
    },
    // What the queue said was gone with the processes that had read it.
    fresh_processes_go_by_the_row_of_the_job => {
        let queues = sim::queues_with(2, "first", |policy| policy.max_attempts = 4);
        let mut sim = sim(&queues);
        let rows = submit(&mut sim, "first");
        fail(&mut sim);
        configure(&mut sim, &sim::queues_without(3, "first"));
        sim.advance(200, false);
        sim.end_task(TASK, job::EndKind::Failed);
        sim.advance(300, false);
        let mut sim = restart_all_hosts(&sim, &rows, Some(&sim::queues_without(3, "first")));
        sim.advance(6_000, false);
        assert_eq!(fail_up_to(&mut sim, 6), 2, "two of four attempts are left");
    },
    // A number of attempts raised after the acceptance was gone with the processes.
    fresh_processes_go_by_what_a_later_configuration_said => {
        let mut sim = sim(&sim::queues_with(2, "first", |policy| policy.max_attempts = 2));
        let rows = submit(&mut sim, "first");
        configure(&mut sim, &sim::queues_with(3, "first", |policy| policy.max_attempts = 4));
        sim.advance(100, false);
        assert_eq!(stored_policies(&sim), ["first"]);
        configure(&mut sim, &sim::queues_without(4, "first"));
        fail(&mut sim);
        let mut sim = restart_all_hosts(&sim, &rows, Some(&sim::queues_without(4, "first")));
        sim.advance(6_000, false);
        assert_eq!(fail_up_to(&mut sim, 6), 3, "three of four attempts are left");
    },
    // A holder without any configuration started tasks without their tickets.
    a_holder_without_a_configuration_goes_by_the_row_of_the_job => {
        let mut sim = sim(&sim::queues());
        let event = sim.accepted(JOB, sim::ADVISED, sim::step("plain", 1_000));
        let job::Event::Jobs(rows) = event else { panic!("no rows") };
        let sim = restart_all_hosts(&sim, &rows, None);
        assert_eq!(tickets(&sim), ["for worker-0"]);
    },
    // A job failed by the figures of a holder without a configuration, although the configuration
    // in force allows more.
    a_holder_without_a_configuration_fails_no_job => {
        let mut sim = sim(&sim::queues_with(2, "first", |policy| policy.max_attempts = 2));
        let rows = submit(&mut sim, "first");
        fail(&mut sim);
        let mut sim = restart_all_hosts(&sim, &rows, None);
        sim.advance(6_000, false);
        let run = sim.newest_order(TASK).run;
        fail(&mut sim);
        assert_eq!(sim.newest_order(TASK).run, run, "no run beyond two attempts");
        assert_ne!(sim.phase(JOB), job::Phase::Failed);
        configure(&mut sim, &sim::queues_with(3, "first", |policy| policy.max_attempts = 3));
        sim.advance(1_000, false);
        assert_eq!(sim.newest_order(TASK).run, run + 1);
        fail(&mut sim);
        assert_eq!(sim.phase(JOB), job::Phase::Failed);
    },
    // A holder without a configuration took what it can't know for three attempts and no ticket.
    a_job_of_which_nothing_is_known_waits_for_a_configuration => {
        let mut sim = sim(&sim::queues());
        sim.accepting_hosts_queues = sync::Arc::default();
        let event = sim.accepted(JOB, sim::ADVISED, sim::step("plain", 1_000));
        let job::Event::Jobs(rows) = event else { panic!("no rows") };
        let mut sim = restart_all_hosts(&sim, &rows, None);
        sim.advance(1_000, false);
        assert_eq!(sim.starts(JOB), []);
        configure(&mut sim, &sim::queues());
        sim.advance(400, false);
        assert_eq!(tickets(&sim), ["for worker-0"]);
        assert_eq!(stored_policies(&sim), [sim::ADVISED], "the row of the job tells nothing");
    },
    // Of two hosts with different revisions, the holder had the older one.
    what_a_newer_accepting_host_knew_counts => {
        let mut sim = sim(&sim::queues_with(2, "first", |policy| policy.max_attempts = 2));
        sim.accepting_hosts_queues =
            sim::queues_with(3, "first", |policy| policy.max_attempts = 4);
        submit(&mut sim, "first");
        assert_eq!(fail_up_to(&mut sim, 6), 4);
    },
    // Of two hosts with different revisions, the accepting one had the older one.
    what_an_older_accepting_host_knew_does_not_count => {
        let mut sim = sim(&sim::queues_with(3, "first", |policy| policy.max_attempts = 4));
        sim.accepting_hosts_queues =
            sim::queues_with(2, "first", |policy| policy.max_attempts = 2);
        submit(&mut sim, "first");
        assert_eq!(stored_policies(&sim), ["first"]);
        assert_eq!(fail_up_to(&mut sim, 6), 4);
    },
    // The row of policies grew with every queue that ever had a job.
    the_policy_of_a_queue_leaves_the_store_with_its_last_job => {
        let mut sim = sim(&sim::queues());
        submit(&mut sim, "first");
        assert_eq!(stored_policies(&sim), [] as [&str; 0], "the row of the job tells it");
        configure(&mut sim, &sim::queues_with(2, "first", |policy| policy.priority = 1));
        sim.advance(100, false);
        assert_eq!(stored_policies(&sim), ["first"]);
        sim.end_task(TASK, job::EndKind::Done);
        sim.advance(2_000, false);
        assert_eq!(sim.phase(JOB), job::Phase::Completed);
        assert_eq!(stored_policies(&sim), [] as [&str; 0]);
    },
    // The row of policies, or the commit that carries it, was longer than the store accepts.
    the_row_of_policies_is_bounded => {
        let mut queues = sim::queues().as_ref().clone();
        let first = queues.queues["first"].clone();
        let name = |at: u64| format!("{at:0>70}");
        for at in 100..300 {
            queues.queues.insert(name(at), job::Queue { name: name(at), ..first.clone() });
        }
        queues.revision = 2;
        let mut sim = sim(&sync::Arc::new(queues.clone()));
        for at in 100..300 {
            sim.submit(at, &name(at), sim::step("plain", 1_000));
        }
        for queue in queues.queues.values_mut() {
            queue.policy.service = "s".repeat(70).as_str().into();
        }
        queues.revision = 3;
        configure(&mut sim, &sync::Arc::new(queues.clone()));
        sim.advance(1_000, false);
        assert_eq!(stored_policies(&sim).len(), 100);
        queues.revision = 4;
        queues.queues.retain(|queue, _| *queue < name(200));
        configure(&mut sim, &sync::Arc::new(queues));
        sim.advance(1_000, false);
        let away: Vec<String> = (200..300).map(name).collect();
        assert_eq!(stored_policies(&sim), away, "what no configuration tells goes first");
        let row = sim.table(job::LEARNED).into_iter().find(|row| row.name == "policies");
        let bytes = row.and_then(|row| row.value).map_or(0, |value| value.len());
        assert!((20_000..=30_000).contains(&bytes), "{bytes}");
        assert_eq!(sim.refusals, 0);
    },
    // A task that waited kept the priority that its queue had when it was queued.
    a_waiting_task_follows_the_priority_of_its_queue => {
        let mut sim = sim(&sim::queues());
        sim.handle(job::Event::Listed(Vec::new()));
        sim.submit(OTHER, "first", sim::step("plain", 16_000));
        let event = sim.accepted(JOB, "last", sim::step("plain", 16_000));
        sim.handle(event);
        configure(&mut sim, &sim::queues_with(2, "first", |policy| policy.priority = 5));
        sim.handle(job::Event::Listed(vec![sim::member(0)]));
        sim.advance(400, false);
        assert_eq!(sim::started_jobs(&sim), [JOB]);
    },
    // A task was started again although it had failed as often as the configuration in force
    // allows.
    a_waiting_task_that_has_failed_as_often_as_now_allowed_ends_its_job => {
        let mut sim = sim(&sim::queues());
        submit(&mut sim, "first");
        fail(&mut sim);
        sim.end_task(TASK, job::EndKind::Failed);
        sim.handle(job::Event::Listed(Vec::new()));
        sim.advance(1_000, false);
        assert_eq!(sim.phase(JOB), job::Phase::Running, "two of three attempts are used up");
        configure(&mut sim, &sim::queues_with(2, "first", |policy| policy.max_attempts = 2));
        sim.handle(job::Event::Listed((0..3).map(sim::member).collect()));
        sim.advance(2_000, false);
        assert_eq!(sim.newest_order(TASK).run, 2);
        assert_eq!(sim.phase(JOB), job::Phase::Failed);
    },
    // A run at work was stopped since an earlier one counts as the last by a new configuration.
    a_run_at_work_may_still_complete_its_job => {
        let mut sim = sim(&sim::queues());
        submit(&mut sim, "first");
        fail(&mut sim);
        fail(&mut sim);
        assert_eq!(sim.newest_order(TASK).run, 3);
        configure(&mut sim, &sim::queues_with(2, "first", |policy| policy.max_attempts = 2));
        sim.advance(400, false);
        assert_eq!(sim.stops, []);
        sim.end_task(TASK, job::EndKind::Done);
        sim.advance(1_000, false);
        assert_eq!(sim.phase(JOB), job::Phase::Completed);
    },
}
