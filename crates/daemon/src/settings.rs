//! The settings of a host.
//!
//! A settings file is checked as a whole before any port is opened; `parse` returns every fault
//! with its line.

use std::collections;
use std::net;
use std::ops;
use std::time;

use wharflane::{hall, id, interference, lease, placement, toml_read};

/// Largest value of a limit that is stated in whole units, in thousandths of its unit.
const MAX_LIMIT_MILLI: u64 = 1_000_000_000;
/// Largest size of a settings file, in bytes.
const MAX_TEXT_BYTES: usize = 64 << 10;

/// A settings key whose value is an integer.
#[derive(Clone, Debug)]
pub struct Number {
    /// Table that the key belongs to.
    pub table: &'static str,
    /// Name of the key, which ends with its unit if it has one.
    pub key: &'static str,
    /// Value if the key is absent.
    pub default: u64,
    /// Allowed values.
    pub range: ops::RangeInclusive<u64>,
    /// One-line description, as docs/SETTINGS.md has it.
    pub about: &'static str,
}

/// Declares an integer key.
const fn number(
    table: &'static str,
    key: &'static str,
    default: u64,
    range: ops::RangeInclusive<u64>,
    about: &'static str,
) -> Number {
    Number { table, key, default, range, about }
}

/// All integer keys; docs/SETTINGS.md lists the same ones.
pub const NUMBERS: &[Number] = &[
    number("platform", "timeout_ms", 1_000, 10..=60_000, "How long a call may take."),
    number("jobs", "domains", 1, 1..=1, "Parts that jobs are dealt over, each with a holder."),
    number("jobs", "lease_ms", 2_200, 500..=60_000, "Lease of a domain."),
    number("jobs", "margin_ms", 400, 0..=10_000, "How much earlier a holder stops by itself."),
    number("jobs", "holder_cpu_milli", 200, 0..=1_000_000, "Processor below which a host is weak."),
    number("jobs", "holder_link_mbps", 50, 0..=1_000_000, "Link below which a host is weak."),
    number("jobs", "weak_wait_ms", 1_200, 0..=60_000, "How much later a weak host takes a lease."),
    number(
        "jobs",
        "probe_ms",
        500,
        0..=60_000,
        "Standstill of a lease before its holder is probed.",
    ),
    number(
        "jobs",
        "silence_ms",
        900,
        0..=60_000,
        "Standstill before a silent host's lease is taken.",
    ),
    number(
        "jobs",
        "vacate_ms",
        800,
        0..=60_000,
        "Silence of the store before a holder vacates its lease for a host that asks.",
    ),
    number("jobs", "poll_ms", 600, 10..=60_000, "Time between reads of a lease that is renewed."),
    number(
        "jobs",
        "weak_poll_ms",
        1_500,
        10..=60_000,
        "The same on a weak host, which takes it later.",
    ),
    number(
        "jobs",
        "standstill_poll_ms",
        300,
        10..=60_000,
        "Time between reads of a lease that is not renewed or can't be read.",
    ),
    number("jobs", "weak_standstill_poll_ms", 900, 10..=60_000, "The same on a weak host."),
    number(
        "jobs",
        "config_ms",
        2_000,
        1_000..=600_000,
        "Time from the acknowledgement of a configuration until it is in force.",
    ),
    number("jobs", "commit_ms", 20, 1..=10_000, "Least time between two commits."),
    number("jobs", "renew_ms", 700, 10..=60_000, "Longest time between two commits."),
    number(
        "jobs",
        "hold_ms",
        4_000,
        500..=600_000,
        "Lease of tasks on a worker; a weak host asks for `hold_max_ms`.",
    ),
    number("jobs", "hold_max_ms", 6_000, 500..=600_000, "Longest lease that a worker grants."),
    number("jobs", "stop_ms", 900, 1..=60_000, "Longest time that a stop of a task takes."),
    number("jobs", "look_ms", 1_000, 10..=2_000, "How long a look waits for an end."),
    number("jobs", "look_idle_ms", 4_000, 100..=60_000, "Time between looks where nothing runs."),
    number("jobs", "keep_s", 120, 1..=86_400, "How long an ended job can be asked for."),
    number(
        "jobs",
        "closed_wait_ms",
        5_000,
        0..=600_000,
        "How long a new holder that can't hear which halls are closed starts nothing.",
    ),
    number(
        "jobs",
        "stalled_moves",
        1,
        0..=1_000,
        "Long-running tasks of a step that leave stalled workers at once; 0 leaves them there.",
    ),
    number("jobs", "row_bytes", 65_536, 1_024..=16_777_216, "Longest row of the store, as base64."),
    number("jobs", "unready_ms", 2_000, 100..=60_000, "Silence of the store before unready."),
    number("jobs", "store_timeout_ms", 800, 10..=60_000, "How long a call of the store may take."),
    number("jobs", "order_timeout_ms", 600, 10..=60_000, "How long a worker may take to answer."),
    number("traffic", "threads", 4, 1..=256, "Threads that carry requests."),
    number("traffic", "endpoint_slots", 8, 1..=10_000, "Requests an endpoint runs at once."),
    number("traffic", "endpoint_connections", 64, 1..=10_000, "Connections an endpoint takes."),
    number("traffic", "connect_timeout_ms", 500, 1..=60_000, "How long a connection may take."),
    // Below the shortest known default of servers for idle connections, which is 5 s.
    number("traffic", "idle_timeout_ms", 4_000, 1..=600_000, "How long a connection may be idle."),
    number("traffic", "body_limit_bytes", 1 << 20, 1..=1 << 30, "Largest body of a request."),
    number("traffic", "body_timeout_ms", 10_000, 1..=600_000, "How long a body may take."),
    number("traffic", "head_limit_bytes", 32_768, 8_192..=1 << 20, "Largest head of a request."),
    number("traffic", "head_timeout_ms", 10_000, 1..=600_000, "How long a head may take."),
    number("traffic", "stall_timeout_ms", 30_000, 1..=600_000, "Longest standstill of an answer."),
    number("traffic", "caller_connections", 4_096, 1..=1_000_000, "Connections of callers."),
    number(
        "traffic",
        "caller_memory_percent",
        25,
        1..=90,
        "Part of the host's memory for callers' connections and requests.",
    ),
    number("traffic", "queue_limit", 256, 0..=1_000_000, "Waiting requests of a service."),
    number("traffic", "tries", 3, 1..=16, "Most tries of a request."),
    number("traffic", "retry_share_milli", 100, 0..=1_000, "Retries per 1,000 first tries."),
    number("traffic", "retry_burst", 20, 0..=10_000, "Retries allowed after a calm time."),
    number("traffic", "eject_share_percent", 30, 0..=100, "Most endpoints left at once."),
    number("traffic", "duplicate_window_ms", 60_000, 0..=3_600_000, "How long ids are kept."),
    number(
        "traffic",
        "stop_grace_ms",
        30_000,
        0..=86_400_000,
        "Longest wait for requests at a stop.",
    ),
    number("traffic", "stop_notice_ms", 3_000, 0..=600_000, "Time for the balancer to see a stop."),
    number("control", "lease_ms", 4_000, 100..=600_000, "Lease of a hall."),
    number("control", "turn_ms", 1_000, 10..=600_000, "Wait for each host of higher rank."),
    number("control", "poll_ms", 1_000, 10..=60_000, "Time between reads of a row."),
    number("control", "commit_ms", 300, 10..=60_000, "Least time between two commits."),
    number("control", "sync_ms", 1_000, 10..=60_000, "Time between messages to a worker."),
    number("control", "worker_lease_ms", 20_000, 100..=600_000, "Lease of tasks on a worker."),
    number("control", "margin_ms", 2_000, 0..=600_000, "Added to a lease for clocks apart."),
    number("control", "authority_ms", 1_800_000, 1_000..=86_400_000, "Renewals without a commit."),
    number("control", "drain_ms", 5_000, 0..=600_000, "Wait before an endpoint is stopped."),
    number("control", "snapshot_commits", 200, 1..=100_000, "Commits between two snapshots."),
    number(
        "control",
        "misses",
        2,
        1..=1_000,
        "Missed targets in a row before a task is throttled.",
    ),
    number("control", "settle_ms", 3_000, 0..=600_000, "Wait for a throttle or eviction to show."),
    number("control", "calm_intervals", 20, 1..=100_000, "Kept targets in a row before loosening."),
    number("control", "harm_weight_percent", 400, 0..=100_000, "Weight of harm in placement."),
    number("control", "gossip_ms", 1_000, 10..=60_000, "Time between messages to a peer."),
];

