//! The timer service: subscribers get a tick after each period.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use slab::Slab;
use tokio::{sync::mpsc, time::Instant};

struct Subscription {
    period: Duration,
    tx: mpsc::Sender<()>,
}

enum Request {
    Subscribe(Subscription),
}

/// Handle to the timer service.
#[derive(Clone)]
pub struct Timers {
    tx: mpsc::Sender<Request>,
}

impl Timers {
    /// Starts the service on the current runtime.
    pub fn start() -> Timers {
        let (tx, rx) = mpsc::channel(16);
        tokio::spawn(run(rx));
        Timers { tx }
    }

    /// Subscribes to a period; at most one tick is queued, so a slow subscriber misses ticks.
    pub async fn subscribe(&self, period: Duration) -> mpsc::Receiver<()> {
        let (tx, rx) = mpsc::channel(1);
        let sent = self.tx.send(Request::Subscribe(Subscription { period, tx })).await;
        debug_assert!(sent.is_ok(), "the timer service runs as long as its runtime");
        rx
    }
}

async fn run(mut rx: mpsc::Receiver<Request>) {
    let mut subscriptions: Slab<Subscription> = Slab::new();
    let mut due: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
    loop {
        let next = due.peek().map(|Reverse((at, _))| *at);
        tokio::select! {
            req = rx.recv() => match req {
                Some(Request::Subscribe(subscription)) => {
                    let at = Instant::now() + subscription.period;
                    due.push(Reverse((at, subscriptions.insert(subscription))));
                }
                None if due.is_empty() => return,
                None => send_due_tick(&mut subscriptions, &mut due).await,
            },
            () = sleep_until_due(next) => send_due_tick(&mut subscriptions, &mut due).await,
        }
    }
}

async fn sleep_until_due(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

async fn send_due_tick(
    subscriptions: &mut Slab<Subscription>,
    due: &mut BinaryHeap<Reverse<(Instant, usize)>>,
) {
    let Some(Reverse((at, key))) = due.pop() else { return };
    tokio::time::sleep_until(at).await;
    let subscription = &subscriptions[key];
    if matches!(subscription.tx.try_send(()), Err(mpsc::error::TrySendError::Closed(()))) {
        subscriptions.remove(key);
        return;
    }
    due.push(Reverse((Instant::now() + subscription.period, key)));
}
