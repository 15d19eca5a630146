//! Memory for data of clients.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use thiserror::Error;

/// Size up to which data counts as small.
const SMALL_BYTES: usize = 64 * 1024;
/// Part of the memory that only small data may use, so that a few large bodies do not keep out all
/// others.
const SMALL_DIVISOR: usize = 4;

/// All data of clients needs too much memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("The data of clients needs more than {total_bytes} bytes together.")]
pub struct MemoryExhausted {
    /// Bytes that all data together may use.
    pub total_bytes: usize,
}

/// A limited memory for data of clients.
#[derive(Debug)]
pub struct Memory {
    total_bytes: usize,
    used_bytes: AtomicUsize,
}

impl Memory {
    /// A memory of `total_bytes`.
    pub fn new(total_bytes: usize) -> Self {
        Memory { total_bytes, used_bytes: AtomicUsize::new(0) }
    }

    /// Bytes that are in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Reserves `added` bytes for data that then has `size` bytes.
    fn reserve(&self, added: usize, size: usize) -> Result<(), MemoryExhausted> {
        let total_bytes = self.total_bytes;
        let reserved_for_small = if size <= SMALL_BYTES { 0 } else { total_bytes / SMALL_DIVISOR };
        let used = self.used_bytes.fetch_add(added, Ordering::Relaxed) + added;
        if used > total_bytes - reserved_for_small {
            self.release(added);
            return Err(MemoryExhausted { total_bytes });
        }
        Ok(())
    }

    fn release(&self, bytes: usize) {
        self.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Data that counts towards a memory until it is dropped.
#[derive(Debug)]
pub struct Reserved {
    memory: Arc<Memory>,
    data: Vec<u8>,
    reserved_bytes: usize,
}

impl Reserved {
    /// Starts empty data.
    pub fn new(memory: &Arc<Memory>) -> Self {
        Reserved { memory: Arc::clone(memory), data: Vec::new(), reserved_bytes: 0 }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Appends bytes. The space doubles up to `max_bytes`, so that a false length reserves nothing.
    pub fn append(&mut self, part: &[u8], max_bytes: usize) -> Result<(), MemoryExhausted> {
        let len = self.data.len() + part.len();
        if len > self.reserved_bytes {
            let size = len.max((2 * self.reserved_bytes).min(max_bytes));
            self.memory.reserve(size - self.reserved_bytes, size)?;
            self.reserved_bytes = size;
            self.data.reserve_exact(size - self.data.len());
        }
        self.data.extend_from_slice(part);
        Ok(())
    }
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.memory.release(self.reserved_bytes);
    }
}