/// The resources of this host; `None` if the settings don't state them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// CPU in thousandths of a core.
    pub cpu_milli: Option<u64>,
    /// Bandwidth of the network link in whole megabits per second.
    pub link_mbps: Option<u64>,
    /// Memory in whole megabytes.
    pub memory_mb: Option<u64>,
    /// Number of descriptors that the process may open.
    pub max_fds: Option<u64>,
}

/// Output format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text lines.
    Text,
    /// One JSON object per line.
    Json,
}

/// What a host schedules, and which service stores its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The services and jobs declared in the operators' file, and the requests to those services.
    Declared {
        /// Address of the platform.
        platform: net::SocketAddr,
    },
    /// Jobs submitted by callers.
    Jobs {
        /// Address of the store.
        store: net::SocketAddr,
        /// Address of the advice service, which decides which workers may run a step; `None` if
        /// there is none.
        advisor: Option<net::SocketAddr>,
    },
}

/// The settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host, unique among its peers.
    pub host: id::HostId,
    /// Hall in which this host runs.
    pub hall: id::HallId,
    /// Address on which callers connect.
    pub caller_addr: net::SocketAddr,
    /// Address on which operators connect.
    pub operator_addr: net::SocketAddr,
    /// Address on which peers connect.
    pub peer_addr: net::SocketAddr,
    /// Peers to contact while the platform's member list can't be read.
    pub seed_peers: Vec<net::SocketAddr>,
    /// What the host schedules.
    pub mode: Mode,
    /// Resources of the host.
    pub limits: Limits,
    /// Output format of the log.
    pub log_format: LogFormat,
    /// Log filter, in the syntax of `tracing_subscriber::EnvFilter`.
    pub log_level: String,
    /// Integer values by table and key.
    numbers: collections::BTreeMap<(&'static str, &'static str), u64>,
}

