//! Settings of the daemon from its INI file, with defaults.

mod load;

use std::{net::SocketAddr, time::Duration};

use jasminestage_wire::FleetKey;

pub use self::load::{SettingReference, setting_reference};

/// All settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other hosts, UDP and TCP.
    pub peer_address: SocketAddr,
    /// Listen address for other hosts, if it differs from the address that they send to.
    pub peer_listen: Option<SocketAddr>,
    /// Address for operators: health checks, status and metrics.
    pub admin_address: SocketAddr,
    /// Keys derived from the secrets of the fleet.
    pub fleet_key: FleetKey,
    /// Addresses of other hosts to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Settings of the platform's services.
    pub platform: PlatformOptions,
    /// Settings of the request path.
    pub traffic: TrafficOptions,
    /// Limits that protect the process from misbehaving clients.
    pub limits: LimitOptions,
    /// Settings of the log output.
    pub log: LogOptions,
}

impl Default for Options {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Options {
            name: "host".to_owned(),
            domain: "domain".to_owned(),
            caller_address: loopback,
            peer_address: loopback,
            peer_listen: None,
            admin_address: loopback,
            fleet_key: FleetKey::new(""),
            seeds: Vec::new(),
            platform: PlatformOptions::default(),
            traffic: TrafficOptions::default(),
            limits: LimitOptions::default(),
            log: LogOptions::default(),
        }
    }
}

impl Options {
    /// Listen address for other hosts.
    pub fn peer_listen(&self) -> SocketAddr {
        self.peer_listen.unwrap_or(self.peer_address)
    }
}

/// Settings of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Base URL of the key-value service.
    pub store: String,
    /// Timeout of one call.
    pub timeout: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        PlatformOptions {
            store: "http://127.0.0.1:2379".to_owned(),
            timeout: Duration::from_secs(1),
        }
    }
}

/// Settings of the request path.
#[derive(Clone, Debug)]
pub struct TrafficOptions {
    /// Threads that serve traffic.
    pub threads: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to wait for requests in flight at a graceful stop.
    pub stop_limit: Duration,
    /// Time between the withdrawal from look-up answers and the refusal of new requests.
    pub stop_delay: Duration,
}

impl Default for TrafficOptions {
    fn default() -> Self {
        TrafficOptions {
            threads: 2,
            max_body_bytes: 1024 * 1024,
            stop_limit: Duration::from_secs(30),
            stop_delay: Duration::from_secs(6),
        }
    }
}

/// Limits that protect the process from misbehaving clients.
#[derive(Clone, Debug)]
pub struct LimitOptions {
    /// Memory that the process may use, in MB; parts of it are for bodies, responses and frames.
    pub memory_mb: usize,
    /// Descriptors that the process may use, if fewer than the operating system allows.
    pub max_descriptors: Option<usize>,
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest time for the head of a request, also for the next one on an idle connection.
    pub header_timeout: Duration,
    /// Time for a body, response or frame before the lowest transfer rate applies.
    pub transfer_grace: Duration,
    /// Lowest transfer rate of a body, response or frame, in bytes per second.
    pub min_transfer_rate: usize,
}

impl Default for LimitOptions {
    fn default() -> Self {
        LimitOptions {
            memory_mb: 1024,
            max_descriptors: None,
            max_header_bytes: 64 * 1024,
            header_timeout: Duration::from_secs(30),
            transfer_grace: Duration::from_secs(30),
            min_transfer_rate: 1000,
        }
    }
}

/// Settings of the log output.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Whether each line is a JSON object.
    pub json: bool,
    /// Filter in the syntax of `tracing-subscriber`.
    pub filter: String,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions { json: false, filter: "info".to_owned() }
    }
}
