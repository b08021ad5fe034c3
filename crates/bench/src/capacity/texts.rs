//! What it costs to read a configuration and the list of workers.

use std::collections;
use std::net;

use wharflane::{desired, id, members};

use crate::capacity::Live;
use crate::hall;

/// What a configuration costs.
#[derive(Clone, Copy, Debug)]
pub struct ConfigCost {
    /// The number of jobs.
    pub jobs: usize,
    /// The bytes of its text.
    pub bytes: usize,
    /// Processor time to read it, in microseconds.
    pub cpu_us: f64,
    /// Memory of what was read.
    pub memory: usize,
}

/// Measures a configuration of so many jobs.
///
/// # Panics
/// Panics on a text with faults, which would be a fault of the bench.
#[must_use]
pub fn config(jobs: usize, live: Live) -> ConfigCost {
    let mut text = hall::filled(10, 0);
    for number in 0..jobs {
        text.push_str(&format!(
            "[[job]]\nname = \"job-{number}\"\nteam = \"ours\"\nclass = \"p1\"\n\
             halls = [\"hall\"]\ntasks = 2\ncpu_milli = 2000\nmem_mb = 4000\n\
             run_time_ms = 600000\ncheckpoint = true\n"
        ));
    }
    let before = live();
    let start = cpu_time::ThreadTime::now();
    let desired = desired::parse(&text).expect("the bench's own text");
    let cpu_us = start.elapsed().as_micros() as f64;
    let memory = live().saturating_sub(before);
    drop(desired);
    ConfigCost { jobs, bytes: text.len(), cpu_us, memory }
}

/// Returns the processor time to read a list of so many workers, in microseconds, and its bytes.
///
/// # Panics
/// Panics if the list can't be encoded, which its types exclude.
#[must_use]
pub fn list(workers: usize) -> (f64, usize) {
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
    let text = serde_json::to_string(&list).expect("a list");
    let start = cpu_time::ThreadTime::now();
    let read: members::Members = serde_json::from_str(&text).expect("the same list");
    let cpu_us = start.elapsed().as_micros() as f64;
    assert_eq!(read.workers.len(), workers, "read whole");
    (cpu_us, text.len())
}

/// Returns the bytes of one worker in the platform's list.
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
