//! A backend server: slots, cold start, drain, shedding, faults, and a load report that may lie.

mod http;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use salvo::server::ServerHandle;

use crate::serve;

/// How the server behaves; may be changed while it runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Version that it says it runs.
    pub version: String,
    /// Requests that it runs at the same time; more are shed with status 503.
    pub slots: u32,
    /// Time that one request takes.
    pub service_time: Duration,
    /// Requests after the start that take `cold_factor` times as long.
    pub cold_requests: u32,
    /// Factor of the service time while cold.
    pub cold_factor: u32,
    /// Every n-th request fails with status 500; 0 for none.
    pub fail_every: u32,
    /// Failures and slowness only while at least this many requests run.
    pub fault_from_in_flight: u32,
    /// The server dies when it runs a request whose body contains this text.
    pub crash_on: Option<String>,
    /// Answers carry the id of another request.
    pub cross_answers: bool,
    /// New work is refused with status 503.
    pub draining: bool,
    /// Load that the report shows instead of the true one.
    pub reported_load: Option<u32>,
    /// Health that the report shows.
    pub reported_healthy: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            version: "v1".to_owned(),
            slots: 3,
            service_time: Duration::from_millis(5),
            cold_requests: 0,
            cold_factor: 1,
            fail_every: 0,
            fault_from_in_flight: 0,
            crash_on: None,
            cross_answers: false,
            draining: false,
            reported_load: None,
            reported_healthy: true,
        }
    }
}

/// What the server has seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Requests that run now.
    pub in_flight: u32,
    /// Most requests that ran at one moment.
    pub most_in_flight: u32,
    /// Requests started.
    pub started: u64,
    /// Requests refused because all slots were taken.
    pub shed: u64,
    /// How often each body was run.
    pub runs: HashMap<String, u32>,
    /// Whether a caller's key reached the server.
    pub key_seen: bool,
}

/// A running backend server.
pub struct Backend {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<State>,
    handle: ServerHandle,
}

struct State {
    behaviour: Mutex<Behaviour>,
    seen: Mutex<Seen>,
    died: tokio::sync::Notify,
}

impl State {
    fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Backend {
    /// Starts a server on any free port.
    pub async fn start(behaviour: Behaviour) -> Backend {
        Backend::start_at(serve::any_port(), behaviour).await
    }

    /// Starts a server at an address.
    pub async fn start_at(address: SocketAddr, behaviour: Behaviour) -> Backend {
        let state = Arc::new(State {
            behaviour: Mutex::new(behaviour),
            seen: Mutex::new(Seen::default()),
            died: tokio::sync::Notify::new(),
        });
        let (address, handle) = serve::start(address, http::router(&state)).await;
        let (dying, to_stop) = (Arc::clone(&state), handle.clone());
        tokio::spawn(async move {
            dying.died.notified().await;
            to_stop.stop_forceful();
        });
        Backend { address, state, handle }
    }

    /// How it behaves, to change while it runs.
    pub fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.state.behaviour()
    }

    /// What it has seen so far.
    pub fn seen(&self) -> Seen {
        self.state.seen().clone()
    }

    /// Dies at once: every connection is cut.
    pub fn kill(&self) {
        self.handle.stop_forceful();
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.handle.stop_forceful();
    }
}
