//! The stand-ins of the second review, and its cases.
//!
//! `case NAME RECORD` plays a case and exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run. The other roles are started by it.

mod cases;
mod fleet;
mod http;
mod json;
mod log;
mod proxy;
mod store;
mod worker;

use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Exit code of a case that couldn't run.
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["case", name, record] => play(name, Path::new(record)),
        ["store", addr, beat_ms, start_ms, record] => {
            let (beat, log) = shared(beat_ms, start_ms, record);
            store::run(address(addr), beat, log);
            ExitCode::SUCCESS
        }
        ["worker", addr, id, store, beat_ms, start_ms, record] => {
            let (beat, log) = shared(beat_ms, start_ms, record);
            let worker = worker::Worker {
                addr: address(addr),
                store: address(store),
                id: (*id).to_owned(),
                service: "lending".to_owned(),
                rack: "r1-1".to_owned(),
                cpu: 16_000,
                mem_mb: 64_000,
                beat,
                hold_max: Duration::from_millis(10_000),
            };
            worker::run(worker, log);
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!("usage: review-stand-in-2 case NAME RECORD");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}

/// Plays a case.
fn play(name: &str, record: &Path) -> ExitCode {
    drop(std::fs::remove_file(record));
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(name, trouble, record) {
        Ok(cases::Verdict::Held) => {
            println!("{name}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(cases::Verdict::Broken(why)) => {
            println!("{name}: the rule was broken: {why}");
            ExitCode::FAILURE
        }
        Err(fleet::CouldNotRun(why)) => {
            println!("{name}: could not run: {why}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}

/// Returns what all roles are told: the pause between heartbeats and the record.
fn shared(beat_ms: &str, start_ms: &str, record: &str) -> (Duration, log::Log) {
    let beat = Duration::from_millis(beat_ms.parse().unwrap_or(1_500));
    (beat, log::Log::open(&PathBuf::from(record), start_ms.parse().unwrap_or(0)))
}

/// Parses an address.
fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address of a stand-in")
}
