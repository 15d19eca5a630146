//! The platform: a key-value service with compare-and-swap, leases and watches, and a list of hosts.

mod http;
mod kv;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use salvo::server::ServerHandle;

pub use self::kv::Store;
use crate::serve;

/// Faults and counters of the service.
#[derive(Clone, Debug, Default)]
pub struct Switches {
    /// No call is answered.
    pub down: bool,
    /// Time added to each call.
    pub delay: Duration,
    /// Answers of this many coming writes are lost after the write took effect.
    pub lose_answers: u32,
    /// Only answers of writes to keys that start with this are lost.
    pub lose_prefix: String,
    /// Calls counted so far; a waiting watch counts as one.
    pub reads: u64,
    /// Writes counted so far.
    pub writes: u64,
    /// Watches that wait now.
    pub watches: u64,
    /// The hosts that the lagging list shows.
    pub hosts: Vec<ListedHost>,
}

/// A host in the platform's list.
#[derive(Clone, Debug)]
pub struct ListedHost {
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// A running platform.
pub struct Platform {
    /// Address of the service.
    pub address: SocketAddr,
    state: Arc<State>,
    handle: ServerHandle,
}

#[derive(Default)]
struct State {
    store: Mutex<Store>,
    switches: Mutex<Switches>,
    changed: tokio::sync::Notify,
}

impl State {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn switches(&self) -> MutexGuard<'_, Switches> {
        self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Platform {
    /// Starts an empty platform on any free port.
    pub async fn start() -> Platform {
        Platform::start_at(serve::any_port()).await
    }

    /// Starts an empty platform at an address.
    pub async fn start_at(address: SocketAddr) -> Platform {
        let state = Arc::new(State::default());
        let (address, handle) = serve::start(address, http::router(&state)).await;
        Platform { address, state, handle }
    }

    /// Base URL of the service.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Faults and counters, to read and to set.
    pub fn switches(&self) -> MutexGuard<'_, Switches> {
        self.state.switches()
    }

    /// Takes the service down: open calls and watches are cut, new ones fail.
    pub fn take_down(&self) {
        self.switches().down = true;
        self.state.changed.notify_waiters();
    }

    /// Brings the service back.
    pub fn bring_back(&self) {
        self.switches().down = false;
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.handle.stop_forceful();
    }
}
