//! The body of a request to a server, which is read into one buffer within the server's budgets.

use std::pin;
use std::sync;
use std::task;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::body::Body as _;

use crate::{admission, budget, exchange};

/// Memory of a request's state until its body is complete, in bytes.
const REQUEST_BYTES: usize = 4 << 10;
/// Smallest buffer of a body without a length, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;
/// Longest time for which the rest of a refused body is read, so that its client gets the answer:
/// closing a connection with unread bytes resets it.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Maximum size of that rest, in bytes.
const MAX_DISCARD_BYTES: usize = 1 << 20;

/// The unread body of a request.
#[derive(Debug)]
pub struct RequestBody {
    /// The body as it arrives.
    incoming: body::Incoming,
    /// Size of the request's head, in bytes.
    head_bytes: usize,
    /// The request on its connection.
    exchange: sync::Arc<exchange::Exchange>,
}

impl RequestBody {
    /// Creates the body of a request whose head has `head_bytes`.
    pub(crate) fn new(
        incoming: body::Incoming,
        head_bytes: usize,
        exchange: sync::Arc<exchange::Exchange>,
    ) -> Self {
        if incoming.is_end_stream() {
            exchange.note_complete();
        }
        Self { incoming, head_bytes, exchange }
    }

    /// Reads and drops the rest of the body in a task of its own, within limits, so that an answer
    /// that doesn't need it reaches its client.
    pub fn discard(mut self) {
        if self.incoming.is_end_stream() {
            return;
        }
        tokio::spawn(async move {
            let rest = async {
                let mut read_bytes = 0;
                while let Some(Ok(frame)) = self.incoming.frame().await {
                    read_bytes += frame.data_ref().map_or(0, Bytes::len);
                    if read_bytes > MAX_DISCARD_BYTES {
                        return;
                    }
                }
            };
            if tokio::time::timeout(DISCARD_TIMEOUT, rest).await.is_err() {
                tracing::debug!("the rest of a refused body did not come in time");
            }
        });
    }
}

impl body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, hyper::Error>>> {
        let polled = pin::Pin::new(&mut self.incoming).poll_frame(cx);
        if matches!(polled, task::Poll::Ready(None)) {
            self.exchange.note_complete();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.incoming.size_hint()
    }
}

/// Why a request body was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The body exceeds the size limit.
    #[error("body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Maximum size of the body, in bytes.
        limit_bytes: usize,
    },
    /// The connection failed before the body was complete.
    #[error("body broke off")]
    Broken,
    /// The body did not arrive in time.
    #[error("body did not come in time")]
    TimedOut,
    /// The memory for requests is taken by newer or complete ones.
    #[error("no memory for the body: {0}")]
    NoRoom(budget::Refusal),
}

/// Reads a complete body within a size limit, a timeout and the budgets of its port. The memory that
/// it takes is given back once the last clone of the returned bytes is dropped.
///
/// # Errors
/// Returns `ReadError` if the body is too large, too slow or incomplete, or if there is no memory
/// for it.
pub async fn read(
    mut body: RequestBody,
    limit_bytes: usize,
    timeout: time::Duration,
) -> Result<Bytes, ReadError> {
    let read = tokio::time::timeout(timeout, collect(&mut body, limit_bytes)).await;
    let read = read.unwrap_or(Err(ReadError::TimedOut));
    if let Err(ReadError::NoRoom(_)) = read {
        body.discard();
    }
    read
}

/// Reads a complete body into one buffer.
async fn collect(body: &mut RequestBody, limit_bytes: usize) -> Result<Bytes, ReadError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let connection = sync::Arc::clone(body.exchange.connection());
    let length = body.size_hint().exact().map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if length.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(ReadError::TooLarge { limit_bytes });
    }
    let mut buffer = Buffer::new(&connection.admission, length.unwrap_or(limit_bytes));
    let read = fill(body, &mut buffer, limit_bytes).await;
    if let Err(Unread::Refused(refusal, limit)) = read {
        connection.admission.note(limit, connection.peer);
        return Err(ReadError::NoRoom(refusal));
    }
    match read {
        Err(Unread::Failed(err)) => Err(err),
        _ => Ok(buffer.into_bytes()),
    }
}

/// Why a body was not read.
enum Unread {
    /// The budget of a limit had no room for it.
    Refused(budget::Refusal, admission::Limit),
    /// The body itself is at fault.
    Failed(ReadError),
}

