//! What the threads of one process share.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use jasminestage_core::{
    host::{HostInfo, Incarnation},
    traffic::Traffic,
    view::View,
};

use crate::{clock, options::Options, peer::stream::Peers};

/// Settings, the published view and the state of the request path.
pub struct Shared {
    /// Settings of the process.
    pub cfg: Options,
    /// What this host says of itself.
    pub me: HostInfo,
    /// The view that look-ups answer from.
    pub view: ArcSwap<View>,
    /// Connections to other hosts.
    pub peers: Peers,
    traffic: Mutex<Traffic>,
    sequence: AtomicU64,
}

impl Shared {
    /// The state of a process that has just started.
    pub fn new(cfg: Options) -> Self {
        let me = HostInfo {
            name: cfg.name.clone(),
            domain: cfg.domain.clone(),
            caller_address: cfg.caller_address,
            peer_address: cfg.peer_address,
            incarnation: Incarnation(rand::random()),
        };
        let view = Arc::new(View::empty(me.clone()));
        Shared {
            cfg,
            me,
            view: ArcSwap::from(Arc::clone(&view)),
            peers: Peers::default(),
            traffic: Mutex::new(Traffic::new(view)),
            sequence: AtomicU64::new(1),
        }
    }

    /// State of the request path; held for one decision at a time, never across a wait.
    pub fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over a new view.
    pub fn publish(&self, view: Arc<View>) {
        self.traffic().install(clock::now(), Arc::clone(&view));
        self.view.store(view);
    }

    /// Number of the next frame that this process seals.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }
}
