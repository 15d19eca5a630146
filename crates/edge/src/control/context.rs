//! State that the tasks of the control thread share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jasminestage_core::{
    steer::{
        bounds::Bounds,
        control::{Change, ControlState, DueRecord, StoreStatus, UsageDomain},
        deferred_removals::{DeferredRemovals, KeyedChange},
        digest::{Digest, Message, RegionSummary, StoreProgress},
        exchange::{self, OutgoingMessage, StoreState},
        mirror::{CopyState, ItemChange, Mirror, Snapshot},
        position::StorePosition,
        rollout::Verdict,
        server_changes::{ServerChangeLog, ServerUpdate},
        steering::RolloutStatus,
        store_reads::StoreReads,
        usage::{Counts, HostCounts, WindowId, clock::ClockChange, copies::UsageCopies},
    },
    time::{Instant, UnixMillis},
};
use jasminestage_net::clock;
use jasminestage_platform::store_items;
use tokio::sync::Notify;

use super::{change_log, registry::OwnAnnouncement, store_gate::StoreGate};
use crate::shared::Shared;

/// Smallest change of a new version's share that is logged, as a fraction of the share.
const MIN_LOGGED_CHANGE: f64 = 0.25;

/// Part of the store's items of which the host has a local copy; log lines contain `Orders` and
/// `Servers`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemKind {
    /// Operator data: the configuration, rollout orders and evacuations.
    Orders,
    /// Announcements of servers.
    Servers,
    /// Announcements of hosts.
    Internal,
    /// States of rollouts.
    RolloutStates,
}

/// Local copies of the store's items, the control state derived from them and the access to the
/// store.
pub struct ControlContext {
    /// State shared with the traffic thread.
    pub shared: Arc<Shared>,
    /// This host's announcement; `None` while this host is not announced.
    pub own_announcement: Cell<Option<OwnAnnouncement>>,
    control: RefCell<ControlState>,
    operator_data: RefCell<Mirror>,
    servers: RefCell<Mirror>,
    internal: RefCell<Mirror>,
    rollout_states: RefCell<Mirror>,
    deferred_removals: RefCell<DeferredRemovals>,
    server_changes: RefCell<ServerChangeLog>,
    store_reads: RefCell<StoreReads>,
    usage_copies: RefCell<UsageCopies>,
    /// Notified when a turn should not wait for its time.
    pub urgent: Notify,
    /// Lets the reads that follow the store's changes pass.
    pub store_gate: StoreGate,
    /// Share and verdict of each rollout that were last logged, by service.
    logged_rollouts: RefCell<HashMap<String, (f64, Verdict)>>,
}

impl ControlContext {
    /// Creates the state of a process that has just started.
    pub fn new(shared: Arc<Shared>) -> Self {
        let cfg = &shared.cfg;
        let control =
            ControlState::new(cfg.bounds.clone(), shared.announcement.clone(), cfg.domains.clone());
        ControlContext {
            own_announcement: Cell::new(None),
            control: RefCell::new(control),
            operator_data: RefCell::new(Mirror::new(store_items::operator_data_retention())),
            servers: RefCell::new(Mirror::new(store_items::servers_retention())),
            internal: RefCell::default(),
            rollout_states: RefCell::default(),
            deferred_removals: RefCell::default(),
            server_changes: RefCell::default(),
            store_reads: RefCell::default(),
            usage_copies: RefCell::default(),
            urgent: Notify::new(),
            store_gate: StoreGate::default(),
            logged_rollouts: RefCell::default(),
            shared,
        }
    }

    fn mirror(&self, kind: ItemKind) -> &RefCell<Mirror> {
        match kind {
            ItemKind::Orders => &self.operator_data,
            ItemKind::Servers => &self.servers,
            ItemKind::Internal => &self.internal,
            ItemKind::RolloutStates => &self.rollout_states,
        }
    }

    /// Position up to which a copy is complete; the default before the first snapshot.
    pub fn position(&self, kind: ItemKind) -> StorePosition {
        self.mirror(kind).borrow().position()
    }

    /// Returns a whole copy, to be sent to another host.
    pub fn snapshot(&self, kind: ItemKind) -> Snapshot {
        self.mirror(kind).borrow().snapshot(clock::now())
    }

    /// Applies all changes up to `position` from the store or another host.
    pub fn apply(&self, kind: ItemKind, changes: Vec<ItemChange>, position: StorePosition) {
        let applied = self.mirror(kind).borrow_mut().apply(changes, position);
        self.process_changes(kind, &applied);
    }

