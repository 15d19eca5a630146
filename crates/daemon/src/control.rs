//! The control thread: one thread that owns the control state and carries out its effects.

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

/// Messages that may wait for the control thread.
const QUEUE: usize = 1024;
/// Longest time for a call to another host about the configuration.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to give the seat back at the end.
const RELEASE_LIMIT: Duration = Duration::from_millis(1500);

/// Messages from the traffic threads to other hosts.
pub type SendQueue = mpsc::Receiver<(SocketAddr, PeerMsg)>;

/// A queue for messages from the traffic threads to other hosts.
pub fn send_queue() -> (mpsc::Sender<(SocketAddr, PeerMsg)>, SendQueue) {
    mpsc::channel(QUEUE)
}

/// Something that happened outside, as sent to the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A message of another host.
    Peer(SocketAddr, PeerMsg),
    /// The root record was read.
    Root(Root, Instant),
    /// A call to the store failed.
    StoreFailed,
    /// Chunks arrived.
    Chunks(Vec<Chunk>),
    /// Another host answered a call.
    PeerReply(SocketAddr, PeerReply),
    /// The root record and the acknowledgements were read.
    Acks(Root, Acks),
    /// The acknowledgement could not be written.
    AckFailed,
    /// A graceful stop was asked for.
    Stop,
    /// The process ends.
    Close,
}

/// Sender to the control thread.
#[derive(Clone, Debug)]
pub struct ControlTx(mpsc::Sender<ControlEvent>);

impl ControlTx {
    /// Sends an event; waits while the queue is full.
    pub async fn send(&self, event: ControlEvent) {
        // The receiver is gone only when the process ends.
        let _ = self.0.send(event).await;
    }

    /// Ends the control thread.
    pub fn close(&self) {
        let _ = self.0.blocking_send(ControlEvent::Close);
    }
}

/// A queue to the control thread.
pub fn channel() -> (ControlTx, mpsc::Receiver<ControlEvent>) {
    let (tx, rx) = mpsc::channel(QUEUE);
    (ControlTx(tx), rx)
}

/// The running control thread, and what is told when it ends, by a panic as well.
pub type Running = (JoinHandle<Result<(), DaemonError>>, oneshot::Receiver<()>);

/// Starts the control thread.
pub fn spawn(
    shared: Arc<Shared>,
    tx: ControlTx,
    rx: mpsc::Receiver<ControlEvent>,
    sends: SendQueue,
) -> Result<Running, DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::Thread)?;
    let (running, ended) = oneshot::channel();
    let body = move || {
        let _running: oneshot::Sender<()> = running;
        runtime.block_on(run(shared, tx, rx, sends))
    };
    let builder = thread::Builder::new().name("control".to_owned());
    Ok((builder.spawn(body).map_err(DaemonError::Thread)?, ended))
}

