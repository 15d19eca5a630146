//! The control thread: follows the store and the other hosts and publishes views.

mod beliefs;
mod gossip;
mod orders;
mod registry;
mod rollouts;
mod servers;
mod snapshots;

use std::{
    rc::Rc,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use tokio::{runtime, task::LocalSet};

use self::beliefs::{Beliefs, Kind};
use crate::{
    error::EdgeError,
    shared::{Phase, Shared},
};

/// Longest time of a call to the store, besides the time that a watch waits.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two looks of a host that leaves reading the store to others.
const IDLE_PERIOD: Duration = Duration::from_millis(250);
/// Pause after a first failed call to the store; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failed call to the store.
const MAX_PAUSE: Duration = Duration::from_millis(1200);

/// Time after which the hosts of a fleet that starts for the first time know each other.
const ACQUAINTANCE: Duration = Duration::from_millis(1200);
/// Time for which they wait for what the first readers read.
const FIRST_COPY_TIMEOUT: Duration = Duration::from_secs(4);

/// Starts the control thread.
pub fn spawn(shared: Arc<Shared>) -> Result<JoinHandle<Result<(), EdgeError>>, EdgeError> {
    let build = thread::Builder::new().name("control".to_owned());
    build.spawn(move || run(shared)).map_err(EdgeError::Thread)
}

fn run(shared: Arc<Shared>) -> Result<(), EdgeError> {
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(EdgeError::Thread)?;
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let beliefs = Rc::new(Beliefs::new(Arc::clone(&shared)));
        let sockets = gossip::Sockets::bind(shared.cfg.peers).await?;
        tokio::task::spawn_local(orders::follow(Rc::clone(&beliefs)));
        tokio::task::spawn_local(servers::follow(Rc::clone(&beliefs)));
        tokio::task::spawn_local(registry::follow(Rc::clone(&beliefs)));
        tokio::task::spawn_local(rollouts::follow(Rc::clone(&beliefs)));
        tokio::task::spawn_local(gossip::listen(Rc::clone(&beliefs), Rc::clone(&sockets.udp)));
        tokio::task::spawn_local(gossip::tell(Rc::clone(&beliefs), Rc::clone(&sockets.udp)));
        tokio::task::spawn_local(snapshots::serve(Rc::clone(&beliefs), sockets.tcp));
        tokio::task::spawn_local(snapshots::pull(Rc::clone(&beliefs)));
        tokio::task::spawn_local(follow_terms(Rc::clone(&beliefs)));
        let mut phase = shared.phase();
        while *phase.borrow_and_update() < Phase::Ended {
            if *phase.borrow() >= Phase::Leaving {
                beliefs.leave();
                gossip::tell_once(&beliefs, &sockets.udp);
            }
            if phase.changed().await.is_err() {
                break;
            }
        }
        registry::sign_off(&beliefs).await;
        Ok(())
    })
}

/// Takes over changed bounds for as long as the process runs.
async fn follow_terms(beliefs: Rc<Beliefs>) {
    let mut terms = beliefs.shared.terms();
    while terms.changed().await.is_ok() {
        let changed = terms.borrow_and_update().clone();
        beliefs.set_terms(changed);
    }
}

/// At the first start of the whole fleet, waits until another host has given a copy or this host is
/// one of the first readers: no callers come yet, and many hosts would read the same from the store.
async fn first_reader_or_copy(beliefs: &Beliefs, kind: Kind) {
    if !beliefs.shared.cfg.first_start {
        return;
    }
    tokio::time::sleep(ACQUAINTANCE).await;
    let wait = async {
        while beliefs.at(kind) == 0 && !beliefs.is_reader() {
            tokio::time::sleep(IDLE_PERIOD).await;
        }
    };
    if tokio::time::timeout(FIRST_COPY_TIMEOUT, wait).await.is_err() {
        tracing::info!(event = 315, ?kind, "No host has given a copy; reading the store.");
    }
}

/// Pauses between failed calls, longer after each.
#[derive(Debug)]
struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { next: FIRST_PAUSE }
    }
}

impl Backoff {
    async fn pause(&mut self) {
        let jitter = 0.5 + rand::random::<f64>();
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_PAUSE);
    }

    fn reset(&mut self) {
        self.next = FIRST_PAUSE;
    }
}

/// Logs the loss and the return of a dependency once each.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    is_lost: bool,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Dependency { name, is_lost: false }
    }

    fn lost(&mut self, error: &dyn std::error::Error) {
        if !std::mem::replace(&mut self.is_lost, true) {
            tracing::warn!(event = 310, dependency = self.name, %error, "A dependency was lost.");
        }
    }

    fn regained(&mut self) {
        if std::mem::replace(&mut self.is_lost, false) {
            tracing::info!(event = 311, dependency = self.name, "A dependency is back.");
        }
    }
}
