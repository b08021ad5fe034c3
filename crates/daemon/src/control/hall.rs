//! The actor of one hall: runs the hall's engine, executes its effects and feeds the results back
//! as events.

use std::net;

use ractor::Actor;
use wharflane::{digest, hall, id, lease, platform, work};

use super::Shared;
use super::msg;

/// Interval at which an engine checks for work that is due.
const TICK: std::time::Duration = std::time::Duration::from_millis(100);

/// Messages to the actor of a hall.
#[derive(Debug)]
pub enum Msg {
    /// An event for the engine.
    Event(Box<hall::Event>),
    /// Request for a dump of the engine's state.
    Dump(ractor::RpcReplyPort<serde_json::Value>),
    /// A host's statistics about the endpoints of this hall.
    Digest(digest::Digest),
}

/// The actor of one hall.
#[derive(Debug)]
pub struct Hall;

/// State of the actor.
#[derive(Debug)]
pub struct State {
    /// State that all actors share.
    shared: Shared,
    /// The root actor, which receives tables and summaries.
    root: ractor::ActorRef<msg::Msg>,
    /// Hall that the actor runs.
    hall: id::HallId,
    /// State machine that holds or watches the hall's lease.
    engine: hall::Engine,
    /// Epoch and version of the table last sent to the root; `None` before the first.
    published_table: Option<(u64, u64)>,
    /// Summary last sent to the root.
    summary: msg::HallSummary,
}

/// Arguments of the actor of a hall.
#[derive(Debug)]
pub struct Start {
    /// State that all actors share.
    pub shared: Shared,
    /// The root actor.
    pub root: ractor::ActorRef<msg::Msg>,
    /// Hall to run.
    pub hall: id::HallId,
}

impl Actor for Hall {
    type Msg = Msg;
    type State = State;
    type Arguments = Start;

    async fn pre_start(
        &self,
        myself: ractor::ActorRef<Msg>,
        args: Start,
    ) -> Result<State, ractor::ActorProcessingErr> {
        let Start { shared, root, hall } = args;
        let settings = shared.settings.hall_settings();
        let host = shared.host().clone();
        let engine = hall::Engine::new(hall.clone(), host, settings, shared.nonce);
        myself.send_interval(TICK, || Msg::Event(Box::new(hall::Event::Tick)));
        let summary = msg::HallSummary::default();
        Ok(State { shared, root, hall, engine, published_table: None, summary })
    }

    async fn handle(
        &self,
        myself: ractor::ActorRef<Msg>,
        message: Msg,
        state: &mut State,
    ) -> Result<(), ractor::ActorProcessingErr> {
        let now = state.shared.clock.now();
        match message {
            Msg::Event(event) => {
                for effect in state.engine.step(now, *event) {
                    run_effect(&myself, &state.shared, &state.hall, effect);
                }
                state.publish()?;
            }
            Msg::Digest(digest) => {
                state.engine.step(now, hall::Event::Digest(digest));
            }
            Msg::Dump(port) => {
                let dump = serde_json::to_value(state.engine.dump(now));
                let _ = port.send(dump.unwrap_or_default());
            }
        }
        Ok(())
    }
}

impl State {
    /// Sends the endpoint table and the summary to the root if they changed.
    fn publish(&mut self) -> Result<(), ractor::ActorProcessingErr> {
        if let Some(table) = self.engine.table() {
            let table_version = Some((table.epoch, table.version));
            if self.published_table != table_version {
                self.published_table = table_version;
                self.root.cast(msg::Msg::Table(table.clone()))?;
            }
        }
        let summary = self.summarize();
        if summary != self.summary {
            if summary.held != self.summary.held {
                let (epoch, held) = (summary.epoch, summary.held);
                tracing::info!(hall = %self.hall, epoch, held, "hall lease");
            }
            self.summary = summary.clone();
            self.update_gauges();
            self.root.cast(msg::Msg::Summary(self.hall.clone(), summary))?;
        }
        Ok(())
    }

    /// Returns the current summary of the hall.
    fn summarize(&self) -> msg::HallSummary {
        let holding = self.engine.holding();
        let head = holding.map(hall::Holding::head).or(self.engine.last_head());
        msg::HallSummary {
            holder: head.and_then(|head| head.holder.clone()),
            epoch: head.map_or(0, |head| head.epoch),
            held: holding.is_some(),
            released: self.engine.is_watching(),
            tasks: holding.map(hall::Holding::task_counts).unwrap_or_default(),
        }
    }

