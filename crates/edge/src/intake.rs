//! The connections of a port and their tasks. The core decides which ones to close.

use std::{
    collections::BTreeMap,
    io,
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use jasminestage_core::{
    intake::{
        Activity, CloseReason, ConnectionKey, Intake, IntakeLimits, OpenConnections, PortShare,
        ServerConnection, SlowLimits, grant_server_connection, lent_to_servers,
    },
    time::Instant,
};
use jasminestage_net::clock;
use rustix::io::Errno;
use tokio::task::AbortHandle;

use crate::{
    metrics::Metrics,
    options::{Options, RESERVED_DESCRIPTORS},
    upstream::Pool,
};

/// Period in which connections are checked for clients that are too slow. A client may exceed a limit
/// by this time.
pub const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Minimum time between two log lines about closed connections of a port.
const LINE_PERIOD: Duration = Duration::from_secs(10);

/// The connections of one port.
pub struct Port {
    name: &'static str,
    limits: IntakeLimits,
    state: Mutex<State>,
}

struct State {
    intake: Intake,
    tasks: BTreeMap<ConnectionKey, Task>,
    /// Connections that were closed or refused since the last log line.
    closed: BTreeMap<CloseReason, u64>,
    /// The same since the last sweep, for the counter.
    uncounted: BTreeMap<CloseReason, u64>,
    last_line_at: Instant,
}

struct Task {
    abort: AbortHandle,
    resets: Arc<AtomicBool>,
}

/// A place among the connections of a port, until the last copy is dropped.
#[derive(Clone)]
pub struct Ticket(Arc<Place>);

struct Place {
    port: Arc<Port>,
    key: ConnectionKey,
    /// Whether the connection is reset when it is closed, so that the system does not keep what the
    /// client has not read.
    resets: Arc<AtomicBool>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.port.state();
        state.intake.remove(self.key);
        state.tasks.remove(&self.key);
    }
}

impl Port {
    /// A port without connections.
    pub fn new(name: &'static str, limits: IntakeLimits) -> Arc<Port> {
        let state = State {
            intake: Intake::new(limits),
            tasks: BTreeMap::new(),
            closed: BTreeMap::new(),
            uncounted: BTreeMap::new(),
            last_line_at: Instant::ZERO,
        };
        Arc::new(Port { name, limits, state: Mutex::new(state) })
    }

    /// Limits of the port.
    pub fn limits(&self) -> &IntakeLimits {
        &self.limits
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives a new connection a place and starts its task; the connection is closed if there is no
    /// place.
    fn admit(
        self: &Arc<Self>,
        from: IpAddr,
        lent: usize,
        start: impl FnOnce(Ticket) -> AbortHandle,
    ) {
        let mut state = self.state();
        let (key, closing) = state.intake.admit(clock::now(), from, lent);
        state.close(closing);
        let Some(key) = key else {
            state.count(CloseReason::Refused);
            return;
        };
        drop(state);
        let resets = Arc::<AtomicBool>::default();
        let place = Place { port: Arc::clone(self), key, resets: Arc::clone(&resets) };
        let abort = start(Ticket(Arc::new(place)));
        let mut state = self.state();
        if state.intake.activity(key).is_some() {
            state.tasks.insert(key, Task { abort, resets });
        }
    }

    /// Closes a connection if the system has refused a descriptor or memory for another one.
    pub fn free_after(&self, error: &io::Error) {
        let is_short = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM]
            .iter()
            .any(|errno| error.raw_os_error() == Some(errno.raw_os_error()));
        if !is_short {
            return;
        }
        let mut state = self.state();
        let closing = state.intake.free_descriptor(clock::now());
        state.close(closing);
    }

    /// Closes an idle connection; returns whether there was one.
    pub fn free_idle(&self) -> bool {
        let mut state = self.state();
        let closing = state.intake.free_idle(clock::now());
        let has_closed = closing.is_some();
        state.close(closing);
        has_closed
    }

    fn has_room(&self, lent: usize) -> bool {
        self.state().intake.has_room(lent)
    }

    /// Number of open connections.
    fn len(&self) -> usize {
        self.state().intake.len()
    }

