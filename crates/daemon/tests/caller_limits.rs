//! The limits of callers follow from what a host has, and leave room for its own work.

use wharflane_daemon::caller_limits;
use wharflane_http::{admission, server};
use wharflane_stand_in::cases;

/// Part of the memory that callers may take by default, in percent.
const PERCENT: u64 = 25;
/// Largest body of a submission, in bytes.
const JOB_BYTES: usize = 262_144;
/// Memory of each machine in use, in megabytes, with its descriptors.
const MACHINES: [(u64, u64); 4] = [(160, 4_100), (260, 4_100), (512, 8_192), (1_024, 16_384)];

/// Returns the limits of a machine's callers.
fn sizes(memory_mb: u64, descriptors: u64, largest_body_bytes: usize) -> admission::Sizes {
    let resources = caller_limits::Resources { memory_bytes: memory_mb << 20, descriptors };
    caller_limits::sizes(resources, PERCENT, server::Bounds::default(), largest_body_bytes)
}

cases! {
    callers_take_no_more_than_their_part => {
        for (memory_mb, descriptors) in MACHINES {
            let sizes = sizes(memory_mb, descriptors, JOB_BYTES);
            let connections = sizes.connections * (64 << 10);
            let total = (connections + sizes.small_bytes + sizes.large_bytes) as u64;
            assert!(total <= (memory_mb << 20) / 4, "{memory_mb} MB: {sizes:?}");
        }
    },
    half_of_the_descriptors_are_left => {
        assert_eq!(sizes(1 << 20, 300, JOB_BYTES).connections, 150);
    },
    many_ordinary_callers_fit_on_the_smallest_machine => {
        let sizes = sizes(160, 4_100, JOB_BYTES);
        assert!(sizes.connections >= 300, "{sizes:?}");
        assert!(sizes.small_bytes / admission::SMALL_BYTES >= 300, "{sizes:?}");
        assert!(sizes.large_bytes / JOB_BYTES >= 50, "{sizes:?}");
    },
    a_single_body_of_any_allowed_size_fits => {
        for memory_mb in [1, 16, 160] {
            for bytes in [JOB_BYTES, 1 << 20, 1 << 30] {
                let sizes = sizes(memory_mb, 64, bytes);
                assert!(sizes.large_bytes >= bytes, "{sizes:?}");
                assert!(sizes.small_bytes >= 32 << 10, "{sizes:?}");
                assert!(sizes.connections >= 16, "{sizes:?}");
            }
        }
    },
    the_setting_of_connections_stays_in_force => {
        let bounds = server::Bounds { connections: 7, ..server::Bounds::default() };
        let resources = caller_limits::Resources { memory_bytes: 1 << 30, descriptors: 4_100 };
        assert_eq!(caller_limits::sizes(resources, PERCENT, bounds, JOB_BYTES).connections, 7);
    },
}
