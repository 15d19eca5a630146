//! The connections of one port.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jasminestage_core::{
    connections::{Admission, ConnectionId, ConnectionLimits, Connections},
    event::{Event, Kind},
};
use salvo::{
    Depot, FlowCtrl, Request, Response, async_trait,
    conn::ConnCtrl,
    fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy},
    handler::Handler,
};

use tokio::sync::Notify;

use crate::{clock, log, metrics::Metrics, timer::Timers};

/// Time between two checks for slow transfers.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Longest time that a new connection waits for the end of those that are being closed for it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Closes a connection.
type Close = Box<dyn Fn() + Send>;

/// A port whose connections are limited.
pub struct Port {
    name: &'static str,
    /// Timeouts of an HTTP connection.
    fuse: FuseConfig,
    metrics: Arc<Metrics>,
    limiter: log::EventLimiter,
    max_connections: usize,
    state: Mutex<State>,
    /// Notified when a connection has ended.
    ended: Notify,
}

struct State {
    connections: Connections,
    closes: HashMap<SocketAddr, (ConnectionId, Option<Close>)>,
    /// Admitted HTTP connections that the server has not taken over so far.
    admitted: HashMap<SocketAddr, PortConnection>,
    /// Connections whose sockets are open, also those that are being closed.
    open_sockets: usize,
}

impl State {
    /// Takes what closes a connection. It is called without the lock, as the end of the connection
    /// takes the lock.
    fn take_close(&mut self, client: SocketAddr) -> Option<Close> {
        self.closes.remove(&client)?.1
    }
}

impl Port {
    /// A port without connections; `name` is its label in metrics and log lines.
    pub fn new(
        name: &'static str,
        limits: ConnectionLimits,
        header_timeout: Duration,
        metrics: Arc<Metrics>,
    ) -> Arc<Port> {
        let fuse = FuseConfig::disabled()
            .with_http1_header_timeout(header_timeout)
            .with_write_stall_timeout(limits.rate.window);
        Arc::new(Port {
            name,
            fuse,
            metrics,
            limiter: log::EventLimiter::default(),
            max_connections: limits.max_connections,
            state: Mutex::new(State {
                connections: Connections::new(limits),
                closes: HashMap::new(),
                admitted: HashMap::new(),
                open_sockets: 0,
            }),
            ended: Notify::new(),
        })
    }

    /// Closes connections with slow transfers from now on.
    pub async fn check_transfers(self: Arc<Port>, timers: Timers) {
        let mut ticks = timers.subscribe(CHECK_PERIOD).await;
        while ticks.recv().await.is_some() {
            let overdue = self.state().connections.remove_overdue(clock::now());
            for client in overdue {
                self.close(client, "response rate");
            }
        }
    }

    /// Admits a connection, for which another one may be closed; `None` if it is refused.
    pub async fn open(self: &Arc<Port>, client: SocketAddr) -> Option<PortConnection> {
        let id = self.admit(client)?;
        self.state().open_sockets += 1;
        let connection = PortConnection { port: Arc::clone(self), client, id };
        if tokio::time::timeout(CLOSE_TIMEOUT, self.wait_for_room()).await.is_err() {
            self.report("connections", client);
            return None;
        }
        Some(connection)
    }

    /// Waits until no more sockets are open than allowed. Without it, a crowd that connects faster than
    /// the closed connections end would use up the descriptors.
    async fn wait_for_room(&self) {
        loop {
            let ended = self.ended.notified();
            if self.state().open_sockets <= self.max_connections {
                return;
            }
            ended.await;
        }
    }

    fn admit(&self, client: SocketAddr) -> Option<ConnectionId> {
        let admission = self.state().connections.open(clock::now(), client);
        let id = match admission {
            Admission::Admitted(id) => id,
            Admission::Replaces(id, replaced) => {
                self.close(replaced, "connections");
                id
            }
            Admission::Refused => {
                self.report("connections", client);
                return None;
            }
        };
        self.state().closes.insert(client, (id, None));
        Some(id)
    }

    /// Closes a connection that was removed because of a limit.
    fn close(&self, client: SocketAddr, limit: &'static str) {
        let close = self.state().take_close(client);
        if let Some(close) = close {
            close();
        }
        self.report(limit, client);
    }

    fn set_close(&self, client: SocketAddr, id: ConnectionId, close: Close) {
        if let Some((known, entry)) = self.state().closes.get_mut(&client)
            && *known == id
        {
            *entry = Some(close);
            return;
        }
        // Another connection has replaced it meanwhile.
        close();
    }

