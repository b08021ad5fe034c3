//! Runs that an unknown next incarnation of a worker may have.
//!
//! Guards against tasks that run at two places at once. A worker restarted under its id and was cut
//! off before anybody knew. Orders for the incarnation before had reached the next one, whose clock
//! had begun again: it cut the lease in them to the longest that it grants, while the holder
//! counted the shorter one that it had requested.

mod silent_worker;
mod sim;

use std::time;

use wharflane::job;
use wharflane_stand_in::cases;

/// How long a worker must be out of the list until no call is expected to be carried out late there.
const UNLISTED: time::Duration = time::Duration::from_secs(3);

/// Checks that a task which its worker has listed waits only for the lease that was requested, if
/// the row that it shares with another one is written again just before the holder is killed. That
/// holder was preceded by others.
fn check_row_written_again(holders_before: usize) {
    let mut domain = silent_worker::Domain::new();
    let step = job::Step { count: 2, ..sim::step("plain", 9_000) };
    domain.submit_other(2, step);
    domain.sim.advance(3_000, false);
    for _ in 0..holders_before {
        domain.change_holder();
        domain.sim.advance(3_000, false);
    }
    let (first, second) = (job::TaskId { job: job::JobId(2), ..silent_worker::task() }, 1);
    let second = job::TaskId { index: second, ..first };
    let worker = domain.sim.worker_of(first);
    assert_ne!(worker, domain.sim.worker_of(second), "each worker has room for one");
    assert!(domain.shown_upto() >= domain.version_of(job::PROGRESS), "both are shown");
    domain.sim.end_task(second, job::EndKind::Done);
    let before = domain.version_of(job::PROGRESS);
    while domain.version_of(job::PROGRESS) == before {
        domain.sim.advance(20, false);
    }
    domain.ordered = domain.sim.now;
    domain.sim.silent_workers.insert(worker.clone());
    domain.change_holder();
    let after = domain.moved_after(first, &worker);
    let least = domain.settings.task_lease + domain.settings.lease;
    assert!(after <= least + silent_worker::MAX_EXCESS, "started again only after {after:?}");
}