impl Settings {
    /// Returns an integer value.
    ///
    /// # Panics
    /// Panics for a key that is not in `NUMBERS`.
    #[must_use]
    pub fn number(&self, table: &'static str, key: &'static str) -> u64 {
        self.numbers[&(table, key)]
    }

    /// Returns a value in milliseconds as a duration.
    #[must_use]
    pub fn time(&self, table: &'static str, key: &'static str) -> time::Duration {
        time::Duration::from_millis(self.number(table, key))
    }

    /// Returns a size or count, saturated at `usize::MAX`.
    #[must_use]
    pub fn count(&self, table: &'static str, key: &'static str) -> usize {
        usize::try_from(self.number(table, key)).unwrap_or(usize::MAX)
    }

    /// Returns the settings of the hall engines.
    #[must_use]
    pub fn hall_settings(&self) -> hall::Settings {
        let control = |key| self.time("control", key);
        hall::Settings {
            timing: lease::Timing { lease: control("lease_ms"), turn: control("turn_ms") },
            poll: control("poll_ms"),
            commit: control("commit_ms"),
            sync: control("sync_ms"),
            worker_lease: control("worker_lease_ms"),
            margin: control("margin_ms"),
            authority: control("authority_ms"),
            drain: control("drain_ms"),
            snapshot_every: self.number("control", "snapshot_commits"),
            throttle_policy: interference::ThrottlePolicy {
                misses: u32::try_from(self.number("control", "misses")).unwrap_or(u32::MAX),
                settle: control("settle_ms"),
                calm: u32::try_from(self.number("control", "calm_intervals")).unwrap_or(u32::MAX),
                ..interference::ThrottlePolicy::default()
            },
            weights: placement::Weights {
                harm: self.number("control", "harm_weight_percent") as f64 / 100.0,
                ..placement::Weights::default()
            },
        }
    }
}

