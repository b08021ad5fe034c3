//! Serves the store, the workers and the advice service over HTTP in one process, with faults that
//! a test switches on.

use std::io;
use std::net;
use std::sync;
use std::time;

use hyper::StatusCode;
use wharflane::{clock, clock::Clock as _, id, job, rows as table, size};
use wharflane_adapter::{config, entry, server_codec};
use wharflane_http::{reply, request_body, server};

use super::{checker, rows, worker};

/// The largest body of a request that is read, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// How long a client may take to send a body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How often the fakes check whether a waiting call can be answered, and whether runs are due.
const POLL: time::Duration = time::Duration::from_millis(5);
/// How many attempts each task of the only queue has.
pub const ATTEMPTS: u32 = 3;
/// The capacity of every worker.
const CAPACITY: size::Size = size::Size { cpu_milli: 4_000, mem_mb: 4_000, accelerators: 0 };
/// The name of the only queue.
pub const QUEUE: &str = "work";

/// The timing of the advice that the queue requests while `advice` is on.
const ADVICE_TIMING: job::AdviceTiming = job::AdviceTiming {
    decide: time::Duration::from_millis(50),
    each: time::Duration::from_millis(1),
    valid: time::Duration::from_millis(900),
};

/// Returns the ticket that allows a step on a worker.
fn ticket(step: &str, worker: &id::Incarnation) -> String {
    format!("{step} on {}", worker.worker)
}

/// The header with the time that a caller waits for its answer, in milliseconds.
pub const DEADLINE_HEADER: &str = wharflane_adapter::callers::DEADLINE_HEADER;

/// The faults that are switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The store rejects every call with 503.
    pub store_busy: bool,
    /// The store accepts calls and never answers.
    pub store_silent: bool,
    /// Every n-th transaction is committed without an answer; zero for none.
    pub lose_every: u64,
    /// How long a transaction waits for its turn before it is committed, in milliseconds.
    pub turn_ms: u64,
    /// How much later a transaction on the table of jobs is carried out, in milliseconds; it then
    /// gets no answer. Zero for none.
    pub late_jobs_ms: u64,
    /// How many of the next starts find that their worker has just restarted under its id. The next
    /// incarnation carries them out, its answers are lost, and the store gets no entry of it.
    pub starts_after_restart: u32,
}

/// The state shared by all fakes.
#[derive(Debug)]
pub struct State {
    /// The store.
    pub rows: rows::Rows,
    /// The workers, by index.
    pub workers: Vec<worker::Worker>,
    /// The address of each worker.
    addrs: Vec<net::SocketAddr>,
    /// The faults that are switched on.
    pub faults: Faults,
    /// Checks the guarantees of the service.
    pub checker: checker::Checker,
    /// The run time of each task.
    pub work: time::Duration,
    /// Whether the queue requests advice; workers with odd indices then refuse every start.
    pub advice: bool,
    /// The number of advice requests that were answered.
    pub advice_calls: u64,
    /// The number of transactions received while `store_silent` is on.
    pub unanswered_txns: u64,
    /// The number of transactions so far.
    pub transactions: u64,
    /// The number of transactions that were carried out late.
    pub late_transactions: u64,
}

/// A handle to the fakes; clones share the same state.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The state that all fakes share.
    state: sync::Arc<sync::Mutex<State>>,
    /// The clock of the store and the workers.
    clock: sync::Arc<clock::SystemClock>,
    /// The address of the store.
    pub store: net::SocketAddr,
    /// The address of the advice service, which decides which workers may run a step.
    pub advisor: net::SocketAddr,
}

