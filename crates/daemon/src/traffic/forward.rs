//! Passes an answer's body on piece by piece, and never passes a cut one on as whole.

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

/// What is done when a body ends.
#[derive(Debug)]
pub struct Ending {
    /// The connection, given back after a whole answer.
    pub lease: endpoint::ConnLease,
    /// The place at the endpoint; nothing for a stream, which holds none.
    pub permit: Option<balancer::Permit>,
    /// When the request was sent to the endpoint.
    pub sent: time::Duration,
    /// When the request came.
    pub came: time::Duration,
    /// The service, for metrics.
    pub service: String,
    /// Whether the endpoint's status says that it is well.
    pub well: bool,
    /// Counts the request as under way.
    #[expect(dead_code, reason = "counts until it is dropped")]
    pub under_way: UnderWay,
}

/// Counts a request as under way until it is dropped.
#[derive(Debug)]
pub struct UnderWay(prometheus::IntGauge);

impl UnderWay {
    /// Counts one more.
    pub fn new(gauge: &prometheus::IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// The endpoint stood still in the middle of its answer.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the endpoint stood still for {stall:?}")]
pub struct Stalled {
    /// For how long.
    stall: time::Duration,
}

/// A body on its way from an endpoint to a caller.
#[derive(Debug)]
pub struct Forward {
    /// The endpoint's body.
    body: body::Incoming,
    /// Tells whether the endpoint stands still; nothing for a stream, which may be quiet for long.
    watch: Option<guard::StallTimer>,
    /// What is done at its end.
    ending: Option<Ending>,
    /// The clock.
    clock: sync::Arc<dyn clock::Clock>,
    /// The metrics.
    metrics: metrics::Metrics,
}

impl Forward {
    /// Starts to pass a body on, which may stand still for so long.
    pub fn new(
        body: body::Incoming,
        stall: Option<time::Duration>,
        ending: Ending,
        clock: sync::Arc<dyn clock::Clock>,
        metrics: metrics::Metrics,
    ) -> Self {
        let watch = stall.map(guard::StallTimer::new);
        let mut forward = Self { body, watch, ending: Some(ending), clock, metrics };
        if body::Body::is_end_stream(&forward.body) {
            forward.whole();
        }
        forward
    }

    /// Ends a body that came whole.
    fn whole(&mut self) {
        let Some(ending) = self.ending.take() else {
            return;
        };
        let now = self.clock.now();
        ending.lease.release();
        if let Some(permit) = ending.permit {
            let latency = now.saturating_sub(ending.sent);
            if ending.well {
                permit.answered(latency, now);
            } else {
                permit.failed(outcome::Failure::Lost, now);
            }
        }
        let took = now.saturating_sub(ending.came).as_secs_f64();
        self.metrics.latency.with_label_values(&[&ending.service]).observe(took);
    }

    /// Ends a body that broke off.
    fn broken(&mut self) {
        let Some(ending) = self.ending.take() else {
            return;
        };
        if let Some(permit) = ending.permit {
            permit.failed(outcome::Failure::Lost, self.clock.now());
        }
        self.metrics.broken.with_label_values(&[&ending.service]).inc();
    }

    /// Breaks a body off whose endpoint stands still.
    fn poll_stall(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Stalled> {
        let Some(watch) = &mut self.watch else {
            return task::Poll::Pending;
        };
        task::ready!(watch.poll(cx));
        let stall = watch.limit();
        if let Some(ending) = &self.ending {
            let (service, addr) = (&ending.service, ending.lease.addr());
            let retired = ending.lease.retire_idle();
            tracing::info!(service, %addr, ?stall, retired, "an answer stood still and is broken off");
        }
        self.broken();
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
            && let Some(watch) = &mut self.watch
        {
            watch.reset();
        }
        match polled {
            task::Poll::Pending => self.poll_stall(cx).map(|stalled| Some(Err(stalled.into()))),
            task::Poll::Ready(Some(Ok(frame))) => {
                if body::Body::is_end_stream(&self.body) {
                    self.whole();
                }
                task::Poll::Ready(Some(Ok(frame)))
            }
            task::Poll::Ready(Some(Err(err))) => {
                self.broken();
                task::Poll::Ready(Some(Err(err.into())))
            }
            task::Poll::Ready(None) => {
                self.whole();
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
