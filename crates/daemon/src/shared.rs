//! State shared by the threads of the process.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use jasminestage_core::{
    burn::{AnswerClass, BurnCounters, HostCounts},
    control::PeerMsg,
    event::{Event, Kind},
    host::{HostInfo, Incarnation},
    once::{DedupLimits, IdSecret},
    result::Code,
    time::Instant,
    traffic::{FlightKey, Traffic},
    usage::{Usage, WorkspaceUsage},
    view::View,
};
use jasminestage_wire::{Purpose, WireError};
use slotmap::SecondaryMap;
use tokio::sync::{Notify, mpsc};

use crate::{
    clock,
    front::backend::BackendClient,
    intake::{Budget, Memory},
    log,
    metrics::Metrics,
    options::Options,
    peer::stream::PeerConnections,
};

/// Settings, the published view and the state of the request path.
pub struct Shared {
    /// Settings of the process.
    pub cfg: Options,
    /// Name, failure domain, addresses and incarnation of this host.
    pub own_info: HostInfo,
    /// The published view, which look-ups use.
    pub view: ArcSwap<View>,
    /// Connections to other hosts.
    pub peers: PeerConnections,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Parts of the memory and of the descriptors of the process.
    pub budget: Budget,
    /// Memory for the bodies of requests.
    pub body_memory: Arc<Memory>,
    /// Memory for frames of other hosts.
    pub frame_memory: Arc<Memory>,
    rejection_limiter: log::EventLimiter,
    burn: Mutex<BurnCounters>,
    usage: Mutex<Usage>,
    /// Connections to backend servers.
    pub backend_client: BackendClient,
    /// Secret that authenticates request ids.
    pub id_secret: IdSecret,
    traffic: Mutex<Traffic>,
    parked: Mutex<SecondaryMap<FlightKey, Arc<Notify>>>,
    outgoing: mpsc::Sender<(SocketAddr, PeerMsg)>,
    sequence: AtomicU64,
}

impl Shared {
    /// State of a process that has just started; messages to other hosts go to `outgoing`.
    pub fn new(
        cfg: Options,
        metrics: Arc<Metrics>,
        outgoing: mpsc::Sender<(SocketAddr, PeerMsg)>,
    ) -> Self {
        let own_info = HostInfo {
            name: cfg.name.clone(),
            domain: cfg.domain.clone(),
            caller_address: cfg.caller_address,
            peer_address: cfg.peer_address,
            incarnation: Incarnation(rand::random()),
        };
        let view = Arc::new(View::empty(own_info.clone()));
        let id_secret = IdSecret::new(*cfg.fleet_key.key(Purpose::RequestId))
            .with_old(cfg.fleet_key.old_key(Purpose::RequestId).copied());
        let mut traffic = Traffic::new(Arc::clone(&view));
        traffic.configure_once(id_secret.clone(), DedupLimits::default());
        traffic.set_clock(clock::now(), clock::unix_millis());
        let budget = Budget::new(&cfg.limits, &cfg.traffic);
        Shared {
            budget,
            body_memory: Arc::new(Memory::new(budget.body_bytes)),
            frame_memory: Arc::new(Memory::new(budget.frame_bytes)),
            cfg,
            own_info,
            view: ArcSwap::from(view),
            peers: PeerConnections::default(),
            metrics,
            rejection_limiter: log::EventLimiter::default(),
            burn: Mutex::default(),
            usage: Mutex::default(),
            backend_client: BackendClient::default(),
            id_secret,
            traffic: Mutex::new(traffic),
            parked: Mutex::default(),
            outgoing,
            sequence: AtomicU64::new(1),
        }
    }

    /// Runs `decision` on the state of the request path under its lock, then executes the wake-ups,
    /// messages and events that it produced. The lock is never held across an await.
    pub fn with_traffic<T>(&self, decision: impl FnOnce(&mut Traffic, Instant) -> T) -> T {
        let mut traffic = self.lock_traffic();
        let output = decision(&mut traffic, clock::now());
        let outbox = traffic.take_outbox();
        drop(traffic);
        for flight in outbox.wakes {
            if let Some(wake) = self.wake_signal(flight) {
                wake.notify_one();
            }
        }
        for send in outbox.sends {
            // A message is dropped if the queue is full or closed.
            let _ = self.outgoing.try_send(send);
        }
        for event in &outbox.events {
            log::write(event);
        }
        output
    }

    /// Waits until a parked request is woken or `until` has passed. A wake-up before the call is not
    /// lost.
    pub async fn wait_parked(&self, flight: FlightKey, until: Instant) {
        let Some(wake) = self.wake_signal(flight) else { return };
        let limit = until.saturating_since(clock::now());
        // The request is resumed after a wake-up and after the timeout alike.
        let _ = tokio::time::timeout(limit, wake.notified()).await;
        self.parked.lock().unwrap_or_else(PoisonError::into_inner).remove(flight);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.lock_traffic().in_flight()
    }

    /// Publishes a new view to the request path, the metrics and look-ups.
    pub fn publish(&self, view: Arc<View>) {
        self.with_traffic(|traffic, now| traffic.install(now, Arc::clone(&view)));
        self.metrics.record_view(&view);
        self.burn().retain_declared(&view.declaration);
        self.usage().retain_declared(&view.declaration);
        self.view.store(view);
    }

    /// Counts a response towards the objective of its route.
    pub fn record_answer_class(&self, route: &str, workspace: &str, class: AnswerClass) {
        self.burn().record(clock::now(), route, workspace, class);
    }

    /// Counts of good and bad responses since the start of the process.
    pub fn burn_counts(&self) -> HostCounts {
        let view = self.view.load();
        self.burn().counts(clock::now(), &self.own_info.name, &view.declaration)
    }

    /// Counts a response towards the usage of a workspace's rate.
    pub fn record_usage(&self, workspace: &str, code: Code) {
        self.usage().record(clock::now(), workspace, code);
    }

    /// Usage of the rates of workspaces on this host.
    pub fn usage_rates(&self) -> Vec<WorkspaceUsage> {
        self.usage().per_workspace(clock::now())
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn burn(&self) -> MutexGuard<'_, BurnCounters> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake_signal(&self, flight: FlightKey) -> Option<Arc<Notify>> {
        let mut parked = self.parked.lock().unwrap_or_else(PoisonError::into_inner);
        Some(Arc::clone(parked.entry(flight)?.or_default()))
    }

    fn lock_traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a rejected frame from another host and logs it at a limited rate.
    pub fn report_rejected_frame(&self, from: SocketAddr, e: &WireError) {
        self.metrics.count_rejected_frame();
        let event = Event::new(Kind::MessageRejected, format!("from {from}: {e}"));
        self.rejection_limiter.write(clock::now(), event);
    }

    /// Sequence number of the next datagram of this process.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }
}