cases! {
    a_start_without_an_answer_waits_for_the_longest_lease_of_a_next_incarnation => {
        let mut domain = silent_worker::Domain::new();
        let worker = domain.start(job::StartAnswer::Silent);
        domain.check_waits(&worker);
    },
    a_start_that_the_next_incarnation_took_waits_for_its_longest_lease => {
        let mut domain = silent_worker::Domain::new();
        let taken = job::StartAnswer::Taken { clock_ms: Some(silent_worker::YOUNG_CLOCK_MS) };
        let worker = domain.start(taken);
        domain.check_waits(&worker);
    },
    a_start_taken_by_an_unknown_incarnation_waits_for_its_longest_lease => {
        let mut domain = silent_worker::Domain::new();
        let worker = domain.start(job::StartAnswer::Taken { clock_ms: None });
        domain.check_waits(&worker);
    },
    // The first order may still reach the next incarnation, though the second one was answered.
    a_start_with_an_earlier_order_in_doubt_waits_for_the_longest_lease => {
        let mut domain = silent_worker::Domain::new();
        domain.sim.start_answers.push_back(job::StartAnswer::Silent);
        domain.submit();
        domain.sim.advance(2_000, false);
        let order = domain.first_order().expect("an order");
        assert!(domain.sim.last_order(silent_worker::task()).is_some(), "the second order is taken");
        domain.ordered = domain.sim.now;
        domain.sim.silent_workers.insert(order.worker.clone());
        let after = domain.started_again_after(&order.worker);
        assert!(after >= silent_worker::LONGEST_LEASE, "started again after {after:?}");
    },
    // The next holder doesn't know what its predecessor heard of the start.
    a_start_of_a_killed_holder_waits_for_the_longest_lease_of_a_next_incarnation => {
        let mut domain = silent_worker::Domain::new();
        let worker = domain.start(job::StartAnswer::Silent);
        domain.change_holder();
        let after = domain.started_again_after(&worker);
        assert!(after >= silent_worker::LATE_CALL + silent_worker::LONGEST_LEASE, "started again after {after:?}");
    },
    // The clock in the answer tells of a restart before a heartbeat does.
    a_start_taken_by_the_next_incarnation_is_counted_and_followed_by_a_heartbeat => {
        let mut domain = silent_worker::Domain::new();
        let young = job::StartAnswer::Taken { clock_ms: Some(silent_worker::YOUNG_CLOCK_MS) };
        domain.sim.start_answers.push_back(young);
        domain.submit();
        while domain.first_order().is_none() {
            domain.sim.advance(20, false);
        }
        let ordered = domain.sim.now;
        domain.sim.heartbeats_sent.clear();
        domain.sim.advance(40, false);
        let worker = domain.sim.worker_of(silent_worker::task());
        let asked = domain.sim.heartbeats_sent.iter().find(|(_, to)| *to == worker);
        let asked = asked.expect("a heartbeat").0;
        assert!(asked <= ordered + time::Duration::from_millis(20), "{asked:?} after {ordered:?}");
        assert_eq!(domain.sim.engine.holding().expect("a holder").taken_by_others(), 1);
    },
    // Guards against tasks of every lost worker that wait for the longest lease.
    a_run_that_the_addressed_incarnation_has_listed_waits_for_its_own_lease => {
        let mut domain = silent_worker::Domain::new();
        domain.submit();
        domain.sim.advance(2_000, false);
        let worker = domain.sim.worker_of(silent_worker::task());
        domain.ordered = domain.sim.now;
        domain.sim.silent_workers.insert(worker.clone());
        domain.check_waits_for_its_own_lease(&worker);
    },
    a_start_that_the_addressed_incarnation_took_by_its_clock_waits_for_its_own_lease => {
        let mut domain = silent_worker::Domain::new();
        let taken = silent_worker::taken_by_the_addressed(&domain);
        let worker = domain.start(taken);
        domain.check_waits_for_its_own_lease(&worker);
    },
    // Guards against a change of the holder that makes every task of a lost worker wait for the
    // longest lease.
    a_run_listed_under_the_holder_before_waits_for_the_lease_that_it_requested => {
        let mut domain = silent_worker::Domain::new();
        domain.submit();
        domain.sim.advance(2_000, false);
        let worker = domain.sim.worker_of(silent_worker::task());
        domain.sim.silent_workers.insert(worker.clone());
        domain.change_holder();
        domain.ordered = domain.sim.now;
        let after = domain.started_again_after(&worker);
        let least = domain.settings.task_lease + domain.settings.lease;
        assert!(after <= least + silent_worker::MAX_EXCESS, "started again only after {after:?}");
    },
    // The lease row names the worker as restarted, which says nothing of starts after that restart.
    a_start_after_a_known_restart_waits_for_the_longest_lease_under_the_next_holder => {
        let mut domain = silent_worker::Domain::new();
        domain.submit();
        domain.sim.advance(2_000, false);
        let order = domain.sim.newest_order(silent_worker::task());
        let at = silent_worker::number_of(&order.worker);
        let next = domain.sim.restart(at);
        // The next incarnation had taken the order, so its leases count from this answer on.
        domain.sim.answer_heartbeat(&next, silent_worker::running(&next, &order, domain.sim.now));
        let second = job::TaskId { job: job::JobId(2), ..silent_worker::task() };
        let leaving = job::Member { leaving: true, ..silent_worker::old_member(1 - at) };
        let other = leaving.incarnation.worker.clone();
        domain.sim.handle(job::Event::Member(other, Some(leaving)));
        domain.sim.advance(1_000, false);
        // The simulation answers the starts before once more.
        let before = sim::started_jobs(&domain.sim).len();
        let taken = job::StartAnswer::Taken { clock_ms: None };
        domain.sim.start_answers.extend(vec![taken; before]);
        domain.sim.start_answers.push_back(job::StartAnswer::Silent);
        domain.submit_other(2, sim::step("plain", 1_000));
        domain.sim.advance(100, false);
        assert_eq!(domain.sim.not_taken[0].order.worker, next, "the restarted worker is asked");
        assert_eq!(domain.sim.not_taken[0].order.task, second, "the second job is started");
        domain.ordered = domain.sim.now;
        domain.sim.silent_workers.clear();
        domain.sim.silent_workers.insert(next.clone());
        let mut members = vec![silent_worker::old_member(1 - at)];
        members.push(job::Member { incarnation: next.clone(), ..sim::member(at) });
        domain.change_holder_among(members);
        let after = domain.moved_after(second, &next);
        assert!(after >= silent_worker::LATE_CALL + silent_worker::LONGEST_LEASE, "started again after {after:?}");
    },
    // Tasks share rows: the end of one makes the row of all others newer than what the last commit
    // tells.
    a_run_listed_before_its_row_is_written_again_waits_for_the_lease_that_was_requested => {
        check_row_written_again(0);
    },
    // The row still names the task as not shown: nothing was written since its start.
    a_run_listed_under_the_holder_before_that_counts_as_shown_once_its_row_is_written_again => {
        check_row_written_again(1);
    },
    // Each holder in turn lists the run; none holds the domain for as long as a call may be late.
    a_run_listed_under_several_holders_does_not_hold_back_what_is_shown => {
        let mut domain = silent_worker::Domain::new();
        domain.submit();
        domain.sim.advance(100, false);
        let recorded = domain.version_of(job::PROGRESS);
        let changed = domain.sim.now;
        for _ in 0..5 {
            domain.change_holder();
            domain.sim.advance(4_000, false);
        }
        assert!(domain.sim.now - changed > silent_worker::LATE_CALL * 2, "no order can be late any more");
        let upto = domain.shown_upto();
        assert!(upto >= recorded, "shown up to {upto}, recorded at {recorded}");
    },
    // The clock that it shows could be that of an incarnation born since the last answer.
    a_start_taken_by_a_worker_known_for_a_moment_waits_for_the_longest_lease => {
        let mut domain = silent_worker::Domain::with_workers_of_age(3_000, silent_worker::LONGEST_LEASE);
        let taken = silent_worker::taken_by_the_addressed(&domain);
        let worker = domain.start(taken);
        domain.check_waits(&worker);
    },
    // The clock is behind what the addressed incarnation must show, though its last answer isn't.
    a_start_taken_with_a_clock_behind_waits_for_the_longest_lease => {
        let mut domain = silent_worker::Domain::new();
        let clock_ms = u64::try_from(domain.sim.now.as_millis()).expect("fits into u64") - 4_000;
        let worker = domain.start(job::StartAnswer::Taken { clock_ms: Some(clock_ms) });
        domain.check_waits(&worker);
    },
    // Commits that follow the start tell the next holder that it is not shown.
    a_start_of_a_holder_killed_after_further_commits_waits_for_the_longest_lease => {
        let mut domain = silent_worker::Domain::new();
        let worker = domain.start(job::StartAnswer::Silent);
        domain.sim.advance(1_500, false);
        let recorded = domain.version_of(job::PROGRESS);
        assert!(domain.version_of(job::LEASES) > recorded, "the lease was renewed");
        domain.change_holder();
        let after = domain.started_again_after(&worker);
        assert!(after >= silent_worker::LATE_CALL + silent_worker::LONGEST_LEASE, "started again after {after:?}");
    },
    // An incarnation that is cut off from the store has no entry, so that a list which lacks the
    // worker proves no end. Calls that are carried out late are not waited for.
    a_start_of_a_killed_holder_waits_for_one_longest_lease_if_its_worker_is_not_listed => {
        let mut domain = silent_worker::Domain::new();
        let worker = domain.start(job::StartAnswer::Silent);
        let other = silent_worker::old_member(1 - silent_worker::number_of(&worker));
        domain.change_holder_among(vec![other]);
        let after = domain.started_again_after(&worker);
        let least = domain.settings.lease + silent_worker::LONGEST_LEASE;
        assert!(after >= least, "started again after {after:?}");
        assert!(after <= least + silent_worker::MAX_EXCESS, "started again only after {after:?}");
    },
    a_start_without_an_answer_waits_for_late_calls_until_its_worker_is_out_of_the_list => {
        for unlisted_after_ms in [1_000, 6_000, 12_000] {
            let mut domain = silent_worker::Domain::new();
            let worker = domain.start(job::StartAnswer::Silent);
            domain.sim.advance(unlisted_after_ms, false);
            domain.sim.handle(job::Event::Member(worker.worker.clone(), None));
            let unlisted = domain.sim.now;
            let after = domain.started_again_after(&worker);
            let least = (unlisted - domain.ordered + UNLISTED).max(silent_worker::LONGEST_LEASE);
            assert!(after >= least, "started again after {after:?}");
            assert!(after <= least + silent_worker::MAX_EXCESS, "started again only after {after:?}");
        }
    },
    // Guards against tasks of lost workers that wait for the longest lease: the worker was out of
    // reach when the first order was sent, and has the run since both orders for it were over.
    a_run_listed_after_two_orders_waits_until_its_worker_is_out_of_the_list => {
        let mut domain = silent_worker::Domain::new();
        let worker = domain.start(job::StartAnswer::Silent);
        domain.sim.advance(2_000, false);
        domain.sim.silent_workers.clear();
        domain.sim.advance(3_000, false);
        assert_eq!(domain.sim.worker_of(silent_worker::task()), worker, "it was ordered again");
        domain.ordered = domain.sim.now;
        domain.sim.silent_workers.insert(worker.clone());
        domain.sim.handle(job::Event::Member(worker.worker.clone(), None));
        domain.check_waits_for_its_own_lease(&worker);
    },
    // The worker answers heartbeats while the order has no answer, so that it may carry it out late,
    // also on its next incarnation that is cut off from the store and has no entry.
    a_start_that_an_answering_worker_left_unanswered_waits_for_late_calls_without_an_entry => {
        let mut domain = silent_worker::Domain::new();
        domain.sim.start_answers.push_back(job::StartAnswer::Silent);
        domain.submit();
        while domain.sim.not_taken.is_empty() {
            domain.sim.advance(20, false);
        }
        domain.ordered = domain.sim.now;
        domain.sim.advance(3_000, false);
        let worker = domain.sim.worker_of(silent_worker::task());
        domain.sim.silent_workers.insert(worker.clone());
        domain.sim.handle(job::Event::Member(worker.worker.clone(), None));
        domain.check_waits(&worker);
    },
    // The next incarnation lives, whatever the list tells, and a late call may extend its lease.
    a_start_that_the_next_incarnation_took_waits_for_late_calls_without_an_entry => {
        let mut domain = silent_worker::Domain::new();
        let young = job::StartAnswer::Taken { clock_ms: Some(silent_worker::YOUNG_CLOCK_MS) };
        let worker = domain.start(young);
        domain.sim.advance(1_000, false);
        domain.sim.handle(job::Event::Member(worker.worker.clone(), None));
        domain.check_waits(&worker);
    },
    // The list is of the incarnation that took the first order; the next one may have taken the
    // second, since its answer doesn't tell who took it.
    a_run_listed_before_its_second_order_was_taken_waits_for_the_longest_lease => {
        let mut domain = silent_worker::Domain::new();
        domain.submit();
        let order = domain.tick_until_ordered();
        domain.answer_start(job::StartAnswer::Silent);
        // The worker is out of reach for a moment, so that the first order counts as lost.
        domain.sim.answer_heartbeat(&order.worker, job::HeartbeatAnswer::Silent);
        let idle = silent_worker::idle(&order.worker, domain.sim.now);
        domain.sim.answer_heartbeat(&order.worker, idle);
        assert_eq!(domain.tick_until_ordered(), order, "ordered again");
        domain.answer_start(job::StartAnswer::Taken { clock_ms: None });
        domain.ordered = domain.sim.now;
        let listed = silent_worker::running(&order.worker, &order, domain.sim.now);
        domain.sim.answer_heartbeat(&order.worker, listed);
        assert_eq!(domain.sim.now, domain.ordered, "the heartbeat was sent before");
        domain.sim.silent_workers.insert(order.worker.clone());
        domain.sim.handle(job::Event::Member(order.worker.worker.clone(), None));
        let after = domain.started_again_after(&order.worker);
        assert!(after >= silent_worker::LONGEST_LEASE, "started again after {after:?}");
    },
    // Entries of workers that live come back after an outage of the store.
    a_start_waits_for_the_longest_lease_though_its_worker_was_out_of_the_list_for_a_moment => {
        let mut domain = silent_worker::Domain::new();
        let worker = domain.start(job::StartAnswer::Silent);
        domain.sim.advance(2_000, false);
        domain.sim.handle(job::Event::Member(worker.worker.clone(), None));
        domain.sim.advance(2_000, false);
        let at = silent_worker::number_of(&worker);
        let member = job::Member { incarnation: worker.clone(), ..sim::member(at) };
        domain.sim.handle(job::Event::Member(worker.worker.clone(), Some(member)));
        domain.check_waits(&worker);
    },
    // The second order may be late, although the first had been carried out.
    a_run_listed_before_its_start_is_answered_waits_for_the_longest_lease => {
        let mut domain = silent_worker::Domain::new();
        domain.submit();
        let order = domain.tick_until_ordered();
        let listed = silent_worker::running(&order.worker, &order, domain.sim.now);
        domain.sim.answer_heartbeat(&order.worker, listed);
        domain.answer_start(job::StartAnswer::Silent);
        domain.sim.start_answers.push_back(job::StartAnswer::Silent);
        while domain.sim.not_taken.is_empty() {
            domain.sim.advance(20, false);
        }
        assert_eq!(domain.sim.not_taken[0].order, order, "ordered again");
        domain.ordered = domain.sim.now;
        domain.sim.silent_workers.insert(order.worker.clone());
        domain.check_waits(&order.worker);
    },
    // A host that ends before it has loaded the state passes on what its predecessor told.
    a_start_waits_for_the_longest_lease_after_a_holder_that_never_loaded_the_state => {
        let mut domain = silent_worker::Domain::new();
        let worker = domain.start(job::StartAnswer::Silent);
        domain.take_lease((0..2).map(silent_worker::old_member).collect());
        domain.change_holder();
        let after = domain.started_again_after(&worker);
        assert!(after >= silent_worker::LATE_CALL + silent_worker::LONGEST_LEASE, "started again after {after:?}");
    },
    a_listed_run_waits_for_its_own_lease_after_a_holder_that_never_loaded_the_state => {
        let mut domain = silent_worker::Domain::new();
        domain.submit();
        domain.sim.advance(2_000, false);
        let worker = domain.sim.worker_of(silent_worker::task());
        domain.sim.silent_workers.insert(worker.clone());
        domain.take_lease((0..2).map(silent_worker::old_member).collect());
        domain.change_holder();
        domain.ordered = domain.sim.now;
        let after = domain.started_again_after(&worker);
        let least = domain.settings.task_lease + domain.settings.lease;
        assert!(after <= least + silent_worker::MAX_EXCESS, "started again only after {after:?}");
    },
    // A worker without a start time never comes back under its id.
    a_start_without_an_answer_waits_for_its_own_lease_where_no_worker_comes_back => {
        let none = (Vec::new(), Vec::new());
        let settings = silent_worker::Domain::new().settings;
        let mut sim = sim::Sim::with_settings(settings, 2, none, Vec::new());
        sim.advance(silent_worker::AGE_MS, false);
        let mut domain = silent_worker::Domain { ordered: sim.now, sim, settings, jobs: Vec::new() };
        let worker = domain.start(job::StartAnswer::Silent);
        domain.check_waits_for_its_own_lease(&worker);
    },
    // The holder presumed dead may go on ordering until its own lease ends.
    a_start_of_a_holder_presumed_dead_counts_from_the_end_of_its_lease => {
        let mut domain = silent_worker::Domain::new();
        let worker = domain.start(job::StartAnswer::Silent);
        domain.sim.pending.retain(|effect| matches!(effect, job::Effect::Start(_)));
        domain.sim.engine = job::Engine::new("next-host".into(), domain.settings, 2);
        domain.sim.handle(job::Event::Queues(sim::queues()));
        domain.sim.handle(job::Event::Listed((0..2).map(silent_worker::old_member).collect()));
        domain.read_lease();
        domain.sim.now += domain.settings.probe;
        let version = domain.version_of(job::LEASES);
        let result = job::ProbeResult::Refused;
        domain.sim.handle(job::Event::Probed { version, result });
        assert!(!domain.sim.engine.is_watching(), "the lease is taken");
        domain.ordered = domain.sim.now + domain.settings.lease;
        domain.load();
        domain.check_waits(&worker);
    },
    // Its leases may be extended by a heartbeat that is late.
    a_start_that_a_restarted_worker_took_waits_for_late_calls_once_the_restart_is_known => {
        let mut domain = silent_worker::Domain::new();
        let taken = job::StartAnswer::Taken { clock_ms: Some(silent_worker::YOUNG_CLOCK_MS) };
        let worker = domain.start(taken);
        domain.sim.advance(1_000, false);
        let next = domain.sim.restart(silent_worker::number_of(&worker));
        domain.sim.silent_workers.insert(next.clone());
        domain.ordered = domain.sim.now;
        let after = domain.moved_after(silent_worker::task(), &next);
        assert!(after >= silent_worker::LATE_CALL + silent_worker::LONGEST_LEASE, "started again after {after:?}");
    },
    // One order was sent and carried out, so that none can be late.
    a_run_listed_after_its_only_order_had_no_answer_waits_for_its_own_lease => {
        let mut domain = silent_worker::Domain::new();
        domain.submit();
        let order = domain.tick_until_ordered();
        domain.answer_start(job::StartAnswer::Silent);
        let listed = silent_worker::running(&order.worker, &order, domain.sim.now);
        domain.sim.answer_heartbeat(&order.worker, listed);
        domain.ordered = domain.sim.now;
        domain.sim.silent_workers.insert(order.worker.clone());
        domain.check_waits_for_its_own_lease(&order.worker);
    },
    // Otherwise a short run would hold back what is shown for ever.
    a_run_that_ends_before_it_is_listed_does_not_hold_back_what_is_shown => {
        let mut domain = silent_worker::Domain::new();
        domain.sim.start_answers.push_back(job::StartAnswer::Taken { clock_ms: None });
        domain.submit();
        let order = domain.tick_until_ordered();
        domain.sim.end_run(&order, job::EndKind::Done, String::new());
        domain.sim.advance(3_000, false);
        let (upto, recorded) = (domain.shown_upto(), domain.version_of(job::PROGRESS));
        assert!(upto >= recorded, "shown up to {upto}, recorded at {recorded}");
    },
}
