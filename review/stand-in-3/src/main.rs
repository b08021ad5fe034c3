//! Stand-ins of the users' platform, workers and clients, and the cases that use them.
//!
//! `review-stand-in-three CASE FOLDER ROOT` plays a case, with its record in FOLDER and the
//! programs of the repository at ROOT. It ends with 0 if the rule held, 1 if it was broken, and 2
//! if the case could not run. With `TROUBLE=0` the disruption is left out.

mod crashes;
mod crowd;
mod host;
mod http;
mod json;
mod late;
mod record;
mod store;
mod worker;
mod world;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder, root] = arguments.as_slice() else {
        eprintln!("usage: review-stand-in-three CASE FOLDER ROOT");
        return ExitCode::from(NOT_RUN);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let place = world::Place { folder: PathBuf::from(folder), root: PathBuf::from(root) };
    let played = match case.as_str() {
        "labels" => crowd::labels(&place, trouble),
        "late" => late::play(&place, trouble),
        "memory" => crowd::memory(&place, trouble),
        "lasting" => crashes::lasting(&place, trouble),
        "batch" => crashes::batch(&place, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(NOT_RUN)
        }
    }
}
