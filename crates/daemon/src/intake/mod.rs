//! Limits on what clients of the ports may use: connections, memory and time.

mod memory;
mod port;
mod transfer;

pub use self::{
    memory::{Memory, MemoryExhausted, Reserved},
    port::{Port, PortConnection, PortPolicy, TrackRequests},
    transfer::{Transfer, TransferTooSlow},
};

use jasminestage_core::connections::{ConnectionLimits, TransferRate};

use crate::options::{LimitOptions, TrafficOptions};

/// Bytes in a megabyte of the settings.
const MEGABYTE: usize = 1_000_000;
/// Part of the memory for bodies of requests. A body of a request that runs at most once is held up to
/// three times: as it was received, in the message to its owner, and in the call to the server.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Part of the memory for responses that clients have not read.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// Part of the memory for frames of other hosts.
const FRAME_MEMORY_DIVISOR: usize = 8;
/// Part of the memory for connections of one port, and the same again for heads that are incomplete.
const CONNECTION_MEMORY_DIVISOR: usize = 8;
/// Memory of an idle connection: a read buffer of 8 KiB, and its task.
const IDLE_CONNECTION_BYTES: usize = 16 * 1024;
/// Sixteenths of the descriptors for connections of callers. Requests need others to servers, so five
/// sixteenths stay for connections to servers, to other hosts and to the store.
const CALLER_DESCRIPTOR_PARTS: usize = 6;
/// Sixteenths of the descriptors for connections of other hosts.
const PEER_DESCRIPTOR_PARTS: usize = 4;
/// Sixteenths of the descriptors for connections of operators.
const ADMIN_DESCRIPTOR_PARTS: usize = 1;
/// Descriptors if the operating system sets no limit.
const UNLIMITED_DESCRIPTORS: usize = 65_536;
/// Overhead of a frame over the body in it, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 256 * 1024;

/// Parts of the memory and of the descriptors of the process.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Bytes of the bodies of requests.
    pub body_bytes: usize,
    /// Bytes of the responses that wait at one port.
    pub response_bytes: usize,
    /// Bytes of the incomplete heads at one port.
    pub head_bytes: usize,
    /// Bytes of frames of other hosts.
    pub frame_bytes: usize,
    /// Connections of callers.
    pub caller_connections: usize,
    /// Connections of other hosts.
    pub peer_connections: usize,
    /// Connections of operators.
    pub admin_connections: usize,
}

impl Budget {
    /// Divides the memory and the descriptors in the settings. The parts for bodies and frames hold at
    /// least two of the largest, so that a single request is served whatever `memory_mb` is.
    pub fn new(limits: &LimitOptions, traffic: &TrafficOptions) -> Budget {
        let memory_bytes = limits.memory_mb * MEGABYTE;
        let descriptors = limits.max_descriptors.unwrap_or(usize::MAX).min(allowed_descriptors());
        let max_connections = memory_bytes / CONNECTION_MEMORY_DIVISOR / IDLE_CONNECTION_BYTES;
        let part = |sixteenths: usize| (descriptors / 16 * sixteenths).min(max_connections).max(1);
        let min_bytes = 2 * (traffic.max_body_bytes + FRAME_OVERHEAD_BYTES);
        Budget {
            body_bytes: (memory_bytes / BODY_MEMORY_DIVISOR).max(min_bytes),
            response_bytes: memory_bytes / RESPONSE_MEMORY_DIVISOR,
            head_bytes: memory_bytes / CONNECTION_MEMORY_DIVISOR,
            frame_bytes: (memory_bytes / FRAME_MEMORY_DIVISOR).max(min_bytes),
            caller_connections: part(CALLER_DESCRIPTOR_PARTS),
            peer_connections: part(PEER_DESCRIPTOR_PARTS),
            admin_connections: part(ADMIN_DESCRIPTOR_PARTS),
        }
    }
}

/// Limits of a port with so many connections.
pub fn connection_limits(
    limits: &LimitOptions,
    budget: &Budget,
    max_connections: usize,
) -> ConnectionLimits {
    ConnectionLimits {
        max_connections,
        max_head_bytes: budget.head_bytes as u64,
        max_unsent_bytes: budget.response_bytes as u64,
        rate: transfer_rate(limits),
    }
}

/// Lowest rate of transfers in the settings.
pub fn transfer_rate(limits: &LimitOptions) -> TransferRate {
    let min_bytes_per_s = limits.min_transfer_rate as u64;
    TransferRate { window: limits.transfer_grace, min_bytes_per_s }
}

/// Descriptors that the operating system allows the process.
fn allowed_descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.map_or(UNLIMITED_DESCRIPTORS, |n| usize::try_from(n).unwrap_or(usize::MAX))
}