/// Parses and checks settings.
///
/// # Errors
/// Returns every fault with its line.
pub fn parse(text: &str) -> Result<Settings, Vec<toml_read::Fault>> {
    let doc = toml_read::Doc::new(text);
    let settings = doc.root(MAX_TEXT_BYTES).and_then(|mut root| {
        let settings = read(&doc, &mut root);
        root.end();
        settings
    });
    let faults = doc.finish();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

/// Reads all tables; `None` if a required value is missing.
fn read(doc: &toml_read::Doc<'_>, root: &mut toml_read::Table<'_, '_>) -> Option<Settings> {
    let host = root.need_name("host");
    let hall = root.need_name("hall");
    let seed_peers = read_seeds(doc, root);
    let mut listen = root.table("listen");
    let caller = listen.need_address("caller");
    let operator = listen.need_address("operator");
    let peer = listen.need_address("peer");
    check_ports(&listen, [caller, operator, peer]);
    listen.end();
    let mut platform = root.table("platform");
    let mut jobs = root.table("jobs");
    let store = jobs.address("store");
    let advisor = jobs.address("advisor");
    let mode = match store {
        Some(store) => Some(Mode::Jobs { store, advisor }),
        None => platform.need_address("addr").map(|platform| Mode::Declared { platform }),
    };
    let mut numbers = read_numbers("platform", &mut platform);
    platform.end();
    numbers.extend(read_numbers("jobs", &mut jobs));
    jobs.end();
    for table in ["traffic", "control"] {
        let mut part = root.table(table);
        numbers.extend(read_numbers(table, &mut part));
        check_leases(&part, &numbers);
        part.end();
    }
    let limits = read_limits(root);
    let mut log = root.table("log");
    let log_format = read_log_format(doc, &mut log);
    let log_level = log.text("level").map_or_else(|| "info".to_owned(), |(_, level)| level);
    log.end();
    Some(Settings {
        host: host?.1.as_str().into(),
        hall: hall?.1.as_str().into(),
        caller_addr: caller?,
        operator_addr: operator?,
        peer_addr: peer?,
        seed_peers,
        mode: mode?,
        limits,
        log_format,
        log_level,
        numbers,
    })
}

/// Reads the addresses of the seed peers and records a fault for each that does not parse.
fn read_seeds(
    doc: &toml_read::Doc<'_>,
    root: &mut toml_read::Table<'_, '_>,
) -> Vec<net::SocketAddr> {
    let mut seeds = Vec::new();
    for (at, text) in root.texts("seed_peers") {
        match text.parse() {
            Ok(addr) => seeds.push(addr),
            Err(_) => {
                let key = "seed_peers".to_owned();
                doc.fault(at, toml_read::FaultKind::BadAddress { key });
            }
        }
    }
    seeds
}

/// Reads the integer keys of one table.
fn read_numbers(
    name: &'static str,
    table: &mut toml_read::Table<'_, '_>,
) -> collections::BTreeMap<(&'static str, &'static str), u64> {
    let keys = NUMBERS.iter().filter(|number| number.table == name);
    keys.map(|number| {
        let value = table.number(number.key, number.default, number.range.clone());
        ((name, number.key), value)
    })
    .collect()
}

/// Records a fault if task leases would expire while their hall changes its holder.
fn check_leases(
    table: &toml_read::Table<'_, '_>,
    numbers: &collections::BTreeMap<(&'static str, &'static str), u64>,
) {
    let number = |key| numbers.get(&("control", key)).copied();
    let (Some(worker), Some(lease), Some(turn), Some(sync)) =
        (number("worker_lease_ms"), number("lease_ms"), number("turn_ms"), number("sync_ms"))
    else {
        return;
    };
    let least = lease + turn + 2 * sync;
    if worker < least {
        table.fault(toml_read::FaultKind::TooSmall {
            key: "worker_lease_ms".to_owned(),
            least,
            why: "tasks must outlive a change of their hall's holder".to_owned(),
        });
    }
}

/// Records a fault for each address that is used twice.
fn check_ports(table: &toml_read::Table<'_, '_>, addrs: [Option<net::SocketAddr>; 3]) {
    let given: Vec<net::SocketAddr> = addrs.into_iter().flatten().collect();
    for (at, addr) in given.iter().enumerate() {
        if addr.port() != 0 && given[..at].contains(addr) {
            let (what, name) = ("address".to_owned(), addr.to_string());
            table.fault(toml_read::FaultKind::Twice { what, name });
        }
    }
}

/// Reads the resources of the host.
fn read_limits(root: &mut toml_read::Table<'_, '_>) -> Limits {
    let mut table = root.table("limits");
    let mut whole = |key| table.decimal_milli(key, 0..=MAX_LIMIT_MILLI).map(|milli| milli / 1_000);
    let limits = Limits {
        link_mbps: whole("link_mbps"),
        memory_mb: whole("memory_mb"),
        max_fds: whole("max_fds"),
        cpu_milli: table.decimal_milli("cpu_cores", 0..=1_000_000),
    };
    table.end();
    limits
}

/// Reads the output format of the log.
fn read_log_format(doc: &toml_read::Doc<'_>, table: &mut toml_read::Table<'_, '_>) -> LogFormat {
    match table.text("format") {
        None => LogFormat::Text,
        Some((_, text)) if text == "text" => LogFormat::Text,
        Some((_, text)) if text == "json" => LogFormat::Json,
        Some((at, _)) => {
            let (key, expected) = ("format".to_owned(), "\"text\" or \"json\"".to_owned());
            doc.fault(at, toml_read::FaultKind::WrongType { key, expected });
            LogFormat::Text
        }
    }
}