impl Platform {
    /// Starts a store and workers on free loopback ports.
    ///
    /// # Errors
    /// Returns an error if a port can't be opened.
    pub async fn start(workers: usize, work: time::Duration) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let advisor = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let state = State {
            rows: rows::Rows::default(),
            workers: Vec::new(),
            addrs: Vec::new(),
            faults: Faults::default(),
            checker: checker::Checker::default(),
            work,
            advice: false,
            advice_calls: 0,
            unanswered_txns: 0,
            transactions: 0,
            late_transactions: 0,
        };
        let platform = Self {
            state: sync::Arc::new(sync::Mutex::new(state)),
            clock: sync::Arc::default(),
            store: listener.local_addr()?,
            advisor: advisor.local_addr()?,
        };
        let fakes = platform.clone();
        let handle = move |request| fakes.clone().serve_store(request);
        tokio::spawn(server::serve(listener, server::Bounds::default(), server::never(), handle));
        let fakes = platform.clone();
        let handle = move |request| fakes.clone().serve_advice(request);
        tokio::spawn(server::serve(advisor, server::Bounds::default(), server::never(), handle));
        for _ in 0..workers {
            platform.add_worker().await?;
        }
        platform.configure(1);
        tokio::spawn(platform.clone().tick());
        Ok(platform)
    }

    /// Locks the state.
    pub fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the time of the store's clock, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.clock.now().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes a configuration with the only queue as the one in force.
    pub fn configure(&self, revision: u64) {
        let queue = job::Queue {
            name: QUEUE.to_owned(),
            host: "callers.example".to_owned(),
            prefix: "/queue/".to_owned(),
            policy: job::Policy {
                service: "service".into(),
                priority: 0,
                max_attempts: ATTEMPTS,
                advice: self.lock().advice.then_some(ADVICE_TIMING),
                stretch_percent: 200,
                objective_ms: 1_000,
            },
        };
        self.write_config(&job::Queues { revision, queues: [(QUEUE.to_owned(), queue)].into() });
    }

    /// Writes a configuration without any queue as the one in force.
    pub fn configure_without_queue(&self, revision: u64) {
        self.write_config(&job::Queues { revision, ..job::Queues::default() });
    }

    /// Writes a configuration as the one in force.
    fn write_config(&self, queues: &job::Queues) {
        self.write(config::OPERATOR_TABLE, config::CONFIG_KEY, server_codec::config(queues));
    }

    /// Restarts a worker under its id and at its address, without any state of its previous
    /// incarnation.
    pub fn restart_worker(&self, at: usize) {
        self.begin_next_incarnation(&mut self.lock(), at);
        self.list_worker(at);
    }

    /// Puts the next incarnation of a worker in its place, without an entry in the store.
    fn begin_next_incarnation(&self, state: &mut State, at: usize) {
        let worker = &mut state.workers[at];
        *worker = worker.next_incarnation(self.now_ms(), self.clock.now());
    }

    /// Crashes a worker: its runs are gone, and it answers nothing until it is replaced. Its entry
    /// stays until a test removes it. Returns the id of the incarnation that is over.
    #[must_use]
    pub fn crash_worker(&self, at: usize) -> id::WorkerId {
        let mut state = self.lock();
        let incarnation = state.workers[at].incarnation.clone();
        state.workers[at] = worker::Worker::new(incarnation.clone(), CAPACITY, 1_000);
        state.workers[at].alive = false;
        incarnation.worker
    }

    /// Starts another incarnation of a worker, under a new id at its address.
    pub fn replace_worker(&self, at: usize) {
        let born_ms = self.now_ms();
        let worker = format!("w{at}-{born_ms}").as_str().into();
        let incarnation = id::Incarnation { worker, born_ms: Some(born_ms) };
        self.lock().workers[at] = worker::Worker::new(incarnation, CAPACITY, 1_000);
        self.list_worker(at);
    }

    /// Cuts a worker off from all hosts, or connects it again; it runs on meanwhile.
    pub fn set_reachable(&self, at: usize, reachable: bool) {
        self.lock().workers[at].reachable = reachable;
    }

    /// Removes the entry of a worker by its id, as the platform does once that is silent.
    pub fn unlist_worker(&self, worker: &id::WorkerId) {
        let (table, part) = (entry::WORKERS_TABLE, config::EXTERNAL_PART.to_owned());
        let key = table::Key { table, part, name: worker.as_str().to_owned() };
        self.write_row(key, None);
    }

    /// Writes the entry of a worker.
    pub fn list_worker(&self, at: usize) {
        let member = {
            let state = self.lock();
            job::Member {
                incarnation: state.workers[at].incarnation.clone(),
                addr: state.addrs[at],
                hall: "hall".into(),
                service: "service".into(),
                leaving: false,
                capacity: CAPACITY,
                labels: Vec::new(),
                rack: None,
            }
        };
        self.write(
            entry::WORKERS_TABLE,
            member.incarnation.worker.as_str(),
            server_codec::member(&member),
        );
    }

    /// Adds a worker, writes its entry and serves it.
    async fn add_worker(&self) -> io::Result<()> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let at = {
            let mut state = self.lock();
            let worker = format!("w{}", state.workers.len()).as_str().into();
            let incarnation = id::Incarnation { worker, born_ms: Some(self.now_ms()) };
            state.workers.push(worker::Worker::new(incarnation, CAPACITY, 1_000));
            state.addrs.push(addr);
            state.workers.len() - 1
        };
        self.list_worker(at);
        let fakes = self.clone();
        let handle = move |request| fakes.clone().serve_worker(at, request);
        tokio::spawn(server::serve(listener, server::Bounds::default(), server::never(), handle));
        Ok(())
    }

    /// Writes a row of the part that the platform owns.
    fn write(&self, table: &'static str, name: &str, value: String) {
        let part = config::EXTERNAL_PART.to_owned();
        self.write_row(table::Key { table, part, name: name.to_owned() }, Some(value));
    }

    /// Writes or removes a row, as the platform or another writer may.
    pub fn write_row(&self, key: table::Key, value: Option<String>) {
        let writes = vec![table::Write { key, value }];
        self.lock().rows.transact(&table::Txn { expects: Vec::new(), writes });
    }

    /// Ends runs that are due, for as long as the runtime runs.
    async fn tick(self) {
        loop {
            tokio::time::sleep(POLL).await;
            let now = self.clock.now();
            let mut state = self.lock();
            let State { workers, checker, .. } = &mut *state;
            for worker in workers.iter_mut() {
                worker.tick(now);
                worker.ended().iter().for_each(|ended| checker.record_end(ended));
            }
        }
    }

    /// Answers a call to the store.
    async fn serve_store(self, request: server::Request) -> reply::Reply {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let read = request_body::read(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        let call = read.ok().and_then(|body| server_codec::store_call(&path, &query, &body));
        let Some(call) = call else {
            return reply::problem(StatusCode::BAD_REQUEST, "call", "no such call");
        };
        let faults = self.lock().faults;
        if faults.store_silent {
            self.lock().unanswered_txns +=
                u64::from(matches!(call, server_codec::StoreCall::Transact(_)));
            std::future::pending::<()>().await;
        }
        if faults.store_busy {
            return reply::problem(StatusCode::SERVICE_UNAVAILABLE, "busy", "busy");
        }
        match call {
            server_codec::StoreCall::Transact(txn) => self.transact(&txn).await,
            server_codec::StoreCall::Get { table, part, from, end, limit } => {
                let state = self.lock();
                let mut rows = state.rows.all(table, &part);
                rows.retain(|row| row.name >= from && (end.is_empty() || row.name < end));
                let more = rows.len() > limit;
                rows.truncate(limit);
                let version = state.rows.version();
                let now_ms = Some(self.now_ms());
                server_codec::page(&table::Page { rows, more, version, now_ms })
            }
            server_codec::StoreCall::Feed { table, after, wait } => {
                self.feed(table, after, wait).await
            }
        }
    }

    /// Performs a transaction; never answers if `lose_every` selects it.
    async fn transact(&self, txn: &table::Txn) -> reply::Reply {
        if !rows::is_within_limits(txn) {
            return reply::problem(StatusCode::BAD_REQUEST, "size", "too many or too long rows");
        }
        let late_ms = self.lock().faults.late_jobs_ms;
        if late_ms > 0 && txn.writes.iter().any(|write| write.key.table == job::JOBS) {
            tokio::spawn(self.clone().transact_late(txn.clone(), late_ms));
            std::future::pending::<()>().await;
        }
        let turn_ms = self.lock().faults.turn_ms;
        if turn_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(turn_ms)).await;
        }
        let (answer, lost) = {
            let mut state = self.lock();
            state.transactions += 1;
            let every = state.faults.lose_every;
            let lost = every > 0 && state.transactions.is_multiple_of(every);
            (state.rows.transact(txn), lost)
        };
        if lost {
            std::future::pending::<()>().await;
        }
        server_codec::txn_answer(&answer, self.now_ms())
    }

    /// Performs a transaction after a while, also if its sender is gone by then.
    async fn transact_late(self, txn: table::Txn, late_ms: u64) {
        tokio::time::sleep(time::Duration::from_millis(late_ms)).await;
        let mut state = self.lock();
        state.rows.transact(&txn);
        state.late_transactions += 1;
    }

    /// Waits for changes of a table, at most for `wait`.
    async fn feed(&self, table: &'static str, after: u64, wait: time::Duration) -> reply::Reply {
        let end = self.clock.now() + wait;
        loop {
            if self.lock().faults.store_silent {
                std::future::pending::<()>().await;
            }
            // Read the time before the rows: a row that is written after it may be missing from the
            // answer.
            let now_ms = Some(self.now_ms());
            let changes = self.lock().rows.changes(table, after);
            match changes {
                table::Changes::Forgotten => return server_codec::history_gone(),
                table::Changes::Rows(page) if !page.rows.is_empty() || self.clock.now() >= end => {
                    return server_codec::page(&table::Page { now_ms, ..page });
                }
                table::Changes::Rows(_) => tokio::time::sleep(POLL).await,
            }
        }
    }

    /// Answers an advice request.
    async fn serve_advice(self, request: server::Request) -> reply::Reply {
        let read = request_body::read(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        let Some((step, workers)) = read.ok().and_then(|body| server_codec::advice_request(&body))
        else {
            return reply::problem(StatusCode::BAD_REQUEST, "question", "no such question");
        };
        tokio::time::sleep(ADVICE_TIMING.decide).await;
        let mut state = self.lock();
        state.advice_calls += 1;
        let allowed = workers.into_iter().filter(|worker| {
            let at = state.workers.iter().position(|known| known.has_same_id(worker));
            at.is_some_and(|at| at.is_multiple_of(2))
        });
        let allowed = allowed.map(|worker| {
            let ticket = ticket(&step, &worker);
            (worker, ticket)
        });
        server_codec::advice(&job::Advice {
            accepted: allowed.collect(),
            valid: ADVICE_TIMING.valid,
        })
    }

    /// Answers a call to a worker.
    async fn serve_worker(self, at: usize, request: server::Request) -> reply::Reply {
        let path = request.uri().path().to_owned();
        let headers = request.headers().clone();
        let read = request_body::read(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        let addr = self.lock().addrs[at];
        if !self.lock().workers[at].answers() {
            std::future::pending::<()>().await;
        }
        let call =
            read.ok().and_then(|body| server_codec::worker_call(&path, &headers, addr, &body));
        let answer = match call {
            Some(server_codec::WorkerCall::Start(start)) => self.handle_start(at, &start),
            Some(server_codec::WorkerCall::Stop(order)) => {
                let now = self.clock.now();
                let mut state = self.lock();
                state.workers[at].stop(&order, now);
                server_codec::order_done(state.workers[at].clock_ms(now))
            }
            Some(server_codec::WorkerCall::Heartbeat(heartbeat)) => {
                self.handle_heartbeat(at, heartbeat).await
            }
            Some(server_codec::WorkerCall::SetShare(_)) => {
                server_codec::order_done(self.lock().workers[at].clock_ms(self.clock.now()))
            }
            None => reply::problem(StatusCode::BAD_REQUEST, "call", "no such call"),
        };
        if self.lock().workers[at].answers_lost_from.is_some() {
            std::future::pending::<()>().await;
        }
        answer
    }

    /// Handles an order to start.
    fn handle_start(&self, at: usize, start: &job::Start) -> reply::Reply {
        let mut state = self.lock();
        if state.faults.starts_after_restart > 0 && state.workers[at].answers_lost_from.is_none() {
            state.faults.starts_after_restart -= 1;
            self.begin_next_incarnation(&mut state, at);
            state.workers[at].answers_lost_from = Some(self.clock.now());
        }
        let now = self.clock.now();
        let task = start.order.task;
        let group = format!("{}.{}.{}", task.job, task.round, task.step);
        let allowed = !state.advice
            || at.is_multiple_of(2) && start.ticket == ticket(&group, &start.order.worker);
        if !allowed {
            let answer = job::StartAnswer::Refused(job::StartRefusal::Ticket);
            return server_codec::start_answer(answer, state.workers[at].clock_ms(now));
        }
        let step = state.checker.jobs.get(&task.job).and_then(|job| job.step(task.step)).cloned();
        let step = step.unwrap_or_default();
        let work = (!step.lasting).then_some(state.work);
        let behaviour = worker::Behaviour { work, fails: false, size: step.size };
        let (answer, began) = state.workers[at].start(start, behaviour, now);
        if began {
            let State { workers, checker, .. } = &mut *state;
            checker.check_start(task, ATTEMPTS, false, workers);
        }
        server_codec::start_answer(answer, state.workers[at].clock_ms(now))
    }

    /// Answers a heartbeat once a run has ended or its wait is over. The lease that it requests
    /// counts from its arrival.
    async fn handle_heartbeat(&self, at: usize, mut heartbeat: job::Heartbeat) -> reply::Reply {
        let end = self.clock.now() + heartbeat.wait;
        loop {
            if !self.lock().workers[at].answers() {
                std::future::pending::<()>().await;
            }
            let now = self.clock.now();
            {
                let mut state = self.lock();
                let State { workers, checker, .. } = &mut *state;
                let worker = &mut workers[at];
                if worker.has_same_id(&heartbeat.worker) {
                    checker.record_acknowledged(
                        worker.ended(),
                        heartbeat.acknowledged_end,
                        worker.stale_upto,
                    );
                }
                let answer = worker.handle_heartbeat(&heartbeat, now);
                heartbeat.lease_until_ms = None;
                let none_ended =
                    matches!(&answer, job::HeartbeatAnswer::Lists(l) if l.ended.is_empty());
                if !none_ended || now >= end {
                    return server_codec::heartbeat_answer(&answer, worker.clock_ms(now));
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }
}
