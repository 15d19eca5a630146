//! The state of the control thread.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jasminestage_core::{
    steer::{
        bounds::Bounds,
        control::{Change, ControlState, DueRecord, StoreStatus},
        deferred_removals::{DeferredRemovals, KeyedChange},
        digest::{Digest, RegionSummary, StoreProgress},
        mirror::{ItemChange, Mirror, Snapshot},
        server_changes::{ServerChangeLog, ServerUpdate},
    },
    time::Instant,
};
use jasminestage_net::clock;
use jasminestage_platform::entries;

use crate::shared::Shared;

/// Time after the last read of this host from which on a read of another one shows that the store
/// was there.
const OUTAGE_MARGIN: Duration = Duration::from_millis(800);

/// Which copy of the store's items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// What operators wrote.
    Orders,
    /// Announcements of servers.
    Servers,
    /// Announcements of hosts and starts of rollouts.
    Own,
    /// States of rollouts.
    States,
}

/// Copies of the store's items and what follows from them.
pub struct Beliefs {
    /// What the threads share.
    pub shared: Arc<Shared>,
    control: RefCell<ControlState>,
    orders: RefCell<Mirror>,
    servers: RefCell<Mirror>,
    own: RefCell<Mirror>,
    states: RefCell<Mirror>,
    lapses: RefCell<DeferredRemovals>,
    news: RefCell<ServerChangeLog>,
    reaches_store: Cell<bool>,
    /// When the store last answered this host.
    store_read: Cell<Option<Instant>>,
    /// When it last answered before it failed, while it fails.
    store_lost: Cell<Option<Instant>>,
}

impl Beliefs {
    /// The state of a process that has just started.
    pub fn new(shared: Arc<Shared>) -> Self {
        let cfg = &shared.cfg;
        let control = ControlState::new(cfg.terms.clone(), shared.me.clone(), cfg.domains.clone());
        Beliefs {
            control: RefCell::new(control),
            orders: RefCell::default(),
            servers: RefCell::default(),
            own: RefCell::default(),
            states: RefCell::default(),
            lapses: RefCell::default(),
            news: RefCell::default(),
            reaches_store: Cell::new(true),
            store_read: Cell::new(None),
            store_lost: Cell::new(None),
            shared,
        }
    }

    fn mirror(&self, kind: Kind) -> &RefCell<Mirror> {
        match kind {
            Kind::Orders => &self.orders,
            Kind::Servers => &self.servers,
            Kind::Own => &self.own,
            Kind::States => &self.states,
        }
    }

    /// Revision up to which a copy is complete.
    pub fn at(&self, kind: Kind) -> u64 {
        self.mirror(kind).borrow().revision()
    }

    /// Revision of the newest change that a copy has seen.
    pub fn changed(&self, kind: Kind) -> u64 {
        self.mirror(kind).borrow().last_change()
    }

    /// A copy as another host can take it over.
    pub fn snapshot(&self, kind: Kind) -> Snapshot {
        self.mirror(kind).borrow().snapshot()
    }

    /// Takes over changes from the store.
    pub fn apply(&self, kind: Kind, changes: Vec<ItemChange>, at: u64) {
        let fresh = self.mirror(kind).borrow_mut().apply(changes, at);
        self.follow(kind, &fresh);
    }

    /// Takes over a whole copy from the store or another host.
    pub fn replace(&self, kind: Kind, snapshot: Snapshot) {
        let fresh = self.mirror(kind).borrow_mut().replace(snapshot);
        self.follow(kind, &fresh);
    }

    fn follow(&self, kind: Kind, fresh: &[ItemChange]) {
        if fresh.is_empty() {
            return;
        }
        let mut changes = entries::decode_all(fresh);
        if kind == Kind::Servers {
            let control = self.control.borrow();
            let known = &control.view().servers;
            self.news.borrow_mut().record(known, &changes);
            self.lapses.borrow_mut().defer(clock::now(), known, &mut changes);
        }
        self.believe(changes);
        self.publish();
    }

