//! The Prometheus metrics of a host.

use std::time;

use prometheus::core::Collector;

use crate::jobs::holder_load;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// A metric that can't be created or registered.
#[derive(Debug, thiserror::Error)]
#[error("metric can't be registered")]
pub struct MetricError(#[from] prometheus::Error);

/// All metrics of a host.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Registry from which all metrics are gathered.
    registry: prometheus::Registry,
    /// Finished requests by service and outcome.
    pub requests: prometheus::IntCounterVec,
    /// Requests given up, by service and reason.
    pub gave_up: prometheus::IntCounterVec,
    /// How often callers met a limit on what they may hold, by limit.
    pub caller_limits: prometheus::IntCounterVec,
    /// Jobs refused since they would be missed for the load of their queue, by queue.
    pub refused_for_load: prometheus::IntCounterVec,
    /// Cancels of jobs that were not stored, by what became of them.
    pub early_cancels: prometheus::IntCounterVec,
    /// Failed attempts by service and kind of failure.
    pub failures: prometheus::IntCounterVec,
    /// Retries by service.
    pub retries: prometheus::IntCounterVec,
    /// Time from a request to the end of its answer by service, in seconds.
    pub latency: prometheus::HistogramVec,
    /// Answers that broke off after their head was forwarded, by service.
    pub broken: prometheus::IntCounterVec,
    /// Requests in flight.
    pub in_flight: prometheus::IntGauge,
    /// Queued requests by service.
    pub queued: prometheus::IntGaugeVec,
    /// Endpoints by service and state.
    pub endpoints: prometheus::IntGaugeVec,
    /// Retries left in the budget, by service.
    pub retry_budget: prometheus::IntGaugeVec,
    /// Configuration revision in force.
    pub revision: prometheus::IntGauge,
    /// 1 if the last call to the platform was answered, else 0.
    pub platform_up: prometheus::IntGauge,
    /// Calls to the platform by kind and result.
    pub platform_calls: prometheus::IntCounterVec,
    /// Gossip messages sent to peers, by cause.
    pub gossip: prometheus::IntCounterVec,
    /// 1 for each hall that this host holds, else 0.
    pub hall_held: prometheus::IntGaugeVec,
    /// When this host learned that a hall is closed, in seconds since 1970; job service only.
    pub hall_closed: prometheus::IntGaugeVec,
    /// Delay of the job service's last tick behind its due time, in milliseconds.
    pub holder_lag_ms: prometheus::IntGauge,
    /// Events that the holder of the domain handled, by kind.
    pub holder_events: prometheus::IntCounterVec,
    /// Time that handling them took, passes included, in microseconds, by kind.
    pub holder_busy_us: prometheus::IntCounterVec,
    /// Time that they waited for their handling, in microseconds, by kind.
    pub holder_wait_us: prometheus::IntCounterVec,
    /// Placement passes that the holder ran.
    pub holder_passes: prometheus::IntCounter,
    /// Jobs failed because workers crashed under their tasks, since this host acquired the lease.
    pub jobs_given_up: prometheus::IntGauge,
    /// Records of cancels of jobs that were not stored, as the holder knows them.
    pub early_cancels_kept: prometheus::IntGauge,
    /// Losses counted against tasks whose worker turned out to live, since this host acquired the
    /// lease.
    pub false_losses: prometheus::IntGauge,
    /// Tasks whose start is withheld since workers were lost under them.
    pub tasks_withheld: prometheus::IntGauge,
    /// Workers found to have restarted under the same id, since this host acquired the lease.
    pub workers_restarted: prometheus::IntGauge,
    /// Starts that another incarnation took than the addressed one, since this host acquired the
    /// lease.
    pub taken_by_others: prometheus::IntGauge,
    /// Runs kept because the next incarnation of their worker may have them, since this host
    /// acquired the lease.
    pub kept_for_next: prometheus::IntGauge,
    /// Runs given up although their start was not shown, since this host acquired the lease.
    pub unshown_given_up: prometheus::IntGauge,
    /// Runs kept because their ends may not have been listed yet, since the lease was taken.
    pub unlisted_ends: prometheus::IntGauge,
    /// Number of queues with active jobs that the configuration in force lacks.
    pub unconfigured_queues: prometheus::IntGauge,
    /// Stalled workers found, runs moved from them, and moved runs that ended before their stop,
    /// since this host acquired the lease.
    pub stalls: prometheus::IntGaugeVec,
    /// Commits by hall, since this host acquired its lease.
    pub commits: prometheus::IntGaugeVec,
    /// Records in those commits, by hall.
    pub commit_records: prometheus::IntGaugeVec,
    /// Bytes in those commits, by hall.
    pub commit_bytes: prometheus::IntGaugeVec,
    /// Evictions by hall and cause.
    pub evictions: prometheus::IntGaugeVec,
    /// Tasks waiting for placement, by hall.
    pub waiting: prometheus::IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Returns `MetricError` for names that clash.
    pub fn new() -> Result<Self, MetricError> {
        let registry = prometheus::Registry::new();
        let builder = Builder { registry: &registry };
        let latency = prometheus::HistogramOpts::new(
            "wharflane_request_duration_seconds",
            "Time from the request to the end of its answer.",
        );
        let latency = latency.buckets(LATENCY_BUCKETS.to_vec());
        let latency = prometheus::HistogramVec::new(latency, &["service"])?;
        builder.build_info()?;
        Ok(Self {
            requests: builder.counter("requests_total", "Requests.", &["service", "outcome"])?,
            gave_up: builder.counter("gave_up_total", "Given up.", &["service", "reason"])?,
            caller_limits: builder.counter(
                "caller_limits_total",
                "How often callers met a limit on what they may hold.",
                &["limit"],
            )?,
            early_cancels: builder.counter(
                "early_cancels_total",
                "Cancels of jobs that were not stored.",
                &["outcome"],
            )?,
            refused_for_load: builder.counter(
                "refused_for_load_total",
                "Jobs refused for load.",
                &["queue"],
            )?,
            failures: builder.counter(
                "failures_total",
                "Failed tries.",
                &["service", "failure"],
            )?,
            retries: builder.counter("retries_total", "Retries.", &["service"])?,
            latency: builder.register(latency)?,
            broken: builder.counter("broken_answers_total", "Answers cut short.", &["service"])?,
            in_flight: builder.register(prometheus::IntGauge::new(
                "wharflane_in_flight_requests",
                "Requests under way.",
            )?)?,
            queued: builder.gauge("queued_requests", "Waiting requests.", &["service"])?,
            endpoints: builder.gauge("endpoints", "Endpoints.", &["service", "state"])?,
            retry_budget: builder.gauge("retry_budget", "Retries left.", &["service"])?,
            revision: builder.register(prometheus::IntGauge::new(
                "wharflane_config_revision",
                "Configuration revision in force.",
            )?)?,
            platform_up: builder.register(prometheus::IntGauge::new(
                "wharflane_platform_up",
                "Whether the platform answered last.",
            )?)?,
            platform_calls: builder.counter(
                "platform_calls_total",
                "Calls.",
                &["call", "result"],
            )?,
            gossip: builder.counter("gossip_messages_total", "Messages to peers.", &["cause"])?,
            hall_held: builder.gauge("hall_held", "Whether the hall is held here.", &["hall"])?,
            hall_closed: builder.gauge(
                "hall_closed_since_seconds",
                "When the hall was heard to be closed, since 1970.",
                &["hall"],
            )?,
            holder_lag_ms: builder.register(prometheus::IntGauge::new(
                "wharflane_holder_lag_ms",
                "Lag of the job service's holder.",
            )?)?,
            holder_events: builder.counter(
                "holder_events_total",
                "Events that the holder handled.",
                &["event"],
            )?,
            holder_busy_us: builder.counter(
                "holder_busy_us_total",
                "Time that handling them took, in microseconds.",
                &["event"],
            )?,
            holder_wait_us: builder.counter(
                "holder_wait_us_total",
                "Time that they waited for their handling, in microseconds.",
                &["event"],
            )?,
            holder_passes: builder.register(prometheus::IntCounter::new(
                "wharflane_holder_passes_total",
                "Placement passes that the holder ran.",
            )?)?,
            early_cancels_kept: builder.register(prometheus::IntGauge::new(
                "wharflane_early_cancels_kept",
                "Records of cancels of jobs that were not stored, while this host is the holder.",
            )?)?,
            jobs_given_up: builder.register(prometheus::IntGauge::new(
                "wharflane_jobs_given_up",
                "Jobs given up since workers crashed under a task, since the lease was taken.",
            )?)?,
            false_losses: builder.register(prometheus::IntGauge::new(
                "wharflane_false_losses",
                "Losses counted against tasks whose worker lives, since the lease was taken.",
            )?)?,
            tasks_withheld: builder.register(prometheus::IntGauge::new(
                "wharflane_tasks_withheld",
                "Tasks whose start is withheld since workers were lost under them.",
            )?)?,
            workers_restarted: builder.register(prometheus::IntGauge::new(
                "wharflane_workers_restarted",
                "Workers found to have started again under their id, since the lease was taken.",
            )?)?,
            taken_by_others: builder.register(prometheus::IntGauge::new(
                "wharflane_starts_taken_by_next_incarnation",
                "Starts that another incarnation took than the addressed one, since the lease was taken.",
            )?)?,
            kept_for_next: builder.register(prometheus::IntGauge::new(
                "wharflane_runs_kept_for_next_incarnation",
                "Runs kept since the next incarnation of their worker may have them, since the lease was taken.",
            )?)?,
            unshown_given_up: builder.register(prometheus::IntGauge::new(
                "wharflane_unshown_runs_given_up",
                "Runs given up although their start was not shown, since the lease was taken.",
            )?)?,
            unlisted_ends: builder.register(prometheus::IntGauge::new(
                "wharflane_unlisted_ends",
                "Runs kept since their ends may not be listed yet, since the lease was taken.",
            )?)?,
            unconfigured_queues: builder.register(prometheus::IntGauge::new(
                "wharflane_unconfigured_queues",
                "Queues with jobs under way that the configuration lacks.",
            )?)?,
            stalls: builder.gauge(
                "stalls",
                "Stalled workers, runs moved from them and false alarms, since the lease was taken.",
                &["event"],
            )?,
            commits: builder.gauge("hall_commits", "Commits since taken.", &["hall"])?,
            commit_records: builder.gauge("hall_commit_records", "Records in them.", &["hall"])?,
            commit_bytes: builder.gauge("hall_commit_bytes", "Bytes in them.", &["hall"])?,
            evictions: builder.gauge("hall_evictions", "Evictions.", &["hall", "cause"])?,
            waiting: builder.gauge("hall_waiting_tasks", "Waiting tasks.", &["hall"])?,
            registry,
        })
    }

    /// Counts an event that the holder handled.
    pub fn note_handling(&self, kind: holder_load::Kind, handling: &holder_load::Handling) {
        let micros = |time: time::Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let label = &[kind.label()];
        self.holder_events.with_label_values(label).inc();
        self.holder_busy_us.with_label_values(label).inc_by(micros(handling.took));
        self.holder_wait_us.with_label_values(label).inc_by(micros(handling.waited));
        self.holder_passes.inc_by(handling.passes);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder.encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// Creates metrics and registers them.
struct Builder<'a> {
    /// Registry that receives the metrics.
    registry: &'a prometheus::Registry,
}

impl Builder<'_> {
    /// Creates and registers a counter with labels.
    fn counter(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<prometheus::IntCounterVec, MetricError> {
        let opts = prometheus::Opts::new(format!("wharflane_{name}"), help);
        self.register(prometheus::IntCounterVec::new(opts, labels)?)
    }

    /// Creates and registers a gauge with labels.
    fn gauge(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<prometheus::IntGaugeVec, MetricError> {
        let opts = prometheus::Opts::new(format!("wharflane_{name}"), help);
        self.register(prometheus::IntGaugeVec::new(opts, labels)?)
    }

    /// Registers a gauge that is always 1, with labels that identify the build.
    fn build_info(&self) -> Result<(), MetricError> {
        let labels = ["version", "sources", "target_triple"];
        let build =
            [wharflane_build::VERSION, wharflane_build::SOURCES, wharflane_build::TARGET_TRIPLE];
        self.gauge("build_info", "The build that runs.", &labels)?.with_label_values(&build).set(1);
        Ok(())
    }

    /// Registers a metric.
    fn register<M: Collector + Clone + 'static>(&self, metric: M) -> Result<M, MetricError> {
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}