    /// Replaces a copy by a snapshot from the store or another host.
    pub fn replace(&self, kind: ItemKind, snapshot: Snapshot) {
        let (before, now) = (self.position(kind), clock::now());
        let applied = self.mirror(kind).borrow_mut().replace(now, snapshot);
        let after = self.position(kind);
        if after.era > before.era && before != StorePosition::default() {
            if kind == ItemKind::Servers {
                self.deferred_removals.borrow_mut().store_restored(now);
            }
            tracing::warn!(
                event = 347,
                ?kind,
                era = after.era,
                before = before.revision,
                revision = after.revision,
                retained = self.mirror(kind).borrow().retained_count(),
                "The store was restored from a copy; newer states of this host are retained."
            );
        }
        self.process_changes(kind, &applied);
    }

    fn process_changes(&self, kind: ItemKind, applied: &[ItemChange]) {
        if applied.is_empty() {
            return;
        }
        let mut changes = store_items::decode_all(applied);
        if kind == ItemKind::Servers {
            let control = self.control.borrow();
            let known = &control.view().servers;
            let confirmed = self.servers.borrow_mut().take_confirmed();
            self.server_changes.borrow_mut().record(&changes, &confirmed);
            self.deferred_removals.borrow_mut().defer(clock::now(), known, &mut changes);
        }
        self.apply_decoded(changes);
        self.publish();
    }

    /// Logs decoded changes and applies them to the control state.
    fn apply_decoded(&self, changes: Vec<KeyedChange>) {
        let changes: Vec<Change> = changes.into_iter().map(|(_, _, change)| change).collect();
        change_log::write(&self.control.borrow(), self.position(ItemKind::Orders), &changes);
        self.control.borrow_mut().apply(clock::now(), changes);
    }

    /// Returns to the states of the store that were not written again after it had been restored.
    fn end_retention(&self, now: Instant) {
        for kind in [ItemKind::Orders, ItemKind::Servers] {
            let changes = self.mirror(kind).borrow_mut().expire(now);
            if !changes.is_empty() {
                tracing::warn!(
                    event = 348,
                    ?kind,
                    items = changes.len(),
                    "States that the store has lost were not written again; its own ones count now."
                );
            }
            self.process_changes(kind, &changes);
        }
    }

    fn apply_due_removals(&self, now: Instant) {
        let due = self.deferred_removals.borrow_mut().take_due(now);
        if !due.is_empty() {
            self.apply_decoded(due);
        }
    }

    /// Records a successful read of the store, before its changes are applied: after an outage, those
    /// of the first read already include removals of servers whose announcements have expired.
    pub fn record_store_read(&self) {
        let now = clock::now();
        let Some(outage) = self.store_reads.borrow_mut().record_success(now) else { return };
        let available_for = self.control.borrow().store_available_for(now, outage.last_failed_call);
        let mut deferred_removals = self.deferred_removals.borrow_mut();
        deferred_removals.store_recovered(now, outage.duration, available_for);
        tracing::info!(
            event = 343,
            outage_ms = outage.duration.as_millis() as u64,
            available_ms = available_for.as_millis() as u64,
            deferral_ms = deferred_removals.remaining_delay(now).as_millis() as u64,
            "The store is readable again; removals of servers take effect after the deferral."
        );
    }

    /// Records that a read of the store which began at `called_at` has failed.
    pub fn record_failed_store_read(&self, called_at: Instant) {
        self.store_reads.borrow_mut().record_failure(called_at);
    }

    /// Time for which removals of servers are still deferred.
    pub fn removal_delay(&self) -> Duration {
        self.deferred_removals.borrow().remaining_delay(clock::now())
    }

    /// Defers removals of servers for at least the remaining delay of another host.
    pub fn extend_removal_delay(&self, delay: Duration) {
        self.deferred_removals.borrow_mut().extend_delay(clock::now(), delay);
    }

    /// Prepares this host for reading the store after other hosts read it.
    pub fn begin_store_reading(&self) {
        let now = clock::now();
        let lost_since = self.control.borrow().store_lost_since(now);
        if lost_since.is_some() {
            self.store_gate.report_failure();
        }
        self.store_reads.borrow_mut().begin(now, lost_since);
    }

    /// Whether this host reads the store for the others of its region. A host that cannot reach the
    /// store keeps trying.
    pub fn is_store_reader(&self) -> bool {
        let reaches_store = self.store_reads.borrow().is_reachable();
        self.control.borrow().is_store_reader(clock::now(), reaches_store)
    }

    /// Whether this host is a relay of its failure domain.
    pub fn is_relay(&self) -> bool {
        self.control.borrow().is_relay(clock::now())
    }

    /// Replaces the copy of the servers by a snapshot from the store or another host.
    pub fn replace_servers(&self, snapshot: Snapshot) {
        let position = snapshot.position;
        self.replace(ItemKind::Servers, snapshot);
        self.server_changes.borrow_mut().restart(position);
    }

