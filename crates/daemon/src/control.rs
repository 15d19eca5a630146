//! The control thread, which owns the control state and executes its effects.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use jasminestage_core::{
    config::{Acks, Root, chunk::Chunk},
    control::{Control, Effect, Input, PeerMsg},
    event::{Event, Kind},
    member::HEARTBEAT_PERIOD,
    peer::{PeerCall, PeerReply},
    time::Instant,
    traffic::TICK_PERIOD,
};
use jasminestage_store::Client;
use tokio::sync::{mpsc, oneshot};

use crate::{clock, error::DaemonError, log, peer, platform, shared::Shared, timer::Timers};

/// Capacity of the queues to the control thread, in messages.
const QUEUE_CAPACITY: usize = 1024;
/// Timeout of a call to another host about the configuration.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for releasing the seat at shutdown.
const SEAT_RELEASE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Receiving end of the queue of messages from the traffic threads to other hosts.
pub type OutgoingMessages = mpsc::Receiver<(SocketAddr, PeerMsg)>;

/// Creates a queue for messages from the traffic threads to other hosts.
pub fn outgoing_queue() -> (mpsc::Sender<(SocketAddr, PeerMsg)>, OutgoingMessages) {
    mpsc::channel(QUEUE_CAPACITY)
}

/// Input of the control thread from sockets, the store and signals.
#[derive(Debug)]
pub enum ControlEvent {
    /// A message from another host.
    Peer(SocketAddr, PeerMsg),
    /// The root record was read.
    Root {
        /// The record.
        root: Root,
        /// Start of the read.
        read_started: Instant,
        /// Era of the store in which it was read.
        era: u64,
    },
    /// A call to the store failed.
    StoreFailed,
    /// Chunks were fetched from the store.
    Chunks(Vec<Chunk>),
    /// Another host replied to a call.
    PeerReply(SocketAddr, PeerReply),
    /// The root record and the acknowledgements were read.
    Acks(Root, Acks),
    /// The acknowledgement could not be written.
    AckFailed,
    /// A graceful stop was requested.
    Stop,
    /// The control thread must end.
    Shutdown,
}

/// Sending end of the queue to the control thread.
#[derive(Clone, Debug)]
pub struct ControlSender(mpsc::Sender<ControlEvent>);

impl ControlSender {
    /// Sends an event; waits while the queue is full.
    pub async fn send(&self, event: ControlEvent) {
        // The receiver is dropped only at shutdown.
        let _ = self.0.send(event).await;
    }

    /// Ends the control thread.
    pub fn close(&self) {
        let _ = self.0.blocking_send(ControlEvent::Shutdown);
    }
}

/// Creates a queue to the control thread.
pub fn channel() -> (ControlSender, mpsc::Receiver<ControlEvent>) {
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    (ControlSender(tx), rx)
}

/// The running control thread and a channel that closes when it ends, also by a panic.
pub type ControlHandle = (JoinHandle<Result<(), DaemonError>>, oneshot::Receiver<()>);

/// Starts the control thread.
pub fn spawn(
    shared: Arc<Shared>,
    tx: ControlSender,
    rx: mpsc::Receiver<ControlEvent>,
    outgoing: OutgoingMessages,
) -> Result<ControlHandle, DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::Thread)?;
    let (ended_tx, ended_rx) = oneshot::channel();
    let body = move || {
        let _ended_tx: oneshot::Sender<()> = ended_tx;
        runtime.block_on(run(shared, tx, rx, outgoing))
    };
    let builder = thread::Builder::new().name("control".to_owned());
    Ok((builder.spawn(body).map_err(DaemonError::Thread)?, ended_rx))
}

