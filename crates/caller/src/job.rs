//! The native HTTP API for jobs, and its client.
//!
//! `POST /jobs/QUEUE/ID` submits a job, `GET /jobs/QUEUE/ID` returns its state, `DELETE
//! /jobs/QUEUE/ID` cancels it, and `GET /jobs/QUEUE` returns the number of waiting jobs.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, StatusCode, header};
use serde::{Deserialize, Serialize};
use wharflane::job;
use wharflane_http::{client, reply};

use crate::reply as caller_reply;

/// Path prefix of all job calls.
pub const PREFIX: &str = "/jobs/";

/// Body of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Text that is passed to every task; empty if omitted.
    #[serde(default)]
    pub spec: String,
    /// Steps of the job.
    #[serde(deserialize_with = "job::read_steps")]
    pub steps: Vec<job::Step>,
    /// Schedule of repeated runs; absent if the steps run once, immediately.
    #[serde(default)]
    pub repeats: Option<job::Repeats>,
}

/// Reply to a successful job call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobReply {
    /// The job is stored and will run.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// Progress of the job.
    State(job::Phase),
    /// Number of jobs that wait in the queue.
    Waiting(u64),
}

/// Parses a job call.
///
/// # Errors
/// Returns the answer to send if the call is invalid or names no known queue.
pub fn read(
    method: &Method,
    path: &str,
    body: &Bytes,
    queues: &job::Queues,
) -> Result<job::Call, job::Answer> {
    let rest = path.strip_prefix(PREFIX).ok_or(job::Answer::NoQueue)?;
    let (name, id) = rest.split_once('/').unwrap_or((rest, ""));
    let queue = queues.queues.get(name).ok_or(job::Answer::NoQueue)?;
    call(method, queue, id, || read_job(body, queue))
}

/// Returns whether a path names a known queue, so that the body of its call matters.
#[must_use]
pub fn names_queue(path: &str, queues: &job::Queues) -> bool {
    let name = path.strip_prefix(PREFIX).map(|rest| rest.split_once('/').unwrap_or((rest, "")).0);
    name.is_some_and(|name| queues.queues.contains_key(name))
}

/// Builds the call for a method on a job of a queue, or on the queue itself if `id` is empty.
///
/// # Errors
/// Returns the answer to send if `id` is invalid or the submitted job can't be parsed.
pub fn call(
    method: &Method,
    queue: &job::Queue,
    id: &str,
    job: impl FnOnce() -> Result<job::Job, job::Answer>,
) -> Result<job::Call, job::Answer> {
    if method == Method::GET && id.is_empty() {
        return Ok(job::Call::Waiting { queue: queue.name.clone() });
    }
    match (method.as_str(), id.parse()) {
        ("POST", Ok(id)) => Ok(job::Call::Submit { id, job: job()? }),
        ("POST", Err(_)) => Err(job::Answer::BadBody),
        ("GET", Ok(id)) => Ok(job::Call::State { id }),
        ("DELETE", Ok(id)) => Ok(job::Call::Cancel { id }),
        ("GET" | "DELETE", Err(_)) => Err(job::Answer::NoJob),
        _ => Err(job::Answer::NoQueue),
    }
}

/// Parses a submission into a job of the queue.
fn read_job(body: &Bytes, queue: &job::Queue) -> Result<job::Job, job::Answer> {
    let read: Submission = serde_json::from_slice(body).or(Err(job::Answer::BadBody))?;
    Ok(job::Job {
        queue: queue.name.clone(),
        service: queue.policy.service.clone(),
        spec: read.spec,
        steps: read.steps,
        repeats: read.repeats,
    })
}

/// Builds the reply for an answer.
#[must_use]
pub fn write(answer: &job::Answer) -> reply::Reply {
    let body = match answer {
        job::Answer::Accepted => JobReply::Accepted,
        job::Answer::Cancelled => JobReply::Cancelled,
        job::Answer::State(phase) => JobReply::State(*phase),
        job::Answer::Waiting(count) => JobReply::Waiting(*count),
        _ => return problem(answer),
    };
    reply::json(StatusCode::OK, &body)
}

