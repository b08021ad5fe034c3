//! What a holder tells the next one of starts that may be with a next incarnation of their worker.
//!
//! Guards against tasks that run at two places at once. The lease row and the rows of progress bound
//! for how long such a start is waited for; where they told too little, the next holder started the
//! task elsewhere before the lease of the run was over.

mod silent_worker;
mod sim;

use wharflane::{id, job, size};
use wharflane_stand_in::cases;

/// The number of jobs, more than rows fit into one transaction.
const JOBS: u64 = 120;
/// The number of restarted workers, more than the lease row names.
const RESTARTED: usize = 65;

/// Returns a step of tasks so small that one worker has room for all of them.
fn small_step(count: u32) -> job::Step {
    let size = size::Size { cpu_milli: 10, mem_mb: 10, accelerators: 0 };
    job::Step { count, size, ..sim::step("plain", 10) }
}

/// Returns the first task of a job.
fn task_of(number: u64) -> job::TaskId {
    job::TaskId { job: job::JobId(number), ..silent_worker::task() }
}

/// The field of a row of progress that names the starts that are not shown.
const UNSHOWN: &str = "un";

/// Makes all rows tell of the starts what rows of an older version tell: nothing.
fn forget_unshown(sim: &mut sim::Sim) {
    for ((table, _), text) in &mut sim.rows {
        let mut row: serde_json::Value = serde_json::from_str(text).expect("a row");
        match (*table, row.as_object_mut()) {
            (job::PROGRESS, Some(fields)) => drop(fields.remove(UNSHOWN).expect("a start")),
            (job::LEASES, Some(fields)) => drop(fields.remove("shown_upto").expect("a version")),
            _ => continue,
        }
        *text = row.to_string();
    }
}

/// Returns how many rows of progress tell of a start that is not shown.
fn unshown_rows(sim: &sim::Sim) -> usize {
    let rows = sim.rows.iter().filter(|((table, _), _)| *table == job::PROGRESS);
    let rows = rows.map(|(_, text)| serde_json::from_str(text).expect("a row"));
    rows.filter(|row: &serde_json::Value| row.get(UNSHOWN).is_some()).count()
}

/// Checks that starts wait for the longest lease under a third holder, if the first one was of an
/// older version and the second one was killed after its first commit.
fn check_rows_of_an_older_version() {
    let mut domain = silent_worker::Domain::new();
    let mut leaving = silent_worker::old_member(1);
    leaving.leaving = true;
    let id = leaving.incarnation.worker.clone();
    domain.sim.handle(job::Event::Member(id, Some(leaving)));
    domain.sim.start_answers.extend(vec![job::StartAnswer::Silent; JOBS as usize]);
    for number in 1..=JOBS {
        domain.submit_other(number, small_step(1));
    }
    let worker = silent_worker::old_member(0).incarnation;
    domain.sim.silent_workers.insert(worker.clone());
    domain.sim.advance(500, false);
    assert_eq!(domain.sim.not_taken.len(), JOBS as usize, "all are ordered");
    domain.ordered = domain.sim.now;
    forget_unshown(&mut domain.sim);
    domain.change_holder();
    domain.sim.advance(20, false);
    let written = unshown_rows(&domain.sim);
    assert!((1..JOBS as usize).contains(&written), "{written} rows are written again");
    domain.change_holder();
    for number in [JOBS, 1] {
        let after = domain.moved_after(task_of(number), &worker);
        assert!(after >= silent_worker::LONGEST_LEASE, "{number} is started after {after:?}");
    }
}

/// Checks that no run on a restarted worker is taken for over by the next holder before the longest
/// lease has passed, however many workers have restarted.
fn check_many_restarted_workers() {
    let settings = silent_worker::Domain::new().settings;
    let none = (Vec::new(), Vec::new());
    let mut sim = sim::Sim::with_settings(settings, 0, none, Vec::new());
    (0..RESTARTED).for_each(|at| drop(sim.restart(at)));
    sim.advance(silent_worker::AGE_MS, false);
    let mut domain = silent_worker::Domain { ordered: sim.now, sim, settings, jobs: Vec::new() };
    let count = u32::try_from(RESTARTED).expect("fits into u32");
    let step = job::Step { max_per_worker: Some(1), ..small_step(count) };
    domain.submit_other(silent_worker::JOB, step);
    domain.tick_until_ordered();
    let starts = std::mem::take(&mut domain.sim.pending).into_iter();
    let orders = starts.filter_map(|effect| match effect {
        job::Effect::Start(start) => Some(start.order),
        _ => None,
    });
    let orders: Vec<job::Order> = orders.collect();
    assert_eq!(orders.len(), RESTARTED, "all are ordered");
    for order in &orders {
        let answer = job::StartAnswer::Taken { clock_ms: None };
        domain.sim.handle(job::Event::Started { order: order.clone(), answer });
    }
    let at_of = |worker: &id::Incarnation| {
        let mut ats = 0..RESTARTED;
        ats.find(|at| sim::member(*at).incarnation.worker == worker.worker).expect("a worker")
    };
    let mut members = Vec::new();
    for order in &orders {
        let at = at_of(&order.worker);
        let incarnation = domain.sim.restart(at);
        members.push(job::Member { incarnation, ..sim::member(at) });
    }
    for (order, member) in orders.iter().zip(&members) {
        let next = &member.incarnation;
        let answer = silent_worker::running(next, order, domain.sim.now);
        domain.sim.answer_heartbeat(next, answer);
    }
    // The row names the first workers by id.
    let runs = orders.iter().zip(&members).map(|(order, member)| (order.task, member));
    let last = runs.max_by_key(|(_, member)| member.incarnation.clone()).expect("a worker");
    let (task, last) = (last.0, last.1.incarnation.clone());
    domain.sim.silent_workers.insert(last.clone());
    domain.ordered = domain.sim.now;
    let idle = sim::member(RESTARTED);
    let id = idle.incarnation.worker.clone();
    domain.sim.handle(job::Event::Member(id, Some(idle.clone())));
    domain.sim.pending.clear();
    // The lease row tells meanwhile that the run is shown.
    domain.sim.advance(800, false);
    assert!(domain.shown_upto() >= domain.version_of(job::PROGRESS), "the run is shown");
    members.push(idle);
    domain.change_holder_among(members);
    let after = domain.moved_after(task, &last);
    let longest = silent_worker::LONGEST_LEASE;
    assert!(after >= longest, "started again after {after:?}");
    assert!(after <= longest + silent_worker::MAX_EXCESS, "started again only after {after:?}");
}

cases! {
    // The second holder writes the rows again, but it may be killed before it has written all.
    a_start_in_a_row_of_an_older_version_counts_as_unshown_for_every_next_holder => {
        check_rows_of_an_older_version();
    },
    // The lease row names 64 restarted workers at most.
    a_run_on_one_of_many_restarted_workers_outlasts_a_holder => check_many_restarted_workers(),
}
