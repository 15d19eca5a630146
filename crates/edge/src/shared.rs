//! State that the threads of one process share.

use std::{
    path::PathBuf,
    sync::{Arc, Mutex, OnceLock, PoisonError},
};

use arc_swap::ArcSwap;
use jasminestage_core::{
    host::Incarnation,
    steer::{bounds::Bounds, digest::Announcement, steering::Steering, view::View},
    time::Instant,
};
use jasminestage_net::clock;
use tokio::sync::watch;

use crate::{
    body::BodyMemory, intake::Ports, log::LineLimiter, metrics::Metrics, options::Options,
};

/// Phase of the process, from normal operation to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Callers are served.
    Serving,
    /// Connections are still accepted, but each is closed with the last response in flight, and the
    /// directories of all hosts no longer list this host.
    Draining,
    /// No new connection is accepted; requests in flight are finished.
    Closing,
    /// The control thread ends.
    Ended,
}

/// Settings, the published view and the state of the request path.
pub struct Shared {
    /// Settings of the process.
    pub cfg: Options,
    /// Path of the settings file.
    pub settings_path: PathBuf,
    /// Announcement of this host.
    pub announcement: Announcement,
    /// Newest published view.
    pub view: ArcSwap<View>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Memory for the bodies of callers' requests.
    pub request_memory: Arc<BodyMemory>,
    /// Connections of clients.
    pub ports: Ports,
    /// Limit on the log lines about requests.
    pub request_lines: LineLimiter,
    phase: watch::Sender<Phase>,
    /// Time by which a stopping host answers all requests.
    last_response_at: OnceLock<Instant>,
    bounds: watch::Sender<Bounds>,
    steering: Mutex<Steering>,
}

impl Shared {
    /// Creates the state of a process that has just started.
    pub fn new(cfg: Options, settings_path: PathBuf, metrics: Metrics) -> Self {
        let announcement = Announcement {
            incarnation: Incarnation(rand::random()),
            name: cfg.name.clone(),
            zone: cfg.domain.clone(),
            caller_address: cfg.callers,
            peer_address: cfg.peers,
            millicores: cfg.millicores,
        };
        let bounds = watch::Sender::new(cfg.bounds.clone());
        let view =
            Arc::new(View::empty(cfg.bounds.clone(), announcement.clone(), cfg.domains.clone()));
        let request_memory = BodyMemory::new(cfg.request_memory(), cfg.small_request_memory());
        let ports = Ports::new(&cfg);
        Shared {
            cfg,
            settings_path,
            announcement,
            view: ArcSwap::from(Arc::clone(&view)),
            metrics,
            request_memory: Arc::new(request_memory),
            ports,
            request_lines: LineLimiter::default(),
            phase: watch::Sender::new(Phase::Serving),
            last_response_at: OnceLock::new(),
            bounds,
            steering: Mutex::new(Steering::starting_at(clock::now(), view)),
        }
    }

    /// Runs `decision` on the state of the request path under its lock. `decision` is synchronous,
    /// so the lock is never held across an await.
    pub fn with_steering<T>(&self, decision: impl FnOnce(&mut Steering, Instant) -> T) -> T {
        let mut steering = self.steering.lock().unwrap_or_else(PoisonError::into_inner);
        decision(&mut steering, clock::now())
    }

    /// Publishes a new view to the request path and the endpoints.
    pub fn publish(&self, view: Arc<View>) {
        self.metrics.record_view(view.catalog.version, view.host_count(), view.servers.len());
        let records = self.with_steering(|steering, now| {
            steering.install_view(now, Arc::clone(&view));
            steering.server_record_count()
        });
        self.metrics.record_server_records(records);
        self.view.store(view);
    }

    /// Replaces the bounds of the deployment; returns whether they have changed.
    pub fn set_bounds(&self, bounds: Bounds) -> bool {
        self.bounds.send_if_modified(|current| {
            let changed = *current != bounds;
            *current = bounds;
            changed
        })
    }

    /// Returns a receiver of the bounds of the deployment.
    pub fn bounds(&self) -> watch::Receiver<Bounds> {
        self.bounds.subscribe()
    }

    /// Returns a receiver of the phase of the process.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() >= Phase::Draining
    }

    /// Advances to a later phase; ignored if that phase has already been reached.
    pub fn advance_to(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let advances = phase > *current;
            *current = phase.max(*current);
            advances
        });
    }

    /// Time by which this host has to answer the requests that it has accepted; the end of the clock
    /// if it is not stopping.
    pub fn last_response_at(&self) -> Instant {
        self.last_response_at.get().copied().unwrap_or(Instant::MAX)
    }

    /// Sets the time by which all requests must be answered; only the first value counts.
    pub fn set_last_response_at(&self, at: Instant) {
        self.last_response_at.get_or_init(|| at);
    }

    /// Signals the control thread to end.
    pub fn stop_control(&self) {
        self.advance_to(Phase::Ended);
    }
}