/// Fills a buffer with a complete body.
async fn fill(
    body: &mut RequestBody,
    buffer: &mut Buffer,
    limit_bytes: usize,
) -> Result<(), Unread> {
    buffer.charge_request(body.head_bytes + REQUEST_BYTES).await?;
    let (small, large) = buffer.revocations();
    loop {
        let frame = tokio::select! {
            frame = body.incoming.frame() => frame,
            () = small.notified() => {
                return Err(Unread::Refused(budget::Refusal::Revoked, admission::Limit::SmallBodies));
            }
            () = large.notified() => {
                return Err(Unread::Refused(budget::Refusal::Revoked, admission::Limit::LargeBodies));
            }
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|_broken| Unread::Failed(ReadError::Broken))?;
        let data = frame.into_data().unwrap_or_default();
        if buffer.bytes.len() + data.len() > limit_bytes {
            return Err(Unread::Failed(ReadError::TooLarge { limit_bytes }));
        }
        buffer.append(&data).await?;
    }
    buffer.keep()?;
    body.exchange.note_complete();
    Ok(())
}

/// A buffer whose memory is charged to the budgets of a port.
///
/// Frames are copied, since each would otherwise keep the connection's whole read buffer.
struct Buffer {
    /// The bytes so far.
    bytes: Vec<u8>,
    /// Largest capacity that is needed.
    bound_bytes: usize,
    /// Memory of the head and the first part.
    small: budget::Hold,
    /// Memory of the rest.
    large: budget::Hold,
}

impl Buffer {
    /// Creates an empty buffer that will need at most `bound_bytes`.
    fn new(admission: &admission::Admission, bound_bytes: usize) -> Self {
        let (small, large) = (admission.small.hold(), admission.large.hold());
        Self { bytes: Vec::new(), bound_bytes, small, large }
    }

    /// Charges the memory of the request's head and state.
    async fn charge_request(&mut self, bytes: usize) -> Result<(), Unread> {
        let charged = self.small.grow(bytes).await;
        charged.map_err(|refusal| Unread::Refused(refusal, admission::Limit::SmallBodies))
    }

    /// Appends a part of the body.
    async fn append(&mut self, data: &[u8]) -> Result<(), Unread> {
        let needed = self.bytes.len() + data.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let doubled = (capacity * 2).max(MIN_BUFFER_BYTES).min(self.bound_bytes);
            let larger = doubled.max(needed);
            self.charge(capacity, larger).await?;
            self.bytes.reserve_exact(larger - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Charges the growth of the buffer.
    async fn charge(&mut self, from_bytes: usize, to_bytes: usize) -> Result<(), Unread> {
        let small = |bytes: usize| bytes.min(admission::SMALL_BYTES);
        let small_growth = small(to_bytes) - small(from_bytes);
        let large_growth = to_bytes - from_bytes - small_growth;
        if small_growth > 0 {
            let charged = self.small.grow(small_growth).await;
            charged.map_err(|refusal| Unread::Refused(refusal, admission::Limit::SmallBodies))?;
        }
        if large_growth > 0 {
            let charged = self.large.grow(large_growth).await;
            charged.map_err(|refusal| Unread::Refused(refusal, admission::Limit::LargeBodies))?;
        }
        Ok(())
    }

    /// Keeps the memory of a complete body until its bytes are dropped.
    fn keep(&mut self) -> Result<(), Unread> {
        let kept = self.small.keep();
        kept.map_err(|refusal| Unread::Refused(refusal, admission::Limit::SmallBodies))?;
        let kept = self.large.keep();
        kept.map_err(|refusal| Unread::Refused(refusal, admission::Limit::LargeBodies))
    }

    /// Returns what is notified when memory of the buffer is needed for a newer request.
    fn revocations(&self) -> (sync::Arc<tokio::sync::Notify>, sync::Arc<tokio::sync::Notify>) {
        (self.small.revocation(), self.large.revocation())
    }

    /// Returns the bytes, which hold their memory's charge.
    fn into_bytes(self) -> Bytes {
        Bytes::from_owner(ChargedBytes { bytes: self.bytes, _holds: [self.small, self.large] })
    }
}

/// Bytes with the charge of their memory.
struct ChargedBytes {
    /// The bytes.
    bytes: Vec<u8>,
    /// Give the memory back when dropped.
    _holds: [budget::Hold; 2],
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