async fn run(
    shared: Arc<Shared>,
    tx: ControlTx,
    mut rx: mpsc::Receiver<ControlEvent>,
    mut sends: SendQueue,
) -> Result<(), DaemonError> {
    let socket = peer::udp::Socket::bind(Arc::clone(&shared)).await?;
    let store = platform::client(&shared.cfg.platform, Arc::clone(&shared.metrics));
    let timers = Timers::start();
    tokio::spawn(peer::udp::receive(socket.clone(), tx.clone()));
    tokio::spawn(crate::reports::read(Arc::clone(&shared), timers.clone()));
    let mut ticks = timers.subscribe(HEARTBEAT_PERIOD).await;
    let mut traffic_ticks = timers.subscribe(TICK_PERIOD).await;
    let mut control = Control::new(shared.me.clone(), &shared.cfg.seeds);
    let mut fx = Vec::new();
    let mut carrier = Carrier { shared: Arc::clone(&shared), socket, store, tx, watch: None };
    log::write(&Event::new(Kind::Started, &shared.cfg.name));
    loop {
        let event = tokio::select! {
            event = rx.recv() => event,
            Some(()) = ticks.recv() => {
                control.handle(clock::now(), Input::WallClockTime(clock::unix_millis()), &mut fx);
                control.handle(clock::now(), Input::Tick, &mut fx);
                None
            }
            Some(()) = traffic_ticks.recv() => {
                shared.decide(|traffic, now| {
                    traffic.set_clock(now, clock::unix_millis());
                    traffic.tick(now);
                });
                None
            }
            Some((to, msg)) = sends.recv() => {
                carrier.socket.send(to, &msg).await;
                None
            }
        };
        match &event {
            Some(ControlEvent::Close) => break,
            Some(ControlEvent::Peer(from, msg)) if is_for_traffic(msg) => {
                shared.decide(|traffic, now| traffic.handle_message(now, *from, msg));
                if let PeerMsg::Rollout(_) = msg {
                    control.handle(clock::now(), Input::Peer { from: *from, msg }, &mut fx);
                }
            }
            Some(event) => control.handle(clock::now(), input(event), &mut fx),
            None => {}
        }
        for effect in fx.drain(..) {
            carrier.perform(effect).await;
        }
    }
    // A release that cannot be recorded in time leaves the seat to a takeover.
    let _ = tokio::time::timeout(RELEASE_LIMIT, platform::release_seat(&carrier.store, &shared.me))
        .await;
    log::write(&Event::new(Kind::Stopped, &shared.cfg.name));
    Ok(())
}

/// Whether a message concerns the request path rather than the control state.
fn is_for_traffic(msg: &PeerMsg) -> bool {
    matches!(
        msg,
        PeerMsg::Rate(_)
            | PeerMsg::Once(_)
            | PeerMsg::Route(_)
            | PeerMsg::Rollout(_)
            | PeerMsg::Crash(_)
    )
}

fn input(event: &ControlEvent) -> Input<'_> {
    match event {
        ControlEvent::Peer(from, msg) => Input::Peer { from: *from, msg },
        ControlEvent::Root(root, asked) => Input::Root { root, read_started: *asked },
        ControlEvent::StoreFailed => Input::StoreFailed,
        ControlEvent::Chunks(chunks) => Input::Chunks(chunks),
        ControlEvent::PeerReply(from, reply) => Input::PeerReply { from: *from, reply },
        ControlEvent::Acks(root, acks) => Input::Acks { root, acks },
        ControlEvent::AckFailed => Input::AckFailed,
        ControlEvent::Stop | ControlEvent::Close => Input::Stop,
    }
}

/// Carries out effects.
struct Carrier {
    shared: Arc<Shared>,
    socket: peer::udp::Socket,
    store: Client,
    tx: ControlTx,
    watch: Option<Watch>,
}

/// The task of a host that watches the store; it ends when this is dropped.
struct Watch(tokio::task::JoinHandle<()>);

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Carrier {
    async fn perform(&mut self, effect: Effect) {
        let (store, tx) = (self.store.clone(), self.tx.clone());
        match effect {
            Effect::Send { to, msg } => self.socket.send(to, &msg).await,
            Effect::CallPeer { to, call } => {
                tokio::spawn(ask_peer(Arc::clone(&self.shared), to, call, tx));
            }
            Effect::WatchStore(true) => self.watch = Some(self.watch()),
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
            Effect::WriteAck(ack) => {
                tokio::spawn(platform::write_ack(store, self.shared.me.domain.clone(), ack, tx));
            }
            Effect::Publish(view) => self.shared.publish(view),
            Effect::UpdateProof(at) => self.shared.decide(|traffic, _| traffic.record_proof(at)),
            Effect::Log(event) => log::write(&event),
        }
    }

    fn watch(&self) -> Watch {
        Watch(tokio::spawn(platform::watch_root(self.store.clone(), self.tx.clone())))
    }
}

async fn ask_peer(shared: Arc<Shared>, to: SocketAddr, call: PeerCall, tx: ControlTx) {
    // A call that fails is asked again when the other host is heard the next time.
    if let Ok(reply) = shared.peers.call(&shared, to, &call, CALL_TIMEOUT).await {
        tx.send(ControlEvent::PeerReply(to, reply)).await;
    }
}
