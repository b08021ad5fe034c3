//! The record of a case: what was sent, answered and run, with the time of each.

use std::fs::File;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::Instant;

/// What a worker saw.
#[derive(Clone, Debug)]
pub enum Event {
    /// It began a run.
    Start { worker: String, task: String, run: u64 },
    /// A run ended; the capacity is free.
    End { worker: String, task: String, run: u64, how: &'static str, number: u64 },
    /// An order turned an earlier end into one that is taken note of.
    Seen { worker: String, upto: u64 },
    /// Its lease ran out.
    Lapse { worker: String },
    /// It turned a start away.
    Refused { worker: String, task: String, run: u64, reason: &'static str },
}

/// The record of one case.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<(u64, Event)>>,
}

impl Record {
    /// Opens a record in a file.
    pub fn new(path: &str) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self { began: Instant::now(), file, events: Mutex::default() })
    }

    /// Returns the milliseconds since the case began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().expect("record");
        file.write_all(line.as_bytes()).expect("can't write the record");
    }

    /// Writes a line, also to the terminal.
    pub fn say(&self, text: &str) {
        println!("{:>7} ms  {text}", self.now_ms());
        self.line(text);
    }

    /// Records what a worker saw.
    pub fn event(&self, event: Event) {
        match &event {
            Event::Start { worker, task, run } => {
                self.line(&format!("{worker} begins {task} run {run}"))
            }
            Event::End { worker, task, run, how, number } => {
                self.line(&format!("{worker} ends   {task} run {run}: {how}, end {number}"))
            }
            Event::Seen { worker, upto } => {
                self.line(&format!("{worker} is told that ends up to {upto} are taken note of"))
            }
            Event::Lapse { worker } => self.line(&format!("{worker}: its lease is over")),
            Event::Refused { worker, task, run, reason } => {
                self.line(&format!("{worker} turns away {task} run {run}: {reason}"))
            }
        }
        let now = self.now_ms();
        self.events.lock().expect("events").push((now, event));
    }

    /// Returns all that workers saw so far.
    pub fn events(&self) -> Vec<(u64, Event)> {
        self.events.lock().expect("events").clone()
    }
}