    fn end(&self, client: SocketAddr, id: ConnectionId) {
        let mut state = self.state();
        state.open_sockets -= 1;
        state.connections.close(client, id);
        self.ended.notify_waiters();
        if state.closes.get(&client).is_some_and(|(known, _)| *known == id) {
            state.closes.remove(&client);
        }
    }

    /// Records that a request has arrived and runs.
    pub fn begin_work(&self, client: SocketAddr) {
        self.state().connections.begin_work(client);
    }

    /// Records that the head of a request has arrived.
    pub fn begin_request(&self, client: SocketAddr) {
        self.state().connections.begin_request(clock::now(), client);
    }

    /// Records a response; closes a connection if too many bytes of responses wait.
    pub fn begin_response(&self, client: SocketAddr, bytes: u64) {
        let closed = self.state().connections.begin_response(clock::now(), client, bytes);
        if let Some(closed) = closed {
            self.close(closed, "response memory");
        }
    }

    /// Closes the connection whose body has stalled for the longest time; returns whether there is one.
    pub fn close_stalled(&self) -> bool {
        let stalled = self.state().connections.remove_stalled(clock::now());
        if let Some(stalled) = stalled {
            self.close(stalled, "stalled");
        }
        stalled.is_some()
    }

    /// Counts a client that was refused or cut, and logs it at a limited rate.
    pub fn report(&self, limit: &'static str, client: SocketAddr) {
        self.metrics.count_limited_client(self.name, limit);
        let event = Event::new(Kind::ClientLimited, format!("{limit} of {}: {client}", self.name));
        self.limiter.write(clock::now(), event);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that is open until this is dropped.
pub struct PortConnection {
    port: Arc<Port>,
    client: SocketAddr,
    id: ConnectionId,
}

impl PortConnection {
    /// Sets how the connection is closed.
    pub fn set_close(&self, close: impl Fn() + Send + 'static) {
        self.port.set_close(self.client, self.id, Box::new(close));
    }

    /// Records that the client has authenticated itself and its request runs.
    pub fn begin_trusted_work(&self) {
        let mut state = self.port.state();
        state.connections.trust(self.client);
        state.connections.begin_work(self.client);
    }

    /// Records that a request begins to arrive.
    pub fn begin_transfer(&self) {
        self.port.begin_request(self.client);
    }

    /// Closes the connection whose request has stalled for the longest time; returns whether there is
    /// one.
    pub fn close_stalled(&self) -> bool {
        self.port.close_stalled()
    }

    /// Records bytes of a request.
    pub fn record_received(&self, bytes: usize) {
        let now = clock::now();
        let closed = self.port.state().connections.record_received(now, self.client, bytes as u64);
        if let Some(closed) = closed {
            self.port.close(closed, "head memory");
        }
    }

    /// Records that the client may send the next request.
    pub fn end_work(&self) {
        self.port.begin_response(self.client, 0);
    }

    /// Counts and logs that a limit has cut the client.
    pub fn report(&self, limit: &'static str) {
        self.port.report(limit, self.client);
    }
}

impl Drop for PortConnection {
    fn drop(&mut self) {
        self.port.end(self.client, self.id);
    }
}

/// Limits the connections of an HTTP server.
pub struct PortPolicy(pub Arc<Port>);

#[async_trait]
impl FusePolicy for PortPolicy {
    async fn decide(&self, info: &FuseInfo) -> FuseAction {
        let Some(client) = info.remote_addr.clone().into_std() else { return FuseAction::Reject };
        let Some(connection) = self.0.open(client).await else { return FuseAction::Reject };
        let earlier = self.0.state().admitted.insert(client, connection);
        // Its end takes the lock, so it is dropped after the lock.
        drop(earlier);
        FuseAction::Accept(self.0.fuse)
    }

    fn observe(&self, info: &FuseInfo, ctrl: &ConnCtrl) -> Option<ArcConnObserver> {
        let client = info.remote_addr.clone().into_std()?;
        let connection = self.0.state().admitted.remove(&client)?;
        let ctrl = ctrl.clone();
        connection.set_close(move || ctrl.abort());
        Some(Arc::new(connection))
    }
}

impl ConnObserver for PortConnection {
    fn on_read(&self, bytes: usize) {
        self.record_received(bytes);
    }

    fn on_write(&self, bytes: usize) {
        self.port.state().connections.record_sent(clock::now(), self.client, bytes as u64);
    }
}

/// Middleware that records the requests and responses on the connections of a port.
pub struct TrackRequests(pub Arc<Port>);

#[async_trait]
impl Handler for TrackRequests {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let client = req.remote_addr().clone().into_std();
        if let Some(client) = client {
            self.0.begin_request(client);
        }
        ctrl.call_next(req, depot, res).await;
        if let Some(client) = client {
            self.0.begin_response(client, res.body.size().unwrap_or_default());
        }
    }
}
