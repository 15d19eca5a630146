//! A simulated backend server with limited concurrency, slow start, draining, faults and a load
//! report that can be false.

mod http;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use salvo::server::ServerHandle;

use crate::serve;

/// Behaviour of a server; can be changed while it runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Version that responses name.
    pub version: String,
    /// Maximum number of concurrent requests; further ones are refused with status 503.
    pub slots: u32,
    /// Execution time of a request.
    pub service_time: Duration,
    /// Number of first requests that take `cold_start_factor` times as long.
    pub cold_start_requests: u32,
    /// Factor of the service time of the first `cold_start_requests` requests.
    pub cold_start_factor: u32,
    /// Every n-th request fails with status 500; 0 disables failures.
    pub fail_every: u32,
    /// `fail_every` applies only while at least this many requests are in flight.
    pub fault_min_in_flight: u32,
    /// The server crashes when it executes a request whose body contains this text.
    pub crash_on: Option<String>,
    /// Responses carry the id of another request.
    pub wrong_request_id: bool,
    /// New requests are refused with status 503.
    pub draining: bool,
    /// Load to report in place of the number of requests in flight.
    pub reported_load: Option<u32>,
    /// Whether the health check succeeds.
    pub reported_healthy: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            version: "v1".to_owned(),
            slots: 3,
            service_time: Duration::from_millis(5),
            cold_start_requests: 0,
            cold_start_factor: 1,
            fail_every: 0,
            fault_min_in_flight: 0,
            crash_on: None,
            wrong_request_id: false,
            draining: false,
            reported_load: None,
            reported_healthy: true,
        }
    }
}

/// Statistics of a server since its start.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests in flight.
    pub in_flight: u32,
    /// Highest number of requests in flight at the same time.
    pub max_in_flight: u32,
    /// Requests that were started.
    pub started: u64,
    /// Requests refused because all slots were in use or the server was draining.
    pub shed: u64,
    /// Number of executions by request body.
    pub executions: HashMap<String, u32>,
    /// Whether any request carried an `Authorization` header.
    pub received_authorization: bool,
}

/// A running backend server.
pub struct Backend {
    /// Address that the server listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    handle: ServerHandle,
}

struct State {
    behaviour: Mutex<Behaviour>,
    stats: Mutex<Stats>,
    crashed: tokio::sync::Notify,
}

impl State {
    fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stats(&self) -> MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Backend {
    /// Starts a server on a free loopback port.
    pub async fn start(behaviour: Behaviour) -> Backend {
        Backend::start_at(serve::loopback_any_port(), behaviour).await
    }

    /// Starts a server on `address`.
    pub async fn start_at(address: SocketAddr, behaviour: Behaviour) -> Backend {
        let state = Arc::new(State {
            behaviour: Mutex::new(behaviour),
            stats: Mutex::new(Stats::default()),
            crashed: tokio::sync::Notify::new(),
        });
        let (address, handle) = serve::start(address, http::router(&state)).await;
        let (state_to_watch, handle_to_stop) = (Arc::clone(&state), handle.clone());
        tokio::spawn(async move {
            state_to_watch.crashed.notified().await;
            handle_to_stop.stop_forceful();
        });
        Backend { address, state, handle }
    }

    /// Locks the behaviour, to read or change it.
    pub fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.state.behaviour()
    }

    /// Returns a copy of the statistics.
    pub fn stats(&self) -> Stats {
        self.state.stats().clone()
    }

    /// Stops the server at once and closes every connection.
    pub fn kill(&self) {
        self.handle.stop_forceful();
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.handle.stop_forceful();
    }
}
