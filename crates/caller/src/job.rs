//! Callers' calls about jobs in wharflane's own form.
//!
//! `POST /jobs/QUEUE/ID` hands a job in, `GET /jobs/QUEUE/ID` tells its state, `DELETE
//! /jobs/QUEUE/ID` cancels it, and `GET /jobs/QUEUE` counts what waits.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, StatusCode, header};
use serde::{Deserialize, Serialize};
use wharflane::job;
use wharflane_http::{client, reply};

/// The start of all paths about jobs.
pub const PREFIX: &str = "/jobs/";

/// A job as its caller writes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The text that every task is given.
    #[serde(default)]
    pub spec: String,
    /// The steps.
    pub steps: Vec<job::Step>,
    /// When the steps run, where they don't run just once and at once.
    #[serde(default)]
    pub repeats: Option<job::Repeats>,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobReply {
    /// The job is kept and will run.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// How far the job is.
    State(job::Phase),
    /// So many jobs of the queue wait.
    Waiting(u64),
}

/// Reads a call; where it is none, returns what the caller is told.
///
/// # Errors
/// Returns the answer to a call that can't be read or goes to no queue.
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

/// Returns the call of a method on a job of a queue, or on the queue where no job is named.
///
/// # Errors
/// Returns the answer to a call that names no job, or whose job can't be read.
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

/// Reads a job.
fn read_job(body: &Bytes, queue: &job::Queue) -> Result<job::Job, job::Answer> {
    let read: Submission = serde_json::from_slice(body).or(Err(job::Answer::BadBody))?;
    Ok(job::Job {
        queue: queue.name.clone(),
        service: queue.service.clone(),
        spec: read.spec,
        steps: read.steps,
        repeats: read.repeats,
    })
}

/// Writes an answer.
#[must_use]
pub fn write(answer: &job::Answer) -> reply::Reply {
    let told = match answer {
        job::Answer::Accepted => JobReply::Accepted,
        job::Answer::Cancelled => JobReply::Cancelled,
        job::Answer::State(phase) => JobReply::State(*phase),
        job::Answer::Waiting(count) => JobReply::Waiting(*count),
        _ => return problem(answer),
    };
    reply::json(StatusCode::OK, &told)
}

/// Writes an answer that tells of a failure, with when to come back where that helps.
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
        let secs = header::HeaderValue::from(after.as_secs().max(1));
        reply.headers_mut().insert(header::RETRY_AFTER, secs);
    }
    reply
}

/// Why a caller was told nothing useful.
#[derive(Debug, thiserror::Error)]
pub enum JobError {
    /// No answer came: it may have been done.
    #[error("the host gave no answer")]
    Call(#[from] client::CallError),
    /// The call was refused, or its fate is not known.
    #[error("status {status}: {title}")]
    Refused {
        /// The status.
        status: u16,
        /// What the host says of it.
        title: String,
    },
}

/// A client of one host's callers' port.
#[derive(Clone, Debug)]
pub struct Jobs {
    /// The HTTP client.
    client: client::Client,
    /// The root of all paths.
    root: String,
    /// How long a call may take.
    timeout: time::Duration,
}

impl Jobs {
    /// Makes a client for the host at an address.
    #[must_use]
    pub fn new(addr: net::SocketAddr, timeout: time::Duration) -> Self {
        let client = client::Client::new(timeout);
        Self { client, root: format!("http://{addr}{PREFIX}"), timeout }
    }

    /// Hands a job in; the same name again is the same job.
    ///
    /// # Errors
    /// Returns `JobError` where the job was not accepted for sure.
    pub async fn submit(
        &self,
        queue: &str,
        id: job::JobId,
        submission: &Submission,
    ) -> Result<JobReply, JobError> {
        let body = serde_json::to_vec(submission).map_err(client::CallError::from)?;
        self.call(Method::POST, &format!("{queue}/{id}"), Bytes::from(body)).await
    }

    /// Asks how far a job is.
    ///
    /// # Errors
    /// Returns `JobError` where that is not known, or there is no such job.
    pub async fn state(&self, queue: &str, id: job::JobId) -> Result<JobReply, JobError> {
        self.call(Method::GET, &format!("{queue}/{id}"), Bytes::new()).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// Returns `JobError` where the job was not cancelled for sure.
    pub async fn cancel(&self, queue: &str, id: job::JobId) -> Result<JobReply, JobError> {
        self.call(Method::DELETE, &format!("{queue}/{id}"), Bytes::new()).await
    }

    /// Counts the jobs of a queue that wait.
    ///
    /// # Errors
    /// Returns `JobError` where that is not known, or there is no such queue.
    pub async fn waiting(&self, queue: &str) -> Result<JobReply, JobError> {
        self.call(Method::GET, queue, Bytes::new()).await
    }

    /// Makes one call.
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
