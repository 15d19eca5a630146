//! What the threads of one process share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use jasminestage_core::{
    burn::{Burn, HostCounts, Verdict},
    control::PeerMsg,
    event::{Event, Kind},
    host::{HostInfo, Incarnation},
    once::{DedupLimits, IdSecret},
    result::Code,
    time::Instant,
    traffic::{FlightKey, Traffic},
    usage::{Spent, Usage},
    view::View,
};
use jasminestage_wire::{Purpose, WireError};
use slotmap::SecondaryMap;
use tokio::sync::{Notify, mpsc};

use crate::{
    clock, front::backend::Backends, log, metrics::Metrics, options::Options, peer::stream::Peers,
};

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
    /// Metrics.
    pub metrics: Arc<Metrics>,
    rejections: log::Limiter,
    burn: Mutex<Burn>,
    usage: Mutex<Usage>,
    /// Connections to backend servers.
    pub backends: Backends,
    /// Secret that request ids are authenticated with.
    pub id_secret: IdSecret,
    traffic: Mutex<Traffic>,
    parked: Mutex<SecondaryMap<FlightKey, Arc<Notify>>>,
    sends: mpsc::Sender<(SocketAddr, PeerMsg)>,
    sequence: AtomicU64,
}

impl Shared {
    /// The state of a process that has just started; messages to other hosts go to `sends`.
    pub fn new(
        cfg: Options,
        metrics: Arc<Metrics>,
        sends: mpsc::Sender<(SocketAddr, PeerMsg)>,
    ) -> Self {
        let me = HostInfo {
            name: cfg.name.clone(),
            domain: cfg.domain.clone(),
            caller_address: cfg.caller_address,
            peer_address: cfg.peer_address,
            incarnation: Incarnation(rand::random()),
        };
        let view = Arc::new(View::empty(me.clone()));
        let id_secret = IdSecret::new(*cfg.fleet_key.key(Purpose::RequestId))
            .with_old(cfg.fleet_key.old_key(Purpose::RequestId).copied());
        let mut traffic = Traffic::new(Arc::clone(&view));
        traffic.configure_once(id_secret.clone(), DedupLimits::default());
        traffic.set_clock(clock::now(), clock::unix_millis());
        Shared {
            cfg,
            me,
            view: ArcSwap::from(view),
            peers: Peers::default(),
            metrics,
            rejections: log::Limiter::default(),
            burn: Mutex::default(),
            usage: Mutex::default(),
            backends: Backends::default(),
            id_secret,
            traffic: Mutex::new(traffic),
            parked: Mutex::default(),
            sends,
            sequence: AtomicU64::new(1),
        }
    }

    /// Lets the request path decide, under its lock and never across a wait, and carries out what
    /// it wants done besides.
    pub fn decide<T>(&self, decision: impl FnOnce(&mut Traffic, Instant) -> T) -> T {
        let mut traffic = self.lock();
        let decided = decision(&mut traffic, clock::now());
        let outbox = traffic.take_outbox();
        drop(traffic);
        for flight in outbox.wakes {
            if let Some(woken) = self.parked_entry(flight) {
                woken.notify_one();
            }
        }
        for send in outbox.sends {
            // A message that finds the queue full or closed counts as lost.
            let _ = self.sends.try_send(send);
        }
        for event in &outbox.events {
            log::write(event);
        }
        decided
    }

    /// Waits until a parked flight is woken or its time has come. A wake that came first counts.
    pub async fn parked(&self, flight: FlightKey, until: Instant) {
        let Some(woken) = self.parked_entry(flight) else { return };
        let limit = until.saturating_since(clock::now());
        // Whether it was woken or its time has come, the flight is resumed.
        let _ = tokio::time::timeout(limit, woken.notified()).await;
        self.parked.lock().unwrap_or_else(PoisonError::into_inner).remove(flight);
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight()
    }

    /// Takes over a new view.
    pub fn publish(&self, view: Arc<View>) {
        self.decide(|traffic, now| traffic.install(now, Arc::clone(&view)));
        self.metrics.publish(&view);
        self.burn().install(&view.world);
        self.usage().install(&view.world);
        self.view.store(view);
    }

    /// Counts an answer towards the objective of its route.
    pub fn judge(&self, route: &str, workspace: &str, verdict: Verdict) {
        self.burn().record(clock::now(), route, workspace, verdict);
    }

    /// Counts of good and bad answers since the start of the process.
    pub fn burn_counts(&self) -> HostCounts {
        let view = self.view.load();
        self.burn().counts(clock::now(), &self.me.name, &view.world)
    }

    /// Counts an answer towards what a workspace spends of its rate.
    pub fn spend(&self, workspace: &str, code: Code) {
        self.usage().record(clock::now(), workspace, code);
    }

    /// What workspaces spend of their rates on this host.
    pub fn spent(&self) -> Vec<Spent> {
        self.usage().spent(clock::now())
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn burn(&self) -> MutexGuard<'_, Burn> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn parked_entry(&self, flight: FlightKey) -> Option<Arc<Notify>> {
        let mut parked = self.parked.lock().unwrap_or_else(PoisonError::into_inner);
        Some(Arc::clone(parked.entry(flight)?.or_default()))
    }

    fn lock(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a frame of another host that was rejected and logs it at a limited rate.
    pub fn reject(&self, from: SocketAddr, e: &WireError) {
        self.metrics.rejected();
        let event = Event::new(Kind::MessageRejected, format!("from {from}: {e}"));
        self.rejections.write(clock::now(), event);
    }

    /// Number of the next frame that this process seals.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }
}