    /// Follows decoded changes.
    fn believe(&self, changes: Vec<KeyedChange>) {
        let changes: Vec<Change> = changes.into_iter().map(|(_, _, change)| change).collect();
        self.log(&changes);
        self.control.borrow_mut().apply(clock::now(), clock::unix_millis(), changes);
    }

    fn release_removals(&self, now: Instant) {
        let gone = self.lapses.borrow_mut().take_due(now);
        if !gone.is_empty() {
            self.believe(gone);
        }
    }

    /// Notes whether the store answered a read.
    pub fn store_answered(&self, is_ok: bool) {
        self.reaches_store.set(is_ok);
        if !is_ok {
            let lost = self.store_lost.get().or(self.store_read.get());
            self.store_lost.set(lost);
            return;
        }
        let now = clock::now();
        self.store_read.set(Some(now));
        let Some(lost) = self.store_lost.take() else { return };
        let silence = now.saturating_since(lost);
        let others_read = self.control.borrow().others_read_store_since(lost + OUTAGE_MARGIN);
        self.lapses.borrow_mut().store_recovered(now, silence, others_read);
    }

    /// Time for which removals of servers are still held back.
    pub fn holds_removals_for(&self) -> Duration {
        self.lapses.borrow().remaining_delay(clock::now())
    }

    /// Holds removals of servers back as another host does.
    pub fn hold_removals_for(&self, span: Duration) {
        self.lapses.borrow_mut().extend_delay(clock::now(), span);
    }

    /// Notes that this host begins to read the store after others did.
    pub fn takes_over_reading(&self) {
        self.store_read.set(Some(clock::now()));
        self.store_lost.set(None);
    }

    /// Whether this host reads the store for the others of its region. A host that the store does
    /// not serve keeps trying.
    pub fn is_reader(&self) -> bool {
        self.control.borrow().is_store_reader(clock::now(), self.reaches_store.get())
    }

    /// What another host lacks of the servers.
    pub fn server_update(&self, after: u64) -> (ServerUpdate, u64) {
        let news = self.news.borrow();
        (news.update_since(after, &self.servers.borrow()), news.last_revision())
    }

    /// Takes over a whole copy of the servers from another host.
    pub fn replace_servers(&self, snapshot: Snapshot, news: u64) {
        self.replace(Kind::Servers, snapshot);
        self.news.borrow_mut().reset(news);
    }

    /// Notes that the news of another host were taken up to a revision.
    pub fn follow_news(&self, at: u64) {
        self.news.borrow_mut().advance_to(at);
    }

    /// Revision of the newest change of a server that matters.
    pub fn news(&self) -> u64 {
        self.news.borrow().last_revision()
    }

    fn log(&self, changes: &[Change]) {
        let control = self.control.borrow();
        for change in changes {
            match change {
                Change::Configured(catalog) => {
                    let (version, before) = (catalog.version, control.view().catalog.version);
                    tracing::info!(event = 330, version, before, "A configuration is in force.");
                }
                Change::RolloutOrdered(order) => tracing::info!(
                    event = 331,
                    service = order.service,
                    version = order.version,
                    revision = order.revision,
                    "A rollout was ordered."
                ),
                Change::RolloutWithdrawn(service) => {
                    tracing::info!(event = 332, service, "A rollout order was taken back.");
                }
                Change::RolloutRecorded(record) => tracing::info!(
                    event = 333,
                    service = record.service,
                    version = record.version,
                    state = ?record.state,
                    "The state of a rollout was recorded."
                ),
                Change::Evacuated(domain) => {
                    tracing::info!(event = 334, domain, "A failure domain is evacuated.");
                }
                Change::Reopened(domain) => {
                    tracing::info!(event = 335, domain, "A failure domain is open again.");
                }
                Change::ServerAnnounced(entry) => {
                    let known = control.view().servers.get(&entry.id);
                    let is_news = known.is_none_or(|k| {
                        k.draining != entry.draining || k.started_unix_ms != entry.started_unix_ms
                    });
                    if is_news {
                        tracing::info!(
                            event = 336,
                            server = entry.id,
                            service = entry.service,
                            draining = entry.draining,
                            "A server announced itself."
                        );
                    }
                }
                Change::ServerRemoved(server) => {
                    tracing::info!(event = 337, server, "A server is gone.");
                }
                Change::HostAnnounced(host) => {
                    tracing::info!(event = 338, host = host.name, "A host announced itself.");
                }
                Change::HostRemoved(host) => {
                    tracing::info!(event = 339, host, "The store no longer lists a host.");
                }
                Change::RolloutStarted(_) => {}
            }
        }
    }

