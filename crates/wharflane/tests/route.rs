//! The choice of an endpoint, and the ejection of failing ones.

use std::time;

use wharflane::route;
use wharflane_stand_in::cases;

/// Returns a duration of `count` milliseconds.
const fn ms(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// Returns the health of an endpoint whose answers took `latency`.
fn answering(latency: time::Duration) -> route::Health {
    let mut health = route::Health::default();
    (0..50).for_each(|_| health.answered(latency));
    health
}

cases! {
    the_cheaper_of_two_endpoints_is_picked => {
        let slots = [answering(ms(50)), answering(ms(1))];
        let cost = |at: usize| route::request_cost(&slots[at], 8, ms(0));
        let mut draws = [0, 1].into_iter().cycle();
        let picked = route::pick(2, cost, |_| draws.next().unwrap_or(0));
        assert_eq!(picked, Some(1));
    },
    a_full_endpoint_is_not_picked => {
        let mut slots = [answering(ms(1)), answering(ms(50))];
        slots[0].in_flight = 8;
        let cost = |at: usize| route::request_cost(&slots[at], 8, ms(0));
        assert_eq!(route::pick(2, cost, |_| 0), Some(1));
        slots[1].in_flight = 8;
        let cost = |at: usize| route::request_cost(&slots[at], 8, ms(0));
        assert_eq!(route::pick(2, cost, |_| 0), None);
    },
    an_endpoint_that_fails_fast_costs_more_than_a_healthy_one => {
        let mut failing = answering(ms(5));
        failing.failed(ms(0), false);
        assert!(failing.cost() > answering(ms(5)).cost());
    },
    failures_do_not_change_the_measured_latency => {
        let mut failing = answering(ms(5));
        let before = failing.answer_us();
        (0..20).for_each(|_| failing.failed(ms(0), false));
        assert_eq!(failing.answer_us().to_bits(), before.to_bits());
    },
    a_failing_endpoint_is_ejected_and_probed => {
        let mut health = answering(ms(5));
        (0..5).for_each(|_| health.failed(ms(10), true));
        assert_eq!(health.availability(ms(11)), route::Availability::Ejected);
        assert_eq!(health.availability(ms(1_011)), route::Availability::Probe);
        health.failed(ms(1_012), true);
        assert_eq!(health.availability(ms(2_500)), route::Availability::Ejected, "ejected for twice as long");
        health.answered(ms(5));
        assert_eq!(health.availability(ms(2_500)), route::Availability::Open);
    },
    no_more_than_the_allowed_share_is_ejected => {
        assert!(route::may_eject(2, 10, 30));
        assert!(!route::may_eject(3, 10, 30));
        assert!(!route::may_eject(0, 3, 30));
    },
    a_full_endpoint_is_picked_again_soon => {
        let mut health = answering(ms(10));
        health.refused(ms(100));
        assert_eq!(route::request_cost(&health, 8, ms(101)), None);
        assert!(route::request_cost(&health, 8, ms(106)).is_some());
    },
}
