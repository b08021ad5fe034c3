//! What it costs many hosts to watch one lease, and how soon one of them sees that it stands still.
//!
//! Guards against two costs that grow with the hosts: reads of the lease row, most of which show
//! nothing new, and probes of a silent holder by hosts that may not take its lease yet.

use std::time;

use wharflane::job;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// The number of strong hosts in the smaller fleet; there are six weak hosts for each.
const STRONG: usize = 12;
/// The time for which the lease is renewed.
const RENEWED: time::Duration = time::Duration::from_secs(60);
/// The time after the last renewal that is observed.
const OBSERVED: time::Duration = time::Duration::from_secs(2);
/// The interval between two ticks of a host that watches the lease.
const TICK_MS: u64 = 100;
/// The most reads of a renewed lease that a host may make in a second, on average over all hosts:
/// one in 0.6 s by a strong host and one in 1.5 s by a weak one.
const MAX_READS_PER_S: f64 = 0.9;

/// What a fleet did.
#[derive(Debug, Default)]
struct Counts {
    /// The hosts of the fleet.
    hosts: usize,
    /// The reads of the lease while it was renewed.
    reads: usize,
    /// The probes before the first host could take the lease, by weak hosts.
    weak_probes: usize,
    /// The time from the last renewal to the first probe.
    noticed: Option<time::Duration>,
}

/// Returns the settings of a strong or a weak host, as the daemon has them.
fn settings(strong: bool) -> job::Settings {
    let millis = time::Duration::from_millis;
    let weak = job::Settings {
        takeover_delay: millis(1_200),
        poll: millis(1_500),
        poll_standstill: millis(900),
        ..world::settings()
    };
    let strong_settings = job::Settings { poll: millis(600), ..world::settings() };
    if strong { strong_settings } else { weak }
}

/// Lets a fleet watch a lease that is renewed for `RENEWED` and then stands still. All hosts start
/// within 0.3 s.
fn watch(strong: usize) -> Counts {
    let hosts = strong * 7;
    let mut counts = Counts { hosts, ..Counts::default() };
    let mut engines: Vec<job::Engine> = (0..hosts)
        .map(|at| {
            let host = format!("h{at}");
            let nonce = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(at as u64 + 1);
            job::Engine::new(host.as_str().into(), settings(at < strong), nonce)
        })
        .collect();
    let start = time::Duration::from_secs(1);
    let millis = |time: time::Duration| u64::try_from(time.as_millis()).expect("fits into u64");
    for now_ms in 0..millis(RENEWED + OBSERVED) {
        let now = start + time::Duration::from_millis(now_ms);
        let written_ms = now_ms.min(millis(RENEWED)) / 20 * 20;
        for (at, engine) in engines.iter_mut().enumerate() {
            let phase = at as u64 * 7 % 300;
            if now_ms < phase || !(now_ms - phase).is_multiple_of(TICK_MS) {
                continue;
            }
            for effect in engine.step(now, job::Event::Tick { wall_ms: 1 }) {
                assert_eq!(effect, job::Effect::ReadLease);
                counts.reads += usize::from(now_ms < millis(RENEWED));
                let row = Some((written_ms + 1, lease(written_ms)));
                let event = job::Event::LeaseRead { row, store_ms: Some(now_ms) };
                let probes = engine.step(now, event).len();
                if probes == 0 {
                    continue;
                }
                assert!(now_ms > millis(RENEWED), "a holder that renews its lease was probed");
                counts.noticed.get_or_insert(now - start - RENEWED);
                counts.weak_probes += usize::from(at >= strong) * probes;
            }
        }
        if counts.noticed.is_some_and(|noticed| now >= start + RENEWED + noticed + OBSERVED / 4) {
            break;
        }
    }
    counts
}

/// Lets a fleet watch the lease of a holder that died in an outage of the store, which no host could
/// read for 6 s, and returns how many weak hosts try to take it before the first strong host can.
fn weak_attempts_after_an_outage(strong: usize) -> usize {
    let start = time::Duration::from_secs(1);
    let back = start + time::Duration::from_secs(6);
    let mut attempts = 0;
    for at in 0..strong * 7 {
        let mut engine = job::Engine::new("host".into(), settings(at < strong), at as u64);
        let row = Some((1, lease(0)));
        engine.step(start, job::Event::LeaseRead { row: row.clone(), store_ms: Some(0) });
        engine.step(back, job::Event::LeaseUnread);
        // A strong host reads the lease within 0.3 s of the return of the store.
        let first_read = back + time::Duration::from_millis(at as u64 % 300);
        let read = job::Event::LeaseRead { row, store_ms: Some(6_000) };
        let takes = engine.step(first_read, read);
        let takes = takes.iter().any(|effect| matches!(effect, job::Effect::Txn(..)));
        assert!(takes || at >= strong, "a strong host waits");
        attempts += usize::from(takes && at >= strong);
    }
    attempts
}

/// Returns the lease of a holder that wrote it at a time of the store's clock.
fn lease(written_ms: u64) -> job::Lease {
    job::Lease {
        holder: Some("holder".into()),
        epoch: 1_000,
        nonce: 1,
        seq: written_ms,
        hold_ms: 4_000,
        earlier_left_ms: Some(0),
        restarted: Vec::new(),
        addr: Some(([127, 0, 0, 1], 9).into()),
        written_ms: Some(written_ms),
        backlogs: Vec::new(),
        shown_upto: None,
    }
}

cases! {
    reads_of_a_lease_do_not_grow_faster_than_the_hosts => {
        for strong in [STRONG, 2 * STRONG] {
            let counts = watch(strong);
            let per_s = counts.reads as f64 / counts.hosts as f64 / RENEWED.as_secs_f64();
            assert!(per_s <= MAX_READS_PER_S, "{per_s} reads a second and host: {counts:?}");
        }
    },
    more_hosts_notice_a_lease_that_stands_still_sooner => {
        let noticed = |strong| watch(strong).noticed.expect("never probed");
        let probe = world::settings().probe;
        let gap = |strong: usize| settings(true).poll / u32::try_from(strong).expect("small");
        for strong in [STRONG, 2 * STRONG] {
            // Hosts read at random, so the gap between two reads may be several times the mean.
            let limit = probe + time::Duration::from_millis(TICK_MS) + 3 * gap(strong);
            assert!(noticed(strong) <= limit, "{strong}: {:?}", noticed(strong));
        }
    },
    weak_hosts_leave_the_lease_to_strong_ones_once_the_store_is_back => {
        for strong in [STRONG, 2 * STRONG] {
            assert_eq!(weak_attempts_after_an_outage(strong), 0);
        }
    },
    hosts_that_may_not_take_a_lease_yet_do_not_probe_its_holder => {
        for strong in [STRONG, 2 * STRONG] {
            assert_eq!(watch(strong).weak_probes, 0);
        }
    },
}