    /// Takes in what another host of the region says.
    pub fn hear(&self, digest: Digest) {
        self.control.borrow_mut().receive_digest(clock::now(), &digest);
        self.shared.decide(|steering, now| steering.receive_digest(now, digest));
        self.publish();
    }

    /// Takes in what another region says.
    pub fn hear_region(&self, summary: RegionSummary) {
        self.shared.decide(|steering, now| steering.receive_region_summary(now, &summary));
        self.control.borrow_mut().receive_region_summary(clock::now(), summary);
        self.publish();
    }

    /// Does what is due.
    pub fn tick(&self) {
        let now = clock::now();
        self.release_removals(now);
        self.control.borrow_mut().tick(now);
        self.publish();
        self.shared.decide(|steering, now| steering.tick(now));
    }

    fn progress(&self) -> StoreProgress {
        StoreProgress {
            operator_revision: self.changed(Kind::Orders),
            server_revision: self.news(),
            rollouts: self.control.borrow().rollout_states(),
        }
    }

    /// What this host tells the others of its region.
    pub fn digest(&self) -> Digest {
        let (in_flight, seen) =
            self.shared.decide(|steering, _| (steering.in_flight(), steering.local_summary()));
        let read_age_ms = self.store_read.get().map(|at| {
            clock::now().saturating_since(at).as_millis().min(u128::from(u32::MAX)) as u32
        });
        let store = StoreStatus { is_reachable: self.reaches_store.get(), read_age_ms };
        let progress = self.progress();
        self.control.borrow_mut().build_digest(progress, store, in_flight, seen)
    }

    /// What this host tells the other regions, with the hosts to tell.
    pub fn region_summary(&self) -> (RegionSummary, Vec<SocketAddr>) {
        let seen = self.shared.decide(|steering, now| steering.regional_summary(now));
        let progress = self.progress();
        self.control.borrow_mut().build_region_summary(clock::now(), progress, seen)
    }

    /// Addresses of the other hosts of the region.
    pub fn near_addresses(&self) -> Vec<SocketAddr> {
        self.control.borrow().same_region_addresses()
    }

    /// Whether a host with this address is known.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.control.borrow().has_peer_at(address)
    }

    /// A host that knows newer orders.
    pub fn ahead_on_orders(&self) -> Option<SocketAddr> {
        let own = self.changed(Kind::Orders);
        self.control.borrow().host_with_newer_operator_data(clock::now(), own)
    }

    /// A host that knows newer server entries.
    pub fn ahead_on_servers(&self) -> Option<SocketAddr> {
        self.control.borrow().host_with_newer_servers(clock::now(), self.news())
    }

    /// Rollout states that this host should record.
    pub fn due_records(&self) -> Vec<DueRecord> {
        let shared = &self.shared;
        self.control.borrow_mut().due_records(clock::now(), clock::unix_millis(), |service| {
            shared.decide(|steering, _| steering.is_faulty(service))
        })
    }

    /// Whether a rollout is under way.
    pub fn has_rollouts(&self) -> bool {
        !self.control.borrow().view().rollouts.is_empty()
    }

    /// Takes over changed bounds of the deployment.
    pub fn set_terms(&self, terms: Bounds) {
        self.control.borrow_mut().set_terms(terms);
        self.publish();
    }

    /// Takes no new callers from now on.
    pub fn leave(&self) {
        self.control.borrow_mut().begin_stop();
        self.publish();
    }

    fn publish(&self) {
        let view = self.control.borrow_mut().take_view();
        if let Some(view) = view {
            self.shared.publish(view);
        }
    }
}