    /// Closes connections on which nothing has moved for a time, to free the memory of their bodies.
    pub fn free_stalled(&self, activity: Activity, time: Duration) {
        let mut state = self.state();
        let closings = state.intake.free_stalled(clock::now(), activity, time);
        state.close(closings);
    }

    /// Closes the connections that are too slow, and reports what was closed.
    pub fn sweep(&self, metrics: &Metrics, limits: &SlowLimits) {
        let now = clock::now();
        let mut state = self.state();
        let closings = state.intake.close_slow(now, limits);
        state.close(closings);
        metrics.record_client_connections(self.name, state.intake.len());
        for (reason, count) in std::mem::take(&mut state.uncounted) {
            metrics.count_closed_connections(self.name, reason.label(), count);
        }
        if state.closed.is_empty() || now.saturating_since(state.last_line_at) < LINE_PERIOD {
            return;
        }
        state.last_line_at = now;
        let closed = std::mem::take(&mut state.closed);
        let count = |reason| closed.get(&reason).copied().unwrap_or_default();
        tracing::warn!(
            event = 380,
            port = self.name,
            slow_head = count(CloseReason::SlowHead),
            slow_body = count(CloseReason::SlowBody),
            unread = count(CloseReason::Unread),
            idle = count(CloseReason::Idle),
            slowest = count(CloseReason::Slowest),
            expensive = count(CloseReason::Expensive),
            refused = count(CloseReason::Refused),
            open = state.intake.len(),
            bytes = state.intake.held_bytes(),
            "Connections of clients were closed or refused because of the host's limits."
        );
    }
}

/// The connections of all ports, and the requests at servers.
pub struct Ports {
    /// Descriptors that are not reserved for files.
    descriptors: usize,
    /// Requests that servers are working on.
    at_servers: AtomicUsize,
    /// Idle connections to servers.
    pub pool: Arc<Pool>,
    /// Callers.
    pub callers: Arc<Port>,
    /// Directory.
    pub directory: Arc<Port>,
    /// Readiness checks.
    pub readiness: Arc<Port>,
    /// Other hosts.
    pub peers: Arc<Port>,
    /// Metrics.
    pub metrics: Arc<Port>,
}

impl Ports {
    /// The ports of a host with these settings.
    pub fn new(cfg: &Options) -> Ports {
        let port = |name, share| Port::new(name, cfg.intake_limits(share));
        Ports {
            descriptors: cfg.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS),
            at_servers: AtomicUsize::new(0),
            pool: Arc::default(),
            callers: port("callers", PortShare::Callers),
            directory: port("directory", PortShare::Directory),
            readiness: port("readiness", PortShare::Readiness),
            peers: port("peers", PortShare::Peers),
            metrics: port("metrics", PortShare::Metrics),
        }
    }

    /// Gives a new connection a place at a port and starts its task; the connection is closed if there
    /// is no place. The descriptors of others that are closed for it are free as soon as their tasks have
    /// run.
    pub fn admit(&self, port: &Arc<Port>, from: IpAddr, start: impl FnOnce(Ticket) -> AbortHandle) {
        if !Arc::ptr_eq(port, &self.callers) {
            port.admit(from, 0, start);
            return;
        }
        // The number is computed before the port is locked, because it locks all ports.
        let mut lent = lent_to_servers(self.descriptors, &self.open_connections());
        while lent > 0 && !port.has_room(lent) && self.pool.close_one() {
            lent -= 1;
        }
        port.admit(from, lent, start);
    }

    /// Reserves the descriptor of a connection to a server for a request; `None` if all are in use for
    /// other requests.
    pub async fn reserve_server_connection(&self) -> Option<ServerReservation<'_>> {
        let reservation = loop {
            let open = self.open_connections();
            let is_granted = match grant_server_connection(self.descriptors, &open) {
                ServerConnection::Granted => true,
                ServerConnection::CloseIdleServer if self.pool.close_one() => continue,
                ServerConnection::CloseIdleServer | ServerConnection::CloseIdleCaller => {
                    self.callers.free_idle()
                }
            };
            if !is_granted {
                return None;
            }
            self.at_servers.fetch_add(1, Ordering::Relaxed);
            let reservation = ServerReservation { at_servers: &self.at_servers };
            if lent_to_servers(self.descriptors, &open) == 0 {
                return Some(reservation);
            }
            break reservation;
        };
        // Connections that were closed give their descriptors back when their tasks run.
        tokio::task::yield_now().await;
        Some(reservation)
    }

    /// Whether no further request may use a connection to a server without another being closed.
    pub fn is_short_for_servers(&self) -> bool {
        let grant = grant_server_connection(self.descriptors, &self.open_connections());
        grant != ServerConnection::Granted
    }

    fn open_connections(&self) -> OpenConnections {
        OpenConnections {
            clients: self.all().iter().map(|port| port.len()).sum(),
            at_servers: self.at_servers.load(Ordering::Relaxed),
            idle_to_servers: self.pool.len(),
        }
    }

    /// All ports.
    pub fn all(&self) -> [&Arc<Port>; 5] {
        [&self.callers, &self.directory, &self.readiness, &self.peers, &self.metrics]
    }
}