async fn run(
    shared: Arc<Shared>,
    tx: ControlSender,
    mut rx: mpsc::Receiver<ControlEvent>,
    mut outgoing: OutgoingMessages,
) -> Result<(), DaemonError> {
    let socket = peer::udp::Socket::bind(Arc::clone(&shared)).await?;
    let store = platform::client(&shared.cfg.platform, Arc::clone(&shared.metrics));
    let timers = Timers::start();
    tokio::spawn(peer::udp::receive(socket.clone(), tx.clone()));
    tokio::spawn(crate::reports::poll(Arc::clone(&shared), timers.clone()));
    let mut ticks = timers.subscribe(HEARTBEAT_PERIOD).await;
    let mut traffic_ticks = timers.subscribe(TICK_PERIOD).await;
    let mut control = Control::new(shared.own_info.clone(), &shared.cfg.seeds);
    let mut effects = Vec::new();
    let mut effect_runner =
        EffectRunner { shared: Arc::clone(&shared), socket, store, tx, watch: None };
    log::write(&Event::new(Kind::Started, &shared.cfg.name));
    loop {
        let event = tokio::select! {
            event = rx.recv() => event,
            Some(()) = ticks.recv() => {
                control.handle(clock::now(), Input::WallClockTime(clock::unix_millis()), &mut effects);
                control.handle(clock::now(), Input::Tick, &mut effects);
                None
            }
            Some(()) = traffic_ticks.recv() => {
                shared.with_traffic(|traffic, now| {
                    traffic.set_clock(now, clock::unix_millis());
                    traffic.tick(now);
                });
                None
            }
            Some((to, msg)) = outgoing.recv() => {
                effect_runner.socket.send(to, &msg).await;
                None
            }
        };
        match &event {
            Some(ControlEvent::Shutdown) => break,
            Some(ControlEvent::Peer(from, msg)) if is_traffic_message(msg) => {
                shared.with_traffic(|traffic, now| traffic.handle_message(now, *from, msg));
                if let PeerMsg::Rollout(_) = msg {
                    control.handle(clock::now(), Input::Peer { from: *from, msg }, &mut effects);
                }
            }
            Some(event) => control.handle(clock::now(), to_input(event), &mut effects),
            None => {}
        }
        for effect in effects.drain(..) {
            effect_runner.perform(effect).await;
        }
    }
    // If the release cannot be written in time, another host takes over the seat.
    let _ = tokio::time::timeout(
        SEAT_RELEASE_TIMEOUT,
        platform::release_seat(&effect_runner.store, &shared.own_info),
    )
    .await;
    log::write(&Event::new(Kind::Stopped, &shared.cfg.name));
    Ok(())
}

/// Whether the request path handles a message rather than the control state.
fn is_traffic_message(msg: &PeerMsg) -> bool {
    matches!(
        msg,
        PeerMsg::Rate(_)
            | PeerMsg::Once(_)
            | PeerMsg::Route(_)
            | PeerMsg::Rollout(_)
            | PeerMsg::Crash(_)
    )
}

fn to_input(event: &ControlEvent) -> Input<'_> {
    match event {
        ControlEvent::Peer(from, msg) => Input::Peer { from: *from, msg },
        ControlEvent::Root { root, read_started, era } => {
            Input::Root { root, read_started: *read_started, era: *era }
        }
        ControlEvent::StoreFailed => Input::StoreFailed,
        ControlEvent::Chunks(chunks) => Input::Chunks(chunks),
        ControlEvent::PeerReply(from, reply) => Input::PeerReply { from: *from, reply },
        ControlEvent::Acks(root, acks) => Input::Acks { root, acks },
        ControlEvent::AckFailed => Input::AckFailed,
        ControlEvent::Stop | ControlEvent::Shutdown => Input::Stop,
    }
}

/// Executes the effects of the control state.
struct EffectRunner {
    shared: Arc<Shared>,
    socket: peer::udp::Socket,
    store: Client,
    tx: ControlSender,
    watch: Option<StoreWatch>,
}

/// The task that watches the store; dropping it aborts the task.
struct StoreWatch(tokio::task::JoinHandle<()>);

impl Drop for StoreWatch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl EffectRunner {
    async fn perform(&mut self, effect: Effect) {
        let (store, tx) = (self.store.clone(), self.tx.clone());
        match effect {
            Effect::Send { to, msg } => self.socket.send(to, &msg).await,
            Effect::CallPeer { to, call } => {
                tokio::spawn(call_peer(Arc::clone(&self.shared), to, call, tx));
            }
            Effect::WatchStore(true) => self.watch = Some(self.start_watch()),
            Effect::WatchStore(false) => self.watch = None,
            Effect::ReadRoot => {
                tokio::spawn(async move { platform::read_root(&store, &tx).await });
            }
            Effect::ReadAcks => {
                tokio::spawn(async move { platform::read_acks(&store, &tx).await });
            }
            Effect::FetchChunks(hashes) => {
                tokio::spawn(platform::fetch_chunks(store, hashes, tx));
            }
            Effect::SwapRoot(next) => {
                tokio::spawn(async move { platform::swap_root(&store, &next, &tx).await });
            }
            Effect::RestoreRoot(config) => {
                tokio::spawn(async move { platform::restore_root(&store, &config, &tx).await });
            }
            Effect::WriteAck(ack) => {
                tokio::spawn(platform::write_ack(
                    store,
                    self.shared.own_info.domain.clone(),
                    ack,
                    tx,
                ));
            }
            Effect::Publish(view) => self.shared.publish(view),
            Effect::UpdateProof(at) => {
                self.shared.with_traffic(|traffic, _| traffic.record_proof(at))
            }
            Effect::Log(event) => log::write(&event),
        }
    }

    fn start_watch(&self) -> StoreWatch {
        StoreWatch(tokio::spawn(platform::watch_root(self.store.clone(), self.tx.clone())))
    }
}

async fn call_peer(shared: Arc<Shared>, to: SocketAddr, call: PeerCall, tx: ControlSender) {
    // A failed call is repeated after the next message from the other host.
    if let Ok(reply) = shared.peers.call(&shared, to, &call, PEER_CALL_TIMEOUT).await {
        tx.send(ControlEvent::PeerReply(to, reply)).await;
    }
}
