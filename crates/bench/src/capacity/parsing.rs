//! The cost of parsing configurations and worker lists.

use std::collections;
use std::net;

use wharflane::{desired, id, members};

use crate::capacity::AllocatedBytes;
use crate::hall;

/// The cost of parsing a configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigCost {
    /// The number of jobs.
    pub jobs: usize,
    /// The size of the text in bytes.
    pub bytes: usize,
    /// Processor time of parsing, in microseconds.
    pub cpu_us: f64,
    /// Memory of the parsed configuration, in bytes.
    pub memory: usize,
}

/// Measures a configuration with the given number of jobs.
///
/// # Panics
/// Panics if the text is invalid, which would be a bug in this crate.
#[must_use]
pub fn config(jobs: usize, allocated: AllocatedBytes) -> ConfigCost {
    let mut text = hall::full_config(10, 0);
    for number in 0..jobs {
        text.push_str(&format!(
            "[[job]]\nname = \"job-{number}\"\nteam = \"ours\"\nclass = \"p1\"\n\
             halls = [\"hall\"]\ntasks = 2\ncpu_milli = 2000\nmem_mb = 4000\n\
             run_time_ms = 600000\ncheckpoint = true\n"
        ));
    }
    let before = allocated();
    let start = cpu_time::ThreadTime::now();
    let desired = desired::parse(&text).expect("built-in desired state is valid");
    let cpu_us = start.elapsed().as_micros() as f64;
    let memory = allocated().saturating_sub(before);
    drop(desired);
    ConfigCost { jobs, bytes: text.len(), cpu_us, memory }
}

/// Returns the processor time of parsing a list of workers, in microseconds, and the size of the
/// list in bytes.
///
/// # Panics
/// Panics if the list can't be encoded, which its types exclude.
#[must_use]
pub fn worker_list(workers: usize) -> (f64, usize) {
    let member = |number: usize| {
        let worker = members::Worker {
            addr: net::SocketAddr::from(([10, 20, 30, 40], 8_080)),
            hall: "north-one".into(),
            rack: format!("rack-{}", number / 8),
            presence: members::Presence::Live,
        };
        (id::WorkerId::from(format!("worker-{number}").as_str()), worker)
    };
    let list =
        members::Members { workers: (0..workers).map(member).collect(), ..Default::default() };
    let text = serde_json::to_string(&list).expect("the list is encoded");
    let start = cpu_time::ThreadTime::now();
    let read: members::Members = serde_json::from_str(&text).expect("the encoded list is decoded");
    let cpu_us = start.elapsed().as_micros() as f64;
    assert_eq!(read.workers.len(), workers, "all workers are read");
    (cpu_us, text.len())
}

/// Returns the size of one worker's entry in the list, in bytes.
#[must_use]
pub fn member_bytes() -> usize {
    let member = members::Worker {
        addr: net::SocketAddr::from(([10, 20, 30, 40], 8_080)),
        hall: "north-one".into(),
        rack: "rack-12".to_owned(),
        presence: members::Presence::Live,
    };
    let list = collections::BTreeMap::from([(id::WorkerId::from("worker-1234"), member)]);
    serde_json::to_vec(&list).map_or(0, |bytes| bytes.len())
}
