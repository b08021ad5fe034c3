//! Tests bounds on the slopes in `docs/CAPACITY.md`, in bytes and counts.

use wharflane_bench::{capacity, recovery};
use wharflane_stand_in::cases;

/// Stands in for the allocation counter, which only the bench program has.
fn no_allocation_counter() -> usize {
    0
}

cases! {
    idle_worker_traffic_does_not_grow_with_the_hall => {
        for workers in [16, 64, 160] {
            let cost = capacity::hall(workers, no_allocation_counter);
            assert!(cost.worker_bytes < 2_600.0, "{cost:?}");
            assert!(cost.txns < 0.8, "{cost:?}");
        }
    },
    burst_of_starts_needs_few_bytes_and_transactions => {
        for workers in [16, 64] {
            let row = recovery::measure(workers);
            let starts = u64::from(row.placed);
            assert!(row.burst.txn_bytes < starts * 180, "{row:?}");
            assert!(row.burst.txns <= 3, "{row:?}");
        }
    },
    urgent_tasks_start_in_time_in_a_full_hall => {
        for workers in [8, 32] {
            let took = recovery::urgent_start_time(workers);
            assert!(took.as_millis() < 5_100, "{took:?} in virtual time");
        }
    },
    next_holder_starts_tasks_in_time => {
        let row = recovery::measure(16);
        assert!(row.recovery_time.as_millis() < 5_100, "{row:?} in virtual time");
    },
    configuration_size_grows_linearly_with_jobs => {
        let small = capacity::config(100, no_allocation_counter);
        let large = capacity::config(1_000, no_allocation_counter);
        assert!(large.bytes - small.bytes < 900 * 180, "{small:?} {large:?}");
    },
    messages_between_hosts_need_few_bytes_per_endpoint => {
        let cost = capacity::routes(1_000, no_allocation_counter);
        assert!(cost.bytes < 1_000 * 130, "{cost:?}");
        assert!(capacity::digest_bytes() < 110);
        assert!(capacity::member_bytes() < 120);
    },
}
