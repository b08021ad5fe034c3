//! Guards against too little being served of the first priority while the holder's host is slow.
//!
//! Each start costs the holder some three calls. A host that can't make all of them in time, and makes
//! them in the order in which they come up, delays its commits, starts and the ends of runs alike:
//! room that is free looks taken for most of a second, which uses up the time that a short job has
//! to spare.

use std::time;

use wharflane_bench::job_engine;
use wharflane_stand_in::cases;

/// The share of a class of jobs that a day must serve; the users' floor for days of high load.
const FLOOR: f64 = 0.43;

/// Returns what a host of the largest deployment serves that takes `slow_percent` of its usual time
/// for everything.
fn serve(slow_percent: u32) -> job_engine::Served {
    job_engine::serve(job_engine::SlowSetup {
        workers: 890,
        starts_per_s: 1_350.0,
        slow_percent,
        duration: time::Duration::from_secs(30),
    })
}

/// Checks that each class is served to its floor.
fn check(slow_percent: u32) {
    let served = serve(slow_percent);
    assert!(served.short >= FLOOR && served.best_effort >= FLOOR, "{served:?}");
}

cases! {
    a_host_at_its_usual_speed_serves_each_class_to_its_floor => check(100),
    a_host_half_as_fast_serves_each_class_to_its_floor => check(200),
}