/// Builds the problem reply for a failure, with `Retry-After` if a retry may succeed.
#[must_use]
pub fn problem(answer: &job::Answer) -> reply::Reply {
    let refusal;
    let (status, title, after) = match answer {
        job::Answer::Refused(why) => {
            refusal = why.to_string();
            (StatusCode::BAD_REQUEST, refusal.as_str(), None)
        }
        job::Answer::BadBody => (StatusCode::BAD_REQUEST, "the body is no job", None),
        job::Answer::NoQueue => (StatusCode::NOT_FOUND, "no such queue", None),
        job::Answer::NoJob => (StatusCode::GONE, "no such job", None),
        job::Answer::NotTaken { retry_after } => {
            let title = "nothing was done; come back later";
            (StatusCode::SERVICE_UNAVAILABLE, title, Some(*retry_after))
        }
        job::Answer::Overloaded { retry_after } => {
            let title = "too much waits; nothing was done, come back later";
            (StatusCode::TOO_MANY_REQUESTS, title, Some(*retry_after))
        }
        _ => {
            let after = match answer {
                job::Answer::Unknown { retry_after } => Some(*retry_after),
                _ => None,
            };
            (StatusCode::GATEWAY_TIMEOUT, "not known whether it was done; ask again", after)
        }
    };
    let mut reply = reply::problem(status, answer.label(), title);
    if let Some(after) = after {
        let secs = header::HeaderValue::from(caller_reply::retry_after_secs(after));
        reply.headers_mut().insert(header::RETRY_AFTER, secs);
    }
    reply
}

/// Why a job call failed.
#[derive(Debug, thiserror::Error)]
pub enum JobError {
    /// The host did not answer; the call may have been executed.
    #[error("the host did not answer")]
    Call(#[from] client::CallError),
    /// The host refused the call, or does not know whether it was executed.
    #[error("status {status}: {title}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Title of the problem that the host reported; empty if it reported none.
        title: String,
    },
}

/// A client of the callers' port of one host.
#[derive(Clone, Debug)]
pub struct Jobs {
    /// HTTP client for all calls.
    client: client::Client,
    /// Base URL of all job calls.
    root: String,
    /// Timeout of each call.
    timeout: time::Duration,
}

impl Jobs {
    /// Creates a client for the host at an address.
    #[must_use]
    pub fn new(addr: net::SocketAddr, timeout: time::Duration) -> Self {
        let client = client::Client::new(timeout);
        Self { client, root: format!("http://{addr}{PREFIX}"), timeout }
    }

    /// Submits a job; idempotent for the same id.
    ///
    /// # Errors
    /// Returns `JobError` unless the host confirmed that the job is accepted.
    pub async fn submit(
        &self,
        queue: &str,
        id: job::JobId,
        submission: &Submission,
    ) -> Result<JobReply, JobError> {
        let body = serde_json::to_vec(submission).map_err(client::CallError::from)?;
        self.call(Method::POST, &format!("{queue}/{id}"), Bytes::from(body)).await
    }

    /// Returns the state of a job.
    ///
    /// # Errors
    /// Returns `JobError` if the state is not known or there is no such job.
    pub async fn state(&self, queue: &str, id: job::JobId) -> Result<JobReply, JobError> {
        self.call(Method::GET, &format!("{queue}/{id}"), Bytes::new()).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// Returns `JobError` unless the host confirmed that the job is cancelled.
    pub async fn cancel(&self, queue: &str, id: job::JobId) -> Result<JobReply, JobError> {
        self.call(Method::DELETE, &format!("{queue}/{id}"), Bytes::new()).await
    }

    /// Returns the number of jobs that wait in a queue.
    ///
    /// # Errors
    /// Returns `JobError` if the number is not known or there is no such queue.
    pub async fn count_waiting(&self, queue: &str) -> Result<JobReply, JobError> {
        self.call(Method::GET, queue, Bytes::new()).await
    }

    /// Makes one call and decodes its reply.
    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<JobReply, JobError> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.root))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(client::CallError::from)?;
        let (status, body) = self.client.call(request, self.timeout).await?;
        if status.is_success() {
            return Ok(serde_json::from_slice(&body).map_err(client::CallError::from)?);
        }
        let problem = serde_json::from_slice::<reply::Problem>(&body);
        let title = problem.map_or_else(|_| String::new(), |problem| problem.title);
        Err(JobError::Refused { status: status.as_u16(), title })
    }
}
