//! Tests bounds on the results of the design decisions, as counts and ratios of runs in virtual
//! time.

use std::time;

use wharflane_bench::{interference, job_engine, queueing};
use wharflane_stand_in::cases;

/// Returns a setup with a small number of endpoints and a load given as a share of their capacity.
fn setup(hosts: usize, load: f64) -> queueing::Setup {
    let mut setup = queueing::Setup::with_load(hosts, load);
    let endpoints = 24;
    setup.rate *= endpoints as f64 / setup.endpoints as f64;
    setup.endpoints = endpoints;
    setup.conditions.truncate(endpoints);
    setup.duration = time::Duration::from_secs(2);
    setup
}

/// Returns the number of requests that were not answered in time.
fn unanswered(outcome: &queueing::Outcome) -> u64 {
    outcome.offered - outcome.answered
}

/// Runs a setup with one way of sharing slots.
fn run_with_sharing(
    sharing: queueing::Sharing,
    hosts: usize,
    first_share: f64,
) -> queueing::Outcome {
    let setup = queueing::Setup { sharing, first_share, ..setup(hosts, 0.7) };
    queueing::run(&setup, 1)
}

/// Runs a setup with one routing policy in which some endpoints have a condition.
fn run_with_choice(
    choice: queueing::Choice,
    condition: queueing::Condition,
    affected: usize,
) -> queueing::Outcome {
    let mut setup = queueing::Setup { choice, max_attempts: 1, ..setup(6, 0.5) };
    setup.conditions[..affected].fill((condition, time::Duration::from_secs(9)));
    queueing::run(&setup, 2)
}

/// Runs a load with one queue policy.
fn run_with_queue_policy(queue_policy: queueing::QueuePolicy, load: f64) -> queueing::Outcome {
    queueing::run(&queueing::Setup { queue_policy, ..setup(6, load) }, 3)
}

/// Runs the job engine for a short time with a number of workers and of waiting tasks.
fn run_job_engine(workers: usize, starts_per_s: f64, waiting_tasks: u32) -> job_engine::Cost {
    let duration = time::Duration::from_millis(500);
    job_engine::measure(job_engine::Setup { workers, starts_per_s, waiting_tasks, duration })
}

