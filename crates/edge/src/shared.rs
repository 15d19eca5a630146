//! What the threads of one process share.

use std::{
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
};

use arc_swap::ArcSwap;
use jasminestage_core::{
    host::Incarnation,
    steer::{bounds::Bounds, digest::Announcement, steering::Steering, view::View},
    time::Instant,
};
use jasminestage_net::clock;
use tokio::sync::watch;

use crate::{metrics::Metrics, options::Options};

/// How far the process is in stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Callers are served.
    Serving,
    /// Callers are served but sent elsewhere.
    Leaving,
    /// No connection is accepted; answers in flight are finished.
    Closing,
    /// Everything ends.
    Ended,
}

/// Settings, the published view and the state of the request path.
pub struct Shared {
    /// Settings of the process.
    pub cfg: Options,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// What this host says of itself.
    pub me: Announcement,
    /// The view that the directory answers from.
    pub view: ArcSwap<View>,
    /// Metrics.
    pub metrics: Metrics,
    phase: watch::Sender<Phase>,
    terms: watch::Sender<Bounds>,
    steering: Mutex<Steering>,
}

impl Shared {
    /// The state of a process that has just started.
    pub fn new(cfg: Options, settings: PathBuf, metrics: Metrics) -> Self {
        let me = Announcement {
            incarnation: Incarnation(rand::random()),
            name: cfg.name.clone(),
            zone: cfg.domain.clone(),
            caller_address: cfg.callers,
            peer_address: cfg.peers,
            millicores: cfg.millicores,
        };
        let terms = watch::Sender::new(cfg.terms.clone());
        let view = Arc::new(View::empty(cfg.terms.clone(), me.clone(), cfg.domains.clone()));
        Shared {
            cfg,
            settings,
            me,
            view: ArcSwap::from(Arc::clone(&view)),
            metrics,
            phase: watch::Sender::new(Phase::Serving),
            terms,
            steering: Mutex::new(Steering::new(view)),
        }
    }

    /// Lets the request path decide, under its lock and never across a wait.
    pub fn decide<T>(&self, decision: impl FnOnce(&mut Steering, Instant) -> T) -> T {
        let mut steering = self.steering.lock().unwrap_or_else(PoisonError::into_inner);
        decision(&mut steering, clock::now())
    }

    /// Takes over a new view.
    pub fn publish(&self, view: Arc<View>) {
        self.metrics.publish(view.catalog.version, view.host_count(), view.servers.len());
        self.decide(|steering, now| steering.install_view(now, Arc::clone(&view)));
        self.view.store(view);
    }

    /// Takes over changed bounds; says whether they differ from the ones in use.
    pub fn change_terms(&self, terms: Bounds) -> bool {
        self.terms.send_if_modified(|current| {
            let changed = *current != terms;
            *current = terms;
            changed
        })
    }

    /// Follows the bounds of the deployment.
    pub fn terms(&self) -> watch::Receiver<Bounds> {
        self.terms.subscribe()
    }

    /// Follows the phase of the process.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves on to a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let advances = phase > *current;
            *current = phase.max(*current);
            advances
        });
    }

    /// Lets the control thread end.
    pub fn finish_control(&self) {
        self.enter(Phase::Ended);
    }
}
