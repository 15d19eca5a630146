//! Parts of a host's descriptors and memory that the connections of each port may use.

/// Fraction of the memory that the connections of callers may use, in addition to the bodies of
/// requests (0.4) and responses (0.25).
const CALLER_MEMORY_FRACTION: f64 = 0.15;
/// Fraction of the memory that connections of other hosts may use, including the copies that wait to be
/// sent to them.
const PEER_MEMORY_FRACTION: f64 = 0.04;
/// Fraction of the memory that the connections of each other port may use.
const OTHER_MEMORY_FRACTION: f64 = 0.01;
/// Descriptors for listeners, timers, threads, the store and messages between hosts.
const OWN_DESCRIPTORS: usize = 32;
/// Smallest number of connections of a port.
pub(super) const MIN_CONNECTIONS: usize = 4;
/// Connections whose socket buffers may be full at the same time in the memory of a port, if the system
/// keeps no more than it was told; it may keep twice as much.
const FULL_CONNECTIONS: usize = 128;
/// Smallest and largest buffer for one direction of a caller's connection. The smaller one still
/// takes 6 MB/s over a distance of 10 ms.
const SOCKET_BUFFER_BYTES: std::ops::RangeInclusive<usize> = 64 * 1024..=256 * 1024;
/// Buffer for one direction of a connection to another port, whose messages are small.
const SMALL_SOCKET_BUFFER_BYTES: usize = 32 * 1024;

/// Fraction of the descriptors that connections to servers may use whatever clients do.
const SERVER_FRACTION: f64 = 0.13;

/// Fraction of the descriptors that connections to servers do not borrow from clients, for connections
/// that were closed and whose tasks have not run yet. Without it, a test counted 174 of 160 descriptors.
const CLOSING_FRACTION: f64 = 0.125;

/// Use of a port, which determines its part of the descriptors. The rest is for connections to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortShare {
    /// Requests of callers.
    Callers,
    /// Look-ups of hosts by callers.
    Directory,
    /// Readiness checks of the platform.
    Readiness,
    /// Copies of the store's items for other hosts.
    Peers,
    /// Metrics.
    Metrics,
}

impl PortShare {
    fn descriptor_fraction(self) -> f64 {
        match self {
            PortShare::Callers => 0.75,
            PortShare::Directory => 0.05,
            PortShare::Peers => 0.04,
            PortShare::Readiness => 0.02,
            PortShare::Metrics => 0.01,
        }
    }
}

/// Limits on the connections of one port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum number of bytes that the connections hold, by an upper bound for each.
    pub max_bytes: usize,
    /// Size of the buffer for one direction of a connection.
    pub socket_buffer_bytes: usize,
}

impl IntakeLimits {
    /// Limits of a port of a host with `memory_bytes` and with `descriptors` that are not reserved for
    /// files.
    pub fn new(share: PortShare, memory_bytes: usize, descriptors: usize) -> Self {
        let usable = descriptors.saturating_sub(OWN_DESCRIPTORS) as f64;
        let max_connections =
            ((usable * share.descriptor_fraction()) as usize).max(MIN_CONNECTIONS);
        let (fraction, buffer) = match share {
            PortShare::Callers => (CALLER_MEMORY_FRACTION, None),
            PortShare::Peers => (PEER_MEMORY_FRACTION, Some(SMALL_SOCKET_BUFFER_BYTES)),
            PortShare::Directory | PortShare::Readiness | PortShare::Metrics => {
                (OTHER_MEMORY_FRACTION, Some(SMALL_SOCKET_BUFFER_BYTES))
            }
        };
        let max_bytes = (memory_bytes as f64 * fraction) as usize;
        let (min, max) = SOCKET_BUFFER_BYTES.into_inner();
        let socket_buffer_bytes =
            buffer.unwrap_or_else(|| (max_bytes / FULL_CONNECTIONS / 2).clamp(min, max));
        IntakeLimits { max_connections, max_bytes, socket_buffer_bytes }
    }
}

/// Open connections of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenConnections {
    /// Connections of clients of all ports.
    pub clients: usize,
    /// Requests that servers are working on.
    pub at_servers: usize,
    /// Idle connections to servers.
    pub idle_to_servers: usize,
}

/// Whether a request may use one more connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerConnection {
    /// It may.
    Granted,
    /// It may after an idle connection to any server has been closed.
    CloseIdleServer,
    /// It may after an idle connection of a caller has been closed; it may not if there is none.
    CloseIdleCaller,
}

/// Decides whether a request may use one more connection to a server. Connections to servers have a
/// part of the descriptors for themselves, and use what clients leave free. Without a limit, the
/// system refuses a descriptor, and the host takes that for a failure of the server.
pub fn grant_server_connection(descriptors: usize, open: &OpenConnections) -> ServerConnection {
    let to_servers = open.at_servers + open.idle_to_servers;
    let usable = descriptors.saturating_sub(OWN_DESCRIPTORS) as f64;
    let usable = (usable * (1.0 - CLOSING_FRACTION)) as usize;
    if to_servers < server_part(descriptors) || open.clients + to_servers < usable {
        ServerConnection::Granted
    } else if open.idle_to_servers > 0 {
        ServerConnection::CloseIdleServer
    } else {
        ServerConnection::CloseIdleCaller
    }
}

/// Number of connections that callers have to do without, because connections to servers use more than
/// their part.
pub fn lent_to_servers(descriptors: usize, open: &OpenConnections) -> usize {
    (open.at_servers + open.idle_to_servers).saturating_sub(server_part(descriptors))
}

fn server_part(descriptors: usize) -> usize {
    let usable = descriptors.saturating_sub(OWN_DESCRIPTORS);
    ((usable as f64 * SERVER_FRACTION) as usize).max(MIN_CONNECTIONS)
}
