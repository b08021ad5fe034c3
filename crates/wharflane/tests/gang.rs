//! Gangs in the engine: all members start together, one member that is done completes the gang, a
//! failure counts once for all of them, and they stay in one rack where there is room.

mod sim;

use wharflane::job;
use wharflane_stand_in::cases;

/// The job of these tests.
const JOB: u64 = 1;

/// Returns a gang of two tasks.
fn pair() -> job::Step {
    job::Step { count: 2, gang: true, ..sim::step("plain", 9_000) }
}

/// Returns the id of a task of the job.
fn member(index: u32) -> job::TaskId {
    job::TaskId { job: job::JobId(JOB), round: 0, step: 0, index }
}

/// Starts a gang of two on two workers and returns the simulation.
fn started() -> sim::Sim {
    let mut sim = sim::Sim::new(2, Vec::new());
    sim.submit(JOB, "first", pair());
    sim.advance(200, false);
    assert_eq!(sim.starts(JOB), [(0, 1), (1, 1)]);
    sim
}

/// Returns the phase that the job's row records.
fn phase(sim: &sim::Sim) -> job::Phase {
    let key = (job::PROGRESS, job::JobId(JOB).to_string());
    let row = sim.rows.get(&key).expect("a row of the job");
    job::Progress::decode(row).expect("a row that can be read").phase
}

cases! {
    nothing_starts_while_one_member_finds_no_room => {
        let mut sim = sim::Sim::new(1, Vec::new());
        sim.submit(JOB, "first", pair());
        sim.advance(500, false);
        assert_eq!(sim.starts(JOB), []);
        let written = sim.rows.contains_key(&(job::PROGRESS, job::JobId(JOB).to_string()));
        assert!(!written, "a failed attempt to place the gang writes no row");
        sim.handle(job::Event::Member("worker-1".into(), Some(sim::member(1))));
        sim.advance(500, false);
        assert_eq!(sim.starts(JOB), [(0, 1), (1, 1)]);
    },
    one_completed_member_completes_the_gang => {
        let mut sim = started();
        sim.end_task(member(0), job::EndKind::Done);
        sim.advance(300, false);
        sim.end_task(member(1), job::EndKind::Lapsed);
        sim.advance(300, false);
        assert_eq!(phase(&sim), job::Phase::Completed);
        assert_eq!(sim.starts(JOB), [(0, 1), (1, 1)], "no member is started again");
    },
    a_failed_member_counts_as_one_failure_of_the_gang => {
        let mut sim = started();
        for (run, index) in [(2, 0), (3, 1)] {
            sim.end_task(member(index), job::EndKind::Failed);
            sim.end_task(member(1 - index), job::EndKind::Broken);
            // A worker on which two runs in a row fail is quarantined for 4 s.
            sim.advance(5_000, false);
            assert!(sim.starts(JOB).ends_with(&[(0, run), (1, run)]), "{:?}", sim.starts(JOB));
        }
        sim.end_task(member(0), job::EndKind::Failed);
        sim.end_task(member(1), job::EndKind::Broken);
        sim.advance(5_000, false);
        assert_eq!(phase(&sim), job::Phase::Failed, "three attempts are allowed");
        assert_eq!(sim.starts(JOB).len(), 6);
    },
    two_failed_members_of_one_run_count_once => {
        let mut sim = started();
        sim.end_task(member(0), job::EndKind::Failed);
        sim.end_task(member(1), job::EndKind::Failed);
        sim.advance(5_000, false);
        sim.end_task(member(0), job::EndKind::Failed);
        sim.end_task(member(1), job::EndKind::Failed);
        sim.advance(9_000, false);
        assert_eq!(phase(&sim), job::Phase::Running);
    },
    a_gang_stays_in_one_rack_where_there_is_room => {
        let mut sim = sim::Sim::new(0, Vec::new());
        for (at, rack) in [(0, "r1"), (1, "r2"), (2, "r1"), (3, "r2")] {
            let member = job::Member { rack: Some(rack.to_owned()), ..sim::member(at) };
            sim.handle(job::Event::Member(member.incarnation.worker.clone(), Some(member)));
        }
        // The worker that fits best is in a rack without room for a second member.
        sim.submit(9, "first", sim::step("plain", 9_000));
        sim.advance(200, false);
        sim.submit(8, "first", sim::step("plain", 4_000));
        sim.advance(200, false);
        sim.submit(JOB, "first", job::Step { same_rack: true, ..pair() });
        sim.advance(200, false);
        let starts = sim.pending.iter().filter_map(|effect| match effect {
            job::Effect::Start(start) if start.order.task.job.0 == JOB => Some(&start.order.worker),
            _ => None,
        });
        let racks: Vec<bool> =
            starts.map(|worker| ["worker-1", "worker-3"].contains(&worker.worker.as_str())).collect();
        assert_eq!(racks, [true, true], "both members are in the rack with room");
    },
}
