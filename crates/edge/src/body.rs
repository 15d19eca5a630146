//! Reading of the bodies of requests and responses within limits, so that neither many callers nor
//! servers whose responses do not end can exhaust the memory of the host.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

/// Part of a body's buffer by which it grows, as a divisor of its size.
const GROWTH_DIVISOR: usize = 4;
/// Size up to which a body counts as small.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Reason why a body was not read to its end.
#[derive(Debug, Error)]
pub enum ReadBodyError {
    /// The body is longer than a single one may be.
    #[error("The body has more than {max_bytes} bytes; raise the limit if it is valid.")]
    TooLong {
        /// Maximum size of one body.
        max_bytes: usize,
    },
    /// All bodies of the same kind together need too much memory.
    #[error("All bodies in memory have more than {total_bytes} bytes together.")]
    MemoryExhausted {
        /// Maximum size of all bodies together.
        total_bytes: usize,
    },
    /// The connection failed, or the body is not valid HTTP.
    #[error("The body is incomplete: {0}")]
    Connection(#[from] hyper::Error),
}

impl ReadBodyError {
    /// Label of the limit that was exceeded; `None` if none was.
    pub fn limit(&self) -> Option<&'static str> {
        match self {
            ReadBodyError::TooLong { .. } => Some("one response"),
            ReadBodyError::MemoryExhausted { .. } => Some("all responses"),
            ReadBodyError::Connection(_) => None,
        }
    }
}

/// Memory for all bodies of requests, or for all bodies of responses.
#[derive(Debug)]
pub struct BodyMemory {
    total_bytes: usize,
    /// Part of the memory that only small bodies may use, so that a few large ones do not keep out
    /// all others.
    small_bytes: usize,
    used_bytes: AtomicUsize,
}

impl BodyMemory {
    /// Creates a memory of `total_bytes`, of which only small bodies may use `small_bytes`.
    pub fn new(total_bytes: usize, small_bytes: usize) -> Self {
        BodyMemory { total_bytes, small_bytes, used_bytes: AtomicUsize::new(0) }
    }

    /// Bytes of all bodies that are being read or passed on.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Largest body that the memory can hold.
    pub fn max_body_bytes(&self) -> usize {
        self.total_bytes - self.small_bytes
    }

    /// Whether a body of this announced length would be taken now.
    pub fn has_room(&self, announced_len: usize) -> bool {
        self.used_bytes() + announced_len <= self.available_bytes(announced_len)
    }

    fn available_bytes(&self, body_len: usize) -> usize {
        if body_len <= SMALL_BODY_BYTES { self.total_bytes } else { self.max_body_bytes() }
    }

    /// Reserves further bytes for a body that then has `body_len` bytes.
    fn reserve(&self, len: usize, body_len: usize) -> Result<(), ReadBodyError> {
        let used = self.used_bytes.fetch_add(len, Ordering::Relaxed) + len;
        if used > self.available_bytes(body_len) {
            self.release(len);
            return Err(ReadBodyError::MemoryExhausted { total_bytes: self.total_bytes });
        }
        Ok(())
    }

    fn release(&self, len: usize) {
        self.used_bytes.fetch_sub(len, Ordering::Relaxed);
    }
}

/// A body that counts towards the memory until it is dropped.
struct CountedBody {
    memory: Arc<BodyMemory>,
    data: Vec<u8>,
    reserved_bytes: usize,
}

impl CountedBody {
    /// Starts a body, of which `announced_len` bytes are reserved at once.
    fn start(memory: &Arc<BodyMemory>, announced_len: usize) -> Result<Self, ReadBodyError> {
        memory.reserve(announced_len, announced_len)?;
        let data = Vec::with_capacity(announced_len);
        Ok(CountedBody { memory: Arc::clone(memory), data, reserved_bytes: announced_len })
    }

    fn append(&mut self, chunk: &[u8], max_bytes: usize) -> Result<(), ReadBodyError> {
        let len = self.data.len() + chunk.len();
        if len > max_bytes {
            return Err(ReadBodyError::TooLong { max_bytes });
        }
        if len > self.reserved_bytes {
            // The buffer grows by a quarter instead of twofold, and its whole capacity counts.
            let grown = self.reserved_bytes + self.reserved_bytes / GROWTH_DIVISOR;
            let capacity = len.max(grown.min(max_bytes));
            self.memory.reserve(capacity - self.reserved_bytes, len)?;
            self.reserved_bytes = capacity;
            self.data.reserve_exact(capacity - self.data.len());
        }
        self.data.extend_from_slice(chunk);
        Ok(())
    }
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.memory.release(self.reserved_bytes);
    }
}

/// Reads a whole body of at most `max_bytes`. Its bytes count towards the memory until the last
/// reference to them is dropped; an announced length counts from the start.
///
/// # Errors
///
/// Fails if a limit is exceeded or the body is incomplete; the connection must not be used again.
pub async fn read_body<B>(
    memory: &Arc<BodyMemory>,
    max_bytes: usize,
    mut incoming: B,
) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let max_bytes = max_bytes.min(memory.max_body_bytes());
    let announced_len = incoming.size_hint().lower();
    let announced_len = usize::try_from(announced_len).unwrap_or(usize::MAX);
    if announced_len > max_bytes {
        return Err(ReadBodyError::TooLong { max_bytes });
    }
    let mut body = CountedBody::start(memory, announced_len)?;
    while let Some(frame) = incoming.frame().await {
        if let Some(chunk) = frame?.data_ref() {
            body.append(chunk, max_bytes)?;
        }
    }
    Ok(Bytes::from_owner(body))
}