/// A descriptor for the connection to a server, until it is dropped.
pub struct ServerReservation<'a> {
    at_servers: &'a AtomicUsize,
}

impl Drop for ServerReservation<'_> {
    fn drop(&mut self) {
        self.at_servers.fetch_sub(1, Ordering::Relaxed);
    }
}

impl State {
    fn count(&mut self, reason: CloseReason) {
        *self.closed.entry(reason).or_default() += 1;
        *self.uncounted.entry(reason).or_default() += 1;
    }

    fn close(&mut self, closings: impl IntoIterator<Item = (ConnectionKey, CloseReason)>) {
        for (key, reason) in closings {
            self.count(reason);
            if let Some(task) = self.tasks.remove(&key) {
                task.resets.store(reason != CloseReason::Idle, Ordering::Relaxed);
                task.abort.abort();
            }
        }
    }
}

impl Ticket {
    /// Whether the connection is reset when it is closed.
    pub fn resets(&self) -> bool {
        self.0.resets.load(Ordering::Relaxed)
    }

    /// Bytes have arrived.
    pub fn received(&self, bytes: usize) {
        self.report(|intake, now, key| intake.received(now, key, bytes));
    }

    /// Sets the bytes that have arrived and belong to no request yet.
    pub fn set_head_bytes(&self, bytes: usize) {
        self.report(|intake, now, key| intake.set_head_bytes(now, key, bytes));
    }

    /// Whether the HTTP library reads the connection from now on.
    pub fn set_uses_library(&self, uses_library: bool) {
        self.report(|intake, now, key| intake.set_uses_library(now, key, uses_library));
    }

    /// Number of requests of the connection that are being handled.
    pub fn running_requests(&self) -> usize {
        self.0.port.state().intake.running_requests(self.0.key)
    }

    /// A request is being handled.
    pub fn request_started(&self) {
        self.report(Intake::request_started);
    }

    /// The response to a request is ready to be written.
    pub fn request_ended(&self) {
        self.report(Intake::request_ended);
    }

    /// The body of a request is read from now on.
    pub fn body_started(&self, announced_bytes: u64) {
        self.report(|intake, now, key| intake.body_started(now, key, announced_bytes));
    }

    /// The body has been read, or its request was refused.
    pub fn body_ended(&self) {
        self.report(Intake::body_ended);
    }

    /// Whether the client does not take what is written to it.
    pub fn set_unread(&self, is_unread: bool) {
        self.report(|intake, now, key| intake.set_unread(now, key, is_unread));
    }

    /// Sets the bytes of a response that waits to be sent and that no other limit counts.
    pub fn set_queued_bytes(&self, bytes: usize) {
        self.report(|intake, now, key| intake.set_queued_bytes(now, key, bytes));
    }

    /// Closes connections on which nothing has moved for a time, to free the memory of their bodies.
    pub fn free_stalled(&self, activity: Activity, time: Duration) {
        self.0.port.free_stalled(activity, time);
    }

    /// Reports an event and closes connections if the memory is short then.
    fn report(&self, event: impl FnOnce(&mut Intake, Instant, ConnectionKey)) {
        let now = clock::now();
        let mut state = self.0.port.state();
        event(&mut state.intake, now, self.0.key);
        let closings = state.intake.free_memory(now);
        state.close(closings);
    }
}
