//! Forwards the body of an answer to the caller frame by frame.
//!
//! A body that was cut short ends with an error, so that the caller never takes it for complete.
//! The connection to the endpoint is reused only after a complete body.

use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use hyper::body;
use wharflane::{clock, outcome};
use wharflane_endpoint as endpoint;
use wharflane_http::{guard, reply};

use super::balancer;
use crate::metrics;

/// What is needed to conclude a request when its body ends.
#[derive(Debug)]
pub struct AnswerContext {
    /// Connection to the endpoint, returned to the pool after a complete answer.
    pub lease: endpoint::ConnLease,
    /// Permit at the endpoint; `None` for a stream, which holds none.
    pub permit: Option<balancer::Permit>,
    /// Clock reading when the request was sent to the endpoint.
    pub sent: time::Duration,
    /// Clock reading when the request arrived.
    pub received_at: time::Duration,
    /// Name of the service, for the metrics.
    pub service: String,
    /// Whether the status of the answer is not a server error.
    pub healthy: bool,
    /// Counts the request as in flight.
    #[expect(dead_code, reason = "counts until it is dropped")]
    pub in_flight: InFlightGuard,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(prometheus::IntGauge);

impl InFlightGuard {
    /// Adds one request to the gauge.
    pub fn new(gauge: &prometheus::IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// The endpoint sent nothing for too long within an answer.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the endpoint made no progress for {stall:?}")]
pub struct Stalled {
    /// Time without progress that was allowed.
    stall: time::Duration,
}

/// The body of an answer on its way from an endpoint to a caller.
#[derive(Debug)]
pub struct Forward {
    /// Body as it arrives from the endpoint.
    body: body::Incoming,
    /// Detects that the endpoint makes no progress; `None` for a stream, which may be idle for
    /// long.
    stall_watch: Option<guard::StallTimer>,
    /// Concludes the request; `None` once the body has ended.
    context: Option<AnswerContext>,
    /// Clock for latencies.
    clock: sync::Arc<dyn clock::Clock>,
    /// Metrics of this host.
    metrics: metrics::Metrics,
}

impl Forward {
    /// Starts to forward a body; `stall` bounds the time without progress.
    pub fn new(
        body: body::Incoming,
        stall: Option<time::Duration>,
        context: AnswerContext,
        clock: sync::Arc<dyn clock::Clock>,
        metrics: metrics::Metrics,
    ) -> Self {
        let stall_watch = stall.map(guard::StallTimer::new);
        let mut forward = Self { body, stall_watch, context: Some(context), clock, metrics };
        if body::Body::is_end_stream(&forward.body) {
            forward.complete();
        }
        forward
    }

    /// Concludes a request whose body is complete.
    fn complete(&mut self) {
        let Some(context) = self.context.take() else {
            return;
        };
        let now = self.clock.now();
        context.lease.release();
        if let Some(permit) = context.permit {
            let latency = now.saturating_sub(context.sent);
            if context.healthy {
                permit.answered(latency, now);
            } else {
                permit.failed(outcome::Failure::Lost, now);
            }
        }
        let took = now.saturating_sub(context.received_at).as_secs_f64();
        self.metrics.latency.with_label_values(&[&context.service]).observe(took);
    }

    /// Concludes a request whose body was cut short.
    fn abort(&mut self) {
        let Some(context) = self.context.take() else {
            return;
        };
        if let Some(permit) = context.permit {
            permit.failed(outcome::Failure::Lost, self.clock.now());
        }
        self.metrics.broken.with_label_values(&[&context.service]).inc();
    }

    /// Aborts the body once the endpoint has made no progress for too long.
    fn poll_stall(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Stalled> {
        let Some(stall_watch) = &mut self.stall_watch else {
            return task::Poll::Pending;
        };
        task::ready!(stall_watch.poll(cx));
        let stall = stall_watch.limit();
        if let Some(context) = &self.context {
            let (service, addr) = (&context.service, context.lease.addr());
            let retired = context.lease.retire_idle();
            tracing::info!(
                service, %addr, ?stall, retired,
                "an answer made no progress and is aborted"
            );
        }
        self.abort();
        task::Poll::Ready(Stalled { stall })
    }
}

impl body::Body for Forward {
    type Data = Bytes;
    type Error = reply::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, reply::BodyError>>> {
        let polled = pin::Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_ready()
            && let Some(stall_watch) = &mut self.stall_watch
        {
            stall_watch.reset();
        }
        match polled {
            task::Poll::Pending => self.poll_stall(cx).map(|stalled| Some(Err(stalled.into()))),
            task::Poll::Ready(Some(Ok(frame))) => {
                if body::Body::is_end_stream(&self.body) {
                    self.complete();
                }
                task::Poll::Ready(Some(Ok(frame)))
            }
            task::Poll::Ready(Some(Err(err))) => {
                self.abort();
                task::Poll::Ready(Some(Err(err.into())))
            }
            task::Poll::Ready(None) => {
                self.complete();
                task::Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        body::Body::is_end_stream(&self.body)
    }

    fn size_hint(&self) -> body::SizeHint {
        body::Body::size_hint(&self.body)
    }
}
