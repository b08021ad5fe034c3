//! Entry hosts: the project's own program, as processes with the settings of a small deployment.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Client;

/// The program of an entry host, as the deploy file starts it.
const PROGRAM: &str = "target/release/wharflaned";
/// The template of its settings.
const TEMPLATE: &str = "deploy/host.toml";
/// The memory of a machine.
pub const MEMORY_MB: u64 = 260;

/// An entry host.
#[derive(Debug)]
pub struct Host {
    /// Where clients call it.
    pub front: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready: SocketAddr,
    /// The file of its settings.
    config: PathBuf,
    /// The file of its log.
    log: PathBuf,
    /// Its process.
    child: Child,
}

impl Host {
    /// Starts a host with its files in a temporary folder.
    pub fn start(root: &Path, folder: &Path, name: &str, store: SocketAddr) -> io::Result<Self> {
        let (front, ready, peer) = (free_addr()?, free_addr()?, free_addr()?);
        let mut text = fs::read_to_string(root.join(TEMPLATE))?;
        for (gap, value) in [
            ("node_id", name.to_owned()),
            ("zone", "hall".to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("ip", peer.ip().to_string()),
            ("port_range.0", peer.port().to_string()),
            ("platform.address", store.to_string()),
            ("advice", "127.0.0.1:9".to_owned()),
            ("bounds.hold_max_ms", "6000".to_owned()),
            ("bounds.config_ms", "2000".to_owned()),
            ("bounds.stop_ms", "900".to_owned()),
            ("bounds.status_s", "120".to_owned()),
            ("platform.row_bytes", "65536".to_owned()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("limits.memory_mb", MEMORY_MB.to_string()),
            ("limits.max_fds", "4100".to_owned()),
        ] {
            text = text.replace(&format!("{{{{{gap}}}}}"), &value);
        }
        let config = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&config, text)?;
        File::create(&log)?;
        let child = spawn(root, &config, &log)?;
        Ok(Self { front, ready, config, log, child })
    }

    /// Starts its process again.
    pub fn restart(&mut self, root: &Path) -> io::Result<()> {
        self.kill();
        self.child = spawn(root, &self.config, &self.log)?;
        Ok(())
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the id of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the memory that its process takes, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// Returns whether it calls itself ready within a second.
    pub fn is_ready(&self) -> bool {
        let mut client = Client::new(self.ready, Duration::from_secs(1));
        matches!(client.call("GET", "platform", "/ready", ""), Some((200, _)))
    }

    /// Waits until it calls itself ready; not once its process has ended.
    pub fn wait_until_ready(&mut self, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while Instant::now() < end && !self.has_ended() {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the program of a host.
fn spawn(root: &Path, config: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().append(true).open(log)?;
    Command::new(root.join(PROGRAM))
        .arg("--config")
        .arg(config)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Returns a free loopback address.
fn free_addr() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
