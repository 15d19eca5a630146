//! The control thread: copies the state of the store and of the other hosts and publishes it as
//! views.

mod change_log;
mod context;
mod gossip;
mod operator_data;
mod registry;
mod rollouts;
mod servers;
mod snapshots;
mod store_gate;
mod usage;

use std::{
    rc::Rc,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use jasminestage_core::{steer::position::StorePosition, time::Instant};
use jasminestage_net::clock;
use jasminestage_platform::store::StoreError;
use tokio::{runtime, task::LocalSet};

pub use self::change_log::describe_crash;
use self::context::{ControlContext, ItemKind};
use crate::{
    error::EdgeError,
    shared::{Phase, Shared},
};

/// Timeout of a call to the store, in addition to the time for which a watch waits.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Period in which a host that does not read the store checks whether it has become a reader.
const READER_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Mean pause after the first failed call to the store; doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Largest mean pause after a failed call to the store.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);

/// Time in which the hosts of a fleet that starts for the first time discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1200);
/// Time for which a host waits for a copy from the readers of its region when its fleet starts for
/// the first time.
const FIRST_COPY_TIMEOUT: Duration = Duration::from_secs(4);

/// Starts the control thread.
pub fn spawn(shared: Arc<Shared>) -> Result<JoinHandle<Result<(), EdgeError>>, EdgeError> {
    let builder = thread::Builder::new().name("control".to_owned());
    builder.spawn(move || run(shared)).map_err(EdgeError::Thread)
}

fn run(shared: Arc<Shared>) -> Result<(), EdgeError> {
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(EdgeError::Thread)?;
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let context = Rc::new(ControlContext::new(Arc::clone(&shared)));
        let sockets = gossip::Sockets::bind(shared.cfg.peers).await?;
        tokio::task::spawn_local({
            let context = Rc::clone(&context);
            async move { context.store_gate.probe(&context).await }
        });
        tokio::task::spawn_local(operator_data::follow(Rc::clone(&context)));
        tokio::task::spawn_local(servers::follow(Rc::clone(&context)));
        tokio::task::spawn_local(registry::maintain_announcement(Rc::clone(&context)));
        tokio::task::spawn_local(rollouts::record_due_states(Rc::clone(&context)));
        tokio::task::spawn_local(gossip::receive(Rc::clone(&context), Rc::clone(&sockets.udp)));
        tokio::task::spawn_local(gossip::broadcast(Rc::clone(&context), Rc::clone(&sockets.udp)));
        tokio::task::spawn_local(snapshots::serve(Rc::clone(&context), sockets.tcp));
        tokio::task::spawn_local(snapshots::pull(Rc::clone(&context)));
        if let Some((address, cfg)) = shared.cfg.usage.duty() {
            shared.with_steering(|steering, _| steering.enable_usage(cfg.window));
            context.observe_time();
            let udp = Rc::clone(&sockets.udp);
            tokio::task::spawn_local(usage::send_counts(Rc::clone(&context), udp));
            tokio::task::spawn_local(usage::report(Rc::clone(&context), address, cfg));
        }
        tokio::task::spawn_local(follow_bounds(Rc::clone(&context)));
        let mut phase = shared.phase();
        while *phase.borrow_and_update() < Phase::Ended {
            if *phase.borrow() >= Phase::Draining {
                context.begin_stop();
                gossip::send_all(&context, &sockets.udp);
            }
            if phase.changed().await.is_err() {
                break;
            }
        }
        registry::withdraw_announcement(&context).await;
        Ok(())
    })
}

/// Applies changed bounds until the process ends.
async fn follow_bounds(context: Rc<ControlContext>) {
    let mut bounds = context.shared.bounds();
    while bounds.changed().await.is_ok() {
        let new_bounds = bounds.borrow_and_update().clone();
        context.set_bounds(new_bounds);
    }
}

/// At the first start of the whole fleet, waits until another host has sent a copy or this host is
/// a reader of the store. Without this wait every host would read the same items from the store at
/// once; there are no callers yet that the wait could delay.
async fn wait_for_first_copy(context: &ControlContext, kind: ItemKind) {
    if !context.shared.cfg.first_start {
        return;
    }
    tokio::time::sleep(DISCOVERY_TIME).await;
    let wait = async {
        while context.position(kind) == StorePosition::default() && !context.is_store_reader() {
            tokio::time::sleep(READER_CHECK_PERIOD).await;
        }
    };
    if tokio::time::timeout(FIRST_COPY_TIMEOUT, wait).await.is_err() {
        tracing::info!(event = 315, ?kind, "No host sent a copy in time; reading the store.");
    }
}

/// Logs a read of the store that failed, with the time for which it waited.
fn log_failed_read(items: &str, called_at: Instant, error: &StoreError) {
    tracing::info!(
        event = 346,
        items,
        waited_ms = clock::now().saturating_since(called_at).as_millis() as u64,
        %error,
        "A read of the store failed."
    );
}

/// Exponential backoff with jitter after failed calls to the store.
#[derive(Debug)]
struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { next: FIRST_BACKOFF }
    }
}

impl Backoff {
    async fn pause(&mut self) {
        let jitter = 0.5 + rand::random::<f64>();
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }

    fn reset(&mut self) {
        self.next = FIRST_BACKOFF;
    }
}

/// Logs the first failure of a dependency and its recovery, once per outage.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    is_failing: bool,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Dependency { name, is_failing: false }
    }

    fn report_failure(&mut self, error: &dyn std::error::Error) {
        if !std::mem::replace(&mut self.is_failing, true) {
            tracing::warn!(
                event = 310,
                dependency = self.name,
                %error,
                "A dependency is unavailable; calls to it are retried."
            );
        }
    }

    fn report_recovery(&mut self) {
        if std::mem::replace(&mut self.is_failing, false) {
            tracing::info!(event = 311, dependency = self.name, "A dependency is available again.");
        }
    }
}