cases! {
    cost_per_start_does_not_grow_with_the_number_of_workers => {
        for (workers, starts_per_s) in [(66, 145.0), (300, 550.0)] {
            let cost = run_job_engine(workers, starts_per_s, 0);
            assert!(cost.starts > 50, "{cost:?}");
            // Steps have 9 to 39 tasks, and one search over all workers serves a whole step.
            assert!(cost.per_start(cost.worker_searches) < 0.15, "{cost:?}");
            assert!(cost.per_start(cost.heartbeats) < 1.6, "{cost:?}");
            assert!(cost.per_start(cost.txn_bytes) < 120.0, "{cost:?}");
        }
    },
    waiting_tasks_add_few_worker_searches => {
        let (few, many) = (run_job_engine(66, 145.0, 600), run_job_engine(66, 145.0, 6_000));
        assert!(many.starts * 10 > few.starts * 9, "{few:?} {many:?}");
        assert!(many.worker_searches < 2 * few.worker_searches + 50, "{few:?} {many:?}");
    },
    window_sharing_serves_uneven_load_that_fixed_shares_lose => {
        let fixed = run_with_sharing(queueing::Sharing::Fixed, 9, 0.5);
        let window = run_with_sharing(queueing::Sharing::Window, 9, 0.5);
        assert!(
            unanswered(&fixed) * 10 > fixed.offered,
            "fixed shares must leave over a tenth unanswered",
        );
        assert!(
            unanswered(&window) * 100 < window.offered,
            "windows must leave under a hundredth unanswered",
        );
    },
    window_sharing_causes_fewer_refusals_than_optimistic_sharing => {
        let optimistic = run_with_sharing(queueing::Sharing::Optimistic, 9, 1.0 / 9.0);
        let window = run_with_sharing(queueing::Sharing::Window, 9, 1.0 / 9.0);
        assert!(
            window.full_refusals * 10 < optimistic.full_refusals * 9,
            "{} {}",
            window.full_refusals,
            optimistic.full_refusals,
        );
    },
    two_choices_avoid_slow_endpoints => {
        let slow = queueing::Condition::Slow(5.0);
        let random = run_with_choice(queueing::Choice::Random, slow, 3);
        let two_choices = run_with_choice(queueing::Choice::TwoChoices, slow, 3);
        assert!(two_choices.quantile_ms(0.99) < random.quantile_ms(0.99));
        assert!(two_choices.faulty_attempts * 2 < random.faulty_attempts);
    },
    two_choices_eject_an_endpoint_that_fails_fast => {
        let fail_fast = queueing::Condition::FailFast;
        let least_connections = run_with_choice(queueing::Choice::LeastConnections, fail_fast, 1);
        let two_choices = run_with_choice(queueing::Choice::TwoChoices, fail_fast, 1);
        assert!(
            unanswered(&two_choices) * 10 < unanswered(&least_connections),
            "{} {}",
            unanswered(&two_choices),
            unanswered(&least_connections),
        );
    },
    bounded_queue_keeps_goodput_under_overload => {
        let at_capacity = run_with_queue_policy(queueing::QueuePolicy::Bounded, 1.0);
        let overloaded = run_with_queue_policy(queueing::QueuePolicy::Bounded, 3.0);
        let endless = run_with_queue_policy(queueing::QueuePolicy::Endless, 3.0);
        assert!(
            overloaded.answered * 100 > at_capacity.answered * 90,
            "{} {}",
            overloaded.answered,
            at_capacity.answered,
        );
        assert!(
            overloaded.answered > endless.answered * 2,
            "{} {}",
            overloaded.answered,
            endless.answered,
        );
    },
    paid_requests_are_answered_under_overload => {
        let overloaded = run_with_queue_policy(queueing::QueuePolicy::Bounded, 3.0);
        assert!(
            overloaded.paid_answered * 100 > overloaded.paid * 98,
            "{} {}",
            overloaded.paid_answered,
            overloaded.paid,
        );
    },
    requests_are_refused_early_under_overload => {
        let overloaded = run_with_queue_policy(queueing::QueuePolicy::Bounded, 3.0);
        let median_us = overloaded.refusal_us.value_at_quantile(0.5);
        assert!(
            median_us * 10 < 500_000,
            "the median refusal took over a tenth of the caller timeout: {median_us} us",
        );
    },
    control_loops_miss_fewer_targets_than_first_fit_and_eviction => {
        let site = interference::sites()[0].with_workers(20);
        let run = |policy| interference::run(&site, policy, time::Duration::from_secs(240));
        let (first_fit, evict_at_once) =
            (run(interference::Policy::FirstFit), run(interference::Policy::EvictAtOnce));
        let product = run(interference::Policy::Product);
        assert!(product.seconds_over * 2 < first_fit.seconds_over, "{product:?} {first_fit:?}");
        assert!(
            product.seconds_over * 2 < evict_at_once.seconds_over,
            "{product:?} {evict_at_once:?}",
        );
        assert!(product.evictions * 10 < evict_at_once.evictions, "{product:?} {evict_at_once:?}");
        assert!(product.completed * 100 > first_fit.completed * 75, "{product:?} {first_fit:?}");
        assert_eq!(product.violations, 0);
    },
    retries_stay_within_the_budget_when_all_endpoints_fail => {
        let mut setup = setup(6, 0.5);
        setup.conditions.fill((queueing::Condition::FailFast, time::Duration::from_secs(9)));
        let outcome = queueing::run(&setup, 4);
        assert!(
            outcome.attempts * 100 < outcome.offered * 113,
            "{} {}",
            outcome.attempts,
            outcome.offered,
        );
    },
}