    /// Returns what another host lacks of the servers if its copy is complete up to `position`.
    pub fn server_update(&self, position: StorePosition) -> ServerUpdate {
        self.server_changes.borrow().update_since(position, &self.servers.borrow())
    }

    /// What the copy of the servers includes.
    pub fn servers_state(&self) -> CopyState {
        CopyState {
            position: self.position(ItemKind::Servers),
            fingerprint: self.server_changes.borrow().fingerprint(),
            retained: self.servers.borrow().retained_hash(),
        }
    }

    /// Applies the digest of another host of the region.
    pub fn receive_digest(&self, digest: Digest) {
        let is_urgent = self.shared.with_steering(|steering, now| {
            exchange::receive_digest(now, &mut self.control.borrow_mut(), steering, digest)
        });
        self.publish_received(is_urgent);
    }

    /// Applies the summary of another region.
    pub fn receive_region_summary(&self, summary: RegionSummary) {
        let is_urgent = self.shared.with_steering(|steering, now| {
            exchange::receive_region_summary(now, &mut self.control.borrow_mut(), steering, summary)
        });
        self.publish_received(is_urgent);
    }

    fn publish_received(&self, is_urgent: bool) {
        self.publish();
        if is_urgent {
            self.urgent.notify_one();
        }
    }

    /// Applies due removals and timeouts; called several times a second.
    pub fn tick(&self) {
        let now = clock::now();
        self.apply_due_removals(now);
        self.end_retention(now);
        self.control.borrow_mut().tick(now);
        self.publish();
        let (statuses, changes) = self.shared.with_steering(|steering, now| {
            steering.tick(now);
            (steering.rollout_statuses(now), steering.take_changes())
        });
        self.log_rollouts(&statuses);
        change_log::write_steering(&self.shared.view.load().regions, &changes);
    }

    /// Logs changes of the share or the verdict of a rollout, with the counts behind them.
    fn log_rollouts(&self, statuses: &[RolloutStatus]) {
        let mut logged = self.logged_rollouts.borrow_mut();
        for RolloutStatus { share, verdict, elapsed, counts } in statuses {
            let known = logged.get(&counts.service);
            let is_logged = known.is_some_and(|(logged_share, logged_verdict)| {
                logged_verdict == verdict
                    && (share - logged_share).abs() <= logged_share * MIN_LOGGED_CHANGE
            });
            if is_logged {
                continue;
            }
            logged.insert(counts.service.clone(), (*share, *verdict));
            tracing::info!(
                event = 341,
                service = counts.service,
                version = counts.version,
                share,
                verdict = ?verdict,
                elapsed_ms = elapsed.as_millis() as u64,
                responses = counts.responses,
                failures = counts.failures,
                errors = counts.errors,
                baseline_responses = counts.baseline_responses,
                baseline_failures = counts.baseline_failures,
                baseline_errors = counts.baseline_errors,
                "The share of a new version or the verdict on it has changed."
            );
        }
    }

    fn progress(&self) -> StoreProgress {
        StoreProgress {
            operator_data: self.operator_data.borrow().state(),
            servers: self.servers_state(),
            store_steady_ms: self.store_reads.borrow().steady_age(clock::now()).map(to_millis),
            rollouts: self.control.borrow().rollout_progress(clock::now()),
        }
    }

    /// Builds the messages to other hosts that are due in a turn.
    pub fn due_messages(&self, turn: u64) -> Vec<OutgoingMessage> {
        let store = self.store_state();
        self.shared.with_steering(|steering, now| {
            exchange::due_messages(now, turn, &mut self.control.borrow_mut(), steering, &store)
        })
    }

    /// Builds this host's own digest, for a host that has just contacted it.
    pub fn own_digest(&self) -> Message {
        let store = self.store_state();
        self.shared.with_steering(|steering, now| {
            exchange::own_digest(now, &mut self.control.borrow_mut(), steering, &store)
        })
    }

    fn store_state(&self) -> StoreState {
        let (now, reads) = (clock::now(), self.store_reads.borrow());
        let status = StoreStatus {
            is_reachable: reads.is_reachable(),
            read_age_ms: reads.read_age(now).map(to_millis),
        };
        StoreState { progress: self.progress(), status }
    }

    /// Whether there is another host with this peer address.
    pub fn has_peer_at(&self, address: SocketAddr) -> bool {
        self.control.borrow().has_peer_at(address)
    }

    /// Returns the address of a host with newer operator data.
    pub fn host_with_newer_operator_data(&self) -> Option<SocketAddr> {
        let own = self.operator_data.borrow().state();
        self.control.borrow().host_with_newer_operator_data(clock::now(), &own)
    }

