//! Bounds on the slopes behind docs/CAPACITY.md, in bytes and counts.

use wharflane_bench::{capacity, recovery};
use wharflane_stand_in::cases;

/// Bytes of memory are bounded by the bench program alone, which counts them.
fn uncounted() -> usize {
    0
}

cases! {
    a_worker_costs_few_bytes_at_any_size => {
        for workers in [16, 64, 160] {
            let cost = capacity::hall(workers, uncounted);
            assert!(cost.worker_bytes < 2_600.0, "{cost:?}");
            assert!(cost.txns < 0.8, "{cost:?}");
        }
    },
    a_start_costs_few_bytes_and_commits => {
        for workers in [16, 64] {
            let row = recovery::measure(workers);
            let starts = u64::from(row.placed);
            assert!(row.burst.txn_bytes < starts * 180, "{row:?}");
            assert!(row.burst.txns <= 3, "{row:?}");
        }
    },
    urgent_tasks_start_in_time_where_room_must_be_made => {
        for workers in [8, 32] {
            let took = recovery::urgent(workers);
            assert!(took.as_millis() < 5_100, "{took:?} in virtual time");
        }
    },
    the_next_holder_starts_urgent_tasks_in_time => {
        let row = recovery::measure(16);
        assert!(row.recovered.as_millis() < 5_100, "{row:?} in virtual time");
    },
    a_configuration_grows_by_its_jobs_only => {
        let small = capacity::config(100, uncounted);
        let large = capacity::config(1_000, uncounted);
        assert!(large.bytes - small.bytes < 900 * 180, "{small:?} {large:?}");
    },
    an_endpoint_costs_few_bytes_between_hosts => {
        let cost = capacity::routes(1_000, uncounted);
        assert!(cost.bytes < 1_000 * 130, "{cost:?}");
        assert!(capacity::digest_bytes() < 110);
        assert!(capacity::member_bytes() < 120);
    },
}
