//! Bounds on what the decisions achieve, as counts and ratios within one run in virtual time.

use std::time;

use wharflane_bench::{fleet, harm, queueing};
use wharflane_stand_in::cases;

/// Returns a small part of the endpoints under a share of their capacity.
fn setup(hosts: usize, load: f64) -> queueing::Setup {
    let mut setup = queueing::Setup::shared(hosts, load);
    let endpoints = 24;
    setup.rate *= endpoints as f64 / setup.endpoints as f64;
    setup.endpoints = endpoints;
    setup.troubles.truncate(endpoints);
    setup.duration = time::Duration::from_secs(2);
    setup
}

/// Returns how many requests were not answered in time.
fn lost(outcome: &queueing::Outcome) -> u64 {
    outcome.asked - outcome.answered
}

/// Measures a setup with one way to share.
fn shared(sharing: queueing::Sharing, hosts: usize, first_share: f64) -> queueing::Outcome {
    let setup = queueing::Setup { sharing, first_share, ..setup(hosts, 0.7) };
    queueing::run(&setup, 1)
}

/// Measures a setup with one way to choose among endpoints of which some are in trouble.
fn chosen(
    choice: queueing::Choice,
    trouble: queueing::Trouble,
    troubled: usize,
) -> queueing::Outcome {
    let mut setup = queueing::Setup { choice, tries: 1, ..setup(6, 0.5) };
    setup.troubles[..troubled].fill((trouble, time::Duration::from_secs(9)));
    queueing::run(&setup, 2)
}

/// Measures a load with one way to wait.
fn waited(waiting: queueing::Waiting, load: f64) -> queueing::Outcome {
    queueing::run(&queueing::Setup { waiting, ..setup(6, load) }, 3)
}

/// Runs the job engine at so many workers for a moment, behind so many tasks that wait.
fn fleet(workers: usize, starts_per_s: f64, waiting: u32) -> fleet::Cost {
    let time = time::Duration::from_millis(500);
    fleet::measure(fleet::Setup { workers, starts_per_s, waiting, time })
}

cases! {
    a_start_weighs_few_workers_at_any_size => {
        for (workers, starts_per_s) in [(66, 145.0), (300, 550.0)] {
            let cost = fleet(workers, starts_per_s, 0);
            assert!(cost.starts > 50, "{cost:?}");
            // Steps have 9 to 39 tasks, and each step weighs all workers once.
            assert!(cost.per_start(cost.sought) < 0.15, "{cost:?}");
            assert!(cost.per_start(cost.heartbeats) < 1.6, "{cost:?}");
            assert!(cost.per_start(cost.txn_bytes) < 120.0, "{cost:?}");
        }
    },
    what_waits_costs_few_searches => {
        let (few, many) = (fleet(66, 145.0, 600), fleet(66, 145.0, 6_000));
        assert!(many.starts * 10 > few.starts * 9, "{few:?} {many:?}");
        assert!(many.sought < 2 * few.sought + 50, "{few:?} {many:?}");
    },
    windows_lose_nothing_when_one_host_takes_half => {
        let fixed = shared(queueing::Sharing::Fixed, 9, 0.5);
        let window = shared(queueing::Sharing::Window, 9, 0.5);
        assert!(lost(&fixed) * 10 > fixed.asked, "fixed shares lose over a tenth");
        assert!(lost(&window) * 100 < window.asked, "windows lose under a hundredth");
    },
    windows_are_refused_less_than_optimism => {
        let optimistic = shared(queueing::Sharing::Optimistic, 9, 1.0 / 9.0);
        let window = shared(queueing::Sharing::Window, 9, 1.0 / 9.0);
        assert!(window.full * 10 < optimistic.full * 9, "{} {}", window.full, optimistic.full);
    },
    two_choices_keep_the_tail_beside_slow_endpoints => {
        let slow = queueing::Trouble::Slow(5.0);
        let random = chosen(queueing::Choice::Random, slow, 3);
        let two = chosen(queueing::Choice::TwoChoices, slow, 3);
        assert!(two.quantile_ms(0.99) < random.quantile_ms(0.99));
        assert!(two.at_trouble * 2 < random.at_trouble);
    },
    a_fast_failure_is_left => {
        let fail = queueing::Trouble::FailFast;
        let least = chosen(queueing::Choice::LeastConnections, fail, 1);
        let two = chosen(queueing::Choice::TwoChoices, fail, 1);
        assert!(lost(&two) * 10 < lost(&least), "{} {}", lost(&two), lost(&least));
    },
    goodput_keeps_its_plateau_beyond_the_capacity => {
        let full = waited(queueing::Waiting::Bounded, 1.0);
        let over = waited(queueing::Waiting::Bounded, 3.0);
        let endless = waited(queueing::Waiting::Endless, 3.0);
        assert!(over.answered * 100 > full.answered * 90, "{} {}", over.answered, full.answered);
        assert!(over.answered > endless.answered * 2, "{} {}", over.answered, endless.answered);
    },
    paid_priority_is_kept_beyond_the_capacity => {
        let over = waited(queueing::Waiting::Bounded, 3.0);
        assert!(over.paid_answered * 100 > over.paid * 98, "{} {}", over.paid_answered, over.paid);
    },
    what_is_refused_is_refused_at_once => {
        let over = waited(queueing::Waiting::Bounded, 3.0);
        let median_us = over.refusal_us.value_at_quantile(0.5);
        assert!(median_us * 10 < 500_000, "a tenth of the patience: {median_us}");
    },
    the_loops_keep_targets_that_first_fit_misses => {
        let site = harm::sites()[0].part(20);
        let run = |policy| harm::run(&site, policy, time::Duration::from_secs(240));
        let (first, at_once) = (run(harm::Policy::FirstFit), run(harm::Policy::EvictAtOnce));
        let product = run(harm::Policy::Product);
        assert!(product.over * 2 < first.over, "{product:?} {first:?}");
        assert!(product.over * 2 < at_once.over, "{product:?} {at_once:?}");
        assert!(product.evictions * 10 < at_once.evictions, "{product:?} {at_once:?}");
        assert!(product.done * 100 > first.done * 75, "{product:?} {first:?}");
        assert_eq!(product.broken, 0);
    },
    retries_stay_within_their_budget => {
        let mut setup = setup(6, 0.5);
        setup.troubles.fill((queueing::Trouble::FailFast, time::Duration::from_secs(9)));
        let outcome = queueing::run(&setup, 4);
        assert!(outcome.tries * 100 < outcome.asked * 113, "{} {}", outcome.tries, outcome.asked);
    },
}