    /// Returns the address of a host with newer server entries.
    pub fn host_with_newer_servers(&self) -> Option<SocketAddr> {
        self.control.borrow().host_with_newer_servers(clock::now(), &self.servers_state())
    }

    /// Returns the rollout states that this host should record in the store.
    pub fn due_records(&self) -> Vec<DueRecord> {
        let shared = &self.shared;
        self.control.borrow_mut().due_records(clock::now(), |service| {
            shared.with_steering(|steering, _| steering.rollout_verdict(service))
        })
    }

    /// Whether there is a rollout order.
    pub fn has_rollouts(&self) -> bool {
        !self.control.borrow().view().rollouts.is_empty()
    }

    /// Replaces the bounds of the deployment.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.control.borrow_mut().set_bounds(bounds);
        self.publish();
    }

    /// Marks this host as stopping; it accepts no new callers from now on.
    pub fn begin_stop(&self) {
        self.control.borrow_mut().begin_stop();
        self.publish();
    }

    /// Applies the time of day to the windows of the usage reports and removes old counts.
    pub fn observe_time(&self) -> ClockChange {
        let unix_ms = clock::unix_millis();
        let (change, current_ms) = self.shared.with_steering(|steering, now| {
            (steering.observe_time(now, unix_ms), steering.unix_at(now))
        });
        if let (Some((_, cfg)), Some(current_ms)) = (self.shared.cfg.usage.duty(), current_ms) {
            let current = current_ms / cfg.window.as_millis() as u64;
            self.usage_copies.borrow_mut().expire(current, cfg.window);
        }
        change.unwrap_or(ClockChange::None)
    }

    /// Filtered time of day; `None` if usage is not reported.
    pub fn unix_millis(&self) -> Option<UnixMillis> {
        self.shared.with_steering(|steering, now| steering.unix_at(now))
    }

    /// Returns this host's counts and the relays that get them.
    pub fn due_usage(&self) -> Option<OutgoingMessage> {
        let own = self.shared.announcement.incarnation;
        let counts = self.shared.with_steering(|steering, now| steering.changed_usage(now, own))?;
        Some((Message::Usage(counts), self.control.borrow().usage_receivers(clock::now())))
    }

    /// Keeps the counts of another host.
    pub fn receive_usage(&self, counts: &HostCounts) {
        // Without reports, nothing removes old counts.
        if self.shared.cfg.usage.duty().is_some() {
            self.usage_copies.borrow_mut().receive(counts);
        }
    }

    /// Returns the counts of a window that this host has, its own included, and its time of day; `None`
    /// if usage is not reported.
    pub fn usage_of_window(&self, window: WindowId) -> Option<(UnixMillis, Vec<HostCounts>)> {
        self.add_own_usage();
        Some((self.unix_millis()?, self.usage_copies.borrow().of_window(window)))
    }

    /// Remembers that a window is about to be recorded in an era of the store; returns whether one was
    /// in another era.
    pub fn record_usage_query(&self, window: WindowId, era: u64) -> bool {
        self.usage_copies.borrow_mut().record_query(window, era)
    }

    /// Adds up the counts of a window that this host has, its own included.
    pub fn usage_total(&self, window: WindowId) -> Counts {
        self.add_own_usage();
        self.usage_copies.borrow().total(window)
    }

    fn add_own_usage(&self) {
        let own = self.shared.announcement.incarnation;
        if let Some(counts) = self.shared.with_steering(|steering, _| steering.all_usage(own)) {
            self.usage_copies.borrow_mut().receive(&counts);
        }
    }

    /// Whether this host tries to get the duty to report usage.
    pub fn is_usage_candidate(&self) -> bool {
        self.control.borrow().is_usage_candidate()
    }

    /// Returns the failure domains whose relays have the counts.
    pub fn usage_domains(&self) -> Vec<UsageDomain> {
        self.control.borrow().usage_domains(clock::now())
    }

    /// Newest era of the store in any copy; `None` before the first one.
    pub fn store_era(&self) -> Option<u64> {
        let kinds = [ItemKind::Orders, ItemKind::Servers, ItemKind::Internal];
        let positions = kinds.map(|kind| self.position(kind));
        positions.into_iter().filter(|p| *p != StorePosition::default()).map(|p| p.era).max()
    }

    fn publish(&self) {
        let view = self.control.borrow_mut().take_view();
        if let Some(view) = view {
            self.shared.publish(view);
        }
    }
}

fn to_millis(age: Duration) -> u32 {
    age.as_millis().min(u128::from(u32::MAX)) as u32
}
