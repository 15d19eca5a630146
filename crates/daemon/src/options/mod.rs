//! Settings of the daemon, resolved from its INI file with defaults.

mod load;

use std::{net::SocketAddr, time::Duration};

use jasminestage_wire::FleetKey;

pub use self::load::{Reference, reference};

/// All settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the host.
    pub name: String,
    /// Failure domain that the host stands in.
    pub domain: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other hosts, UDP and TCP.
    pub peer_address: SocketAddr,
    /// Address to listen at for other hosts, when it differs from the one that they send to.
    pub peer_listen: Option<SocketAddr>,
    /// Address for the operators' supervisor and metrics.
    pub admin_address: SocketAddr,
    /// Secret of the fleet.
    pub fleet_key: FleetKey,
    /// Addresses of other hosts to try first.
    pub seeds: Vec<SocketAddr>,
    /// The platform's services.
    pub platform: PlatformOptions,
    /// Limits on requests.
    pub traffic: TrafficOptions,
    /// Logs.
    pub log: LogOptions,
}

impl Default for Options {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Options {
            name: "host".to_owned(),
            domain: "domain".to_owned(),
            caller_address: any,
            peer_address: any,
            peer_listen: None,
            admin_address: any,
            fleet_key: FleetKey::new(""),
            seeds: Vec::new(),
            platform: PlatformOptions::default(),
            traffic: TrafficOptions::default(),
            log: LogOptions::default(),
        }
    }
}

impl Options {
    /// The address to listen at for other hosts.
    pub fn peer_listen(&self) -> SocketAddr {
        self.peer_listen.unwrap_or(self.peer_address)
    }
}

/// Where the platform's services are.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Base URL of the key-value service.
    pub store: String,
    /// Longest time for one call.
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

/// Limits on requests.
#[derive(Clone, Debug)]
pub struct TrafficOptions {
    /// Threads that serve traffic.
    pub threads: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Longest time for the answers in flight at a graceful stop.
    pub stop_limit: Duration,
    /// Time between leaving the look-ups and closing the door to new requests.
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

/// How logs are written.
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
