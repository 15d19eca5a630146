//! Reading of response bodies within limits, so that servers whose responses do not end cannot
//! exhaust the memory of the host.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

/// Reason why a body was not read to its end.
#[derive(Debug, Error)]
pub enum ReadBodyError {
    /// The body is longer than a single response may be.
    #[error(
        "The response has more than {max_bytes} bytes; raise [answers] max_bytes if it is valid."
    )]
    TooLong {
        /// Maximum size of one body.
        max_bytes: usize,
    },
    /// All responses in flight together need too much memory.
    #[error("All responses in flight have more than {total_bytes} bytes together.")]
    MemoryExhausted {
        /// Maximum size of all bodies together.
        total_bytes: usize,
    },
    /// The connection failed, or the body is not valid HTTP.
    #[error("The response is incomplete: {0}")]
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

/// Memory for the bodies of all responses in flight.
#[derive(Debug)]
pub struct BodyMemory {
    max_bytes: usize,
    total_bytes: usize,
    used_bytes: AtomicUsize,
}

impl BodyMemory {
    /// Creates the limits: `max_bytes` for one body, `total_bytes` for all bodies together.
    pub fn new(max_bytes: usize, total_bytes: usize) -> Self {
        BodyMemory { max_bytes, total_bytes, used_bytes: AtomicUsize::new(0) }
    }

    /// Bytes of all bodies that are being read or delivered.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    fn reserve(&self, len: usize) -> Result<(), ReadBodyError> {
        let used = self.used_bytes.fetch_add(len, Ordering::Relaxed) + len;
        if used > self.total_bytes {
            self.release(len);
            return Err(ReadBodyError::MemoryExhausted { total_bytes: self.total_bytes });
        }
        Ok(())
    }

    fn release(&self, len: usize) {
        self.used_bytes.fetch_sub(len, Ordering::Relaxed);
    }
}

/// A body that counts towards the memory limit until it is dropped.
struct CountedBody {
    memory: Arc<BodyMemory>,
    data: Vec<u8>,
}

impl CountedBody {
    fn append(&mut self, chunk: &[u8]) -> Result<(), ReadBodyError> {
        if self.data.len() + chunk.len() > self.memory.max_bytes {
            return Err(ReadBodyError::TooLong { max_bytes: self.memory.max_bytes });
        }
        self.memory.reserve(chunk.len())?;
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
        self.memory.release(self.data.len());
    }
}

/// Reads a whole body. Its bytes count towards the limits until the last reference to them is
/// dropped.
///
/// # Errors
///
/// Fails if a limit is exceeded or the body is incomplete; the connection must not be used again.
pub async fn read_body(
    memory: &Arc<BodyMemory>,
    mut incoming: Incoming,
) -> Result<Bytes, ReadBodyError> {
    if incoming.size_hint().lower() > memory.max_bytes as u64 {
        return Err(ReadBodyError::TooLong { max_bytes: memory.max_bytes });
    }
    let mut body = CountedBody { memory: Arc::clone(memory), data: Vec::new() };
    while let Some(frame) = incoming.frame().await {
        if let Some(chunk) = frame?.data_ref() {
            body.append(chunk)?;
        }
    }
    Ok(Bytes::from_owner(body))
}
