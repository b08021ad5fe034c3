//! Hosts of the system as processes, started with the command of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// The processes that are to be ended if the case takes too long.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes of the case, and the case with exit code 2, after a time.
pub fn watch(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        println!("the case takes too long");
        for id in CHILDREN.lock().expect("children").iter() {
            drop(Command::new("kill").arg("-KILL").arg(id.to_string()).status());
        }
        process::exit(2);
    });
}

/// Forgets a process that has ended.
fn forget(child: &Child) {
    CHILDREN.lock().expect("children").retain(|id| *id != child.id());
}

/// What the settings of all hosts have in common.
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub advice: SocketAddr,
    pub hold_max_ms: u64,
    pub config_ms: u64,
    pub stop_ms: u64,
}

/// A host.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    root: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

impl Host {
    /// Writes the settings of a host from the template of the deploy file, and starts it.
    pub fn start(
        site: &Site,
        name: &str,
        zone: &str,
        cores: &str,
        mbps: &str,
        record: &Arc<Record>,
    ) -> Self {
        let (front, ready, port) = (free_port(), free_port(), free_port());
        let deploy = fs::read_to_string(site.root.join("deploy/system.toml")).expect("deploy file");
        assert!(
            deploy
                .contains("run = \"target/release/wharflaned --config /etc/wharflane/node.toml\""),
            "the deploy file has another command"
        );
        let mut text = fs::read_to_string(site.root.join("deploy/host.toml")).expect("template");
        for (gap, value) in [
            ("node_id", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("port_range.0", port.port().to_string()),
            ("platform.address", site.store.to_string()),
            ("advice", site.advice.to_string()),
            ("bounds.hold_max_ms", site.hold_max_ms.to_string()),
            ("bounds.config_ms", site.config_ms.to_string()),
            ("bounds.stop_ms", site.stop_ms.to_string()),
            ("bounds.status_s", "120".to_owned()),
            ("platform.row_bytes", "65536".to_owned()),
            ("limits.cpu_share", cores.to_owned()),
            ("limits.link_mbps", mbps.to_owned()),
        ] {
            text = text.replace(&format!("{{{{{gap}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a gap of the template is not filled:\n{text}");
        let settings = site.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("can't write the settings");
        let mut host = Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            root: site.root.clone(),
            child: None,
            record: Arc::clone(record),
        };
        host.begin();
        host
    }

    /// Starts the process.
    pub fn begin(&mut self) {
        let log = self.settings.with_extension("log");
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("log");
        let child = Command::new(program(&self.root))
            .arg("--config")
            .arg(&self.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn()
            .expect("can't start wharflaned");
        self.record.say(&format!("{} is started", self.name));
        CHILDREN.lock().expect("children").push(child.id());
        self.child = Some(child);
    }

    /// Returns whether the host calls itself ready.
    pub fn is_ready(&self) -> bool {
        let answer = self.fetch("/ready");
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Returns whether the host schedules the jobs, by its own metrics. This only tells which host
    /// to stop, and judges nothing.
    pub fn holds(&self) -> bool {
        let answer = self.fetch("/metrics");
        answer.is_some_and(|(_, text)| {
            text.lines().any(|line| line.contains("hall_held{hall=\"jobs\"} 1"))
        })
    }

    fn fetch(&self, path: &str) -> Option<(u16, String)> {
        self.child.as_ref()?;
        http::call(self.ready, "GET", path, "host", "", Duration::from_millis(500))
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM", "gets SIGTERM");
    }

    /// Sends a signal to the process.
    fn signal(&self, signal: &str, what: &str) {
        if let Some(child) = &self.child {
            self.record.say(&format!("{} {what}", self.name));
            let sent =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
            assert!(sent.is_ok_and(|status| status.success()), "can't send a signal");
        }
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal("STOP", "freezes");
    }

    /// Wakes the process again.
    pub fn wake(&self) {
        self.signal("CONT", "wakes");
    }

    /// Waits until the process has ended, and ends it by force after a time.
    pub fn wait_ended(&mut self, limit: Duration) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let end = Instant::now() + limit;
        while Instant::now() < end && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(20));
        }
        drop(child.kill());
        drop(child.wait());
        forget(&child);
        self.record.say(&format!("{} has ended", self.name));
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
            forget(&child);
        }
    }
}

/// Returns the path of the program that the deploy file names.
pub fn program(root: &Path) -> PathBuf {
    root.join("target/release/wharflaned")
}

/// Returns a loopback address with a port that was free just now.
fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    listener.local_addr().expect("no address")
}