    /// Updates the hall's gauges.
    fn update_gauges(&self) {
        let metrics = &self.shared.metrics;
        let hall = self.hall.as_str();
        let set = |gauge: &prometheus::IntGaugeVec, value: u64| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            gauge.with_label_values(&[hall]).set(value);
        };
        let holding = self.engine.holding();
        set(&metrics.hall_held, u64::from(holding.is_some()));
        let Some(holding) = holding else {
            return;
        };
        let counters = holding.counters();
        set(&metrics.commits, counters.commits);
        set(&metrics.commit_records, counters.records);
        set(&metrics.commit_bytes, counters.commit_bytes);
        set(&metrics.waiting, holding.waiting_count() as u64);
        for (cause, count) in &counters.evicted {
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            metrics.evictions.with_label_values(&[hall, cause.label()]).set(count);
        }
    }
}

/// Executes one effect in a task of its own and feeds the result back as an event.
fn run_effect(
    myself: &ractor::ActorRef<Msg>,
    shared: &Shared,
    hall: &id::HallId,
    effect: hall::Effect,
) {
    let myself = myself.clone();
    let shared = shared.clone();
    let hall = hall.clone();
    tokio::spawn(async move {
        let event = match effect {
            hall::Effect::ReadHead => read_head(&shared, &hall).await,
            hall::Effect::Load(snapshot) => load_state(&shared, &hall, snapshot).await,
            hall::Effect::Txn(txn) => {
                let answer = shared.platform.transact(&txn).await;
                shared.count_call("txn", &answer);
                hall::Event::Txn(answer.ok())
            }
            hall::Effect::Store(snapshot, text) => store_snapshot(&shared, snapshot, text).await,
            hall::Effect::Delete(snapshot) => {
                // A failed delete is ignored: the object that stays behind only takes up space.
                let deleted = shared.platform.delete_object(&snapshot.key).await;
                shared.count_call("delete", &deleted);
                return;
            }
            hall::Effect::Sync(addr, sync) => sync_worker(&shared, addr, &sync).await,
        };
        let _ = myself.cast(Msg::Event(Box::new(event)));
    });
}

/// Reads the head row of a hall.
async fn read_head(shared: &Shared, hall: &id::HallId) -> hall::Event {
    let rows = shared.platform.read(vec![hall::head_key(hall)]).await;
    shared.count_call("read", &rows);
    match rows {
        Ok(rows) => hall::Event::Head(rows.first().and_then(parse_head)),
        Err(_) => hall::Event::HeadFailed,
    }
}

/// Parses a head row into its version and value.
fn parse_head(row: &platform::Row) -> Option<(u64, lease::Head)> {
    Some((row.version, serde_json::from_str(&row.value).ok()?))
}

/// Reads a hall's snapshot and log.
async fn load_state(
    shared: &Shared,
    hall: &id::HallId,
    snapshot: Option<lease::Snapshot>,
) -> hall::Event {
    let text = match &snapshot {
        None => None,
        Some(snapshot) => {
            let object = shared.platform.get_object(&snapshot.key).await;
            shared.count_call("get", &object);
            match object.map(|bytes| String::from_utf8(bytes.to_vec())) {
                Ok(Ok(text)) => Some(text),
                _ => return hall::Event::LoadFailed,
            }
        }
    };
    let log = shared.platform.scan(&hall::log_prefix(hall)).await;
    shared.count_call("scan", &log);
    match log {
        Ok(log) => hall::Event::Loaded { snapshot: text, log },
        Err(_) => hall::Event::LoadFailed,
    }
}

/// Stores a snapshot; a failure is reported with sequence number 0.
async fn store_snapshot(shared: &Shared, snapshot: lease::Snapshot, text: String) -> hall::Event {
    let put = shared.platform.put_object(&snapshot.key, text).await;
    shared.count_call("put", &put);
    let seq = if put.is_ok() { snapshot.seq } else { 0 };
    hall::Event::Stored(lease::Snapshot { seq, ..snapshot })
}

/// Sends a sync message to a worker.
async fn sync_worker(shared: &Shared, addr: net::SocketAddr, sync: &work::Sync) -> hall::Event {
    let answer = shared.workers.sync(addr, sync).await.ok();
    hall::Event::Synced { worker: sync.worker.clone(), seq: sync.seq, answer }
}
