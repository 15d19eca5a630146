//! Availability of the store, shared by the parts of the control thread that follow its changes.
//!
//! A call that was sent while the store did not respond may wait for its timeout although the store
//! responds again. After a failed call, all waiting calls are therefore given up, and short reads find
//! out when the store responds.

use std::{rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use jasminestage_net::clock;
use jasminestage_platform::{
    keys,
    store::{StoreClient, StoreError},
};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use super::{
    STORE_TIMEOUT,
    context::{ControlContext, ItemKind},
};

/// Period in which reads are sent until the store responds. Earlier ones may still be waiting, since a
/// slow store responds later.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Longest period, which is reached by doubling, on hosts that others of their failure domain supply
/// with changes.
const MAX_FOLLOWER_PROBE_PERIOD: Duration = Duration::from_millis(3200);
/// Smallest timeout of a call, in addition to the time for which a watch waits.
const MIN_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a call as a multiple of the response time of the last probe.
const TIMEOUT_MULTIPLE: u32 = 3;

/// What the host knows about the store.
#[derive(Clone, Copy, Debug)]
struct Access {
    is_available: bool,
    /// Number of failures reported so far.
    failures: u64,
    /// Timeout of a call, which is longer while the store is slow.
    timeout: Duration,
}

/// Lets calls to the store pass while it is available.
pub struct StoreGate {
    access: watch::Sender<Access>,
}

impl Default for StoreGate {
    fn default() -> Self {
        let access = Access { is_available: true, failures: 0, timeout: MIN_TIMEOUT };
        StoreGate { access: watch::Sender::new(access) }
    }
}

impl StoreGate {
    /// Waits until the store is available and makes a call, which is given up when any other call to
    /// the store fails meanwhile.
    pub async fn call<T>(
        &self,
        store: &mut StoreClient,
        call: impl AsyncFnOnce(&mut StoreClient) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut access = self.access.subscribe();
        let Ok(Access { failures, timeout, .. }) =
            access.wait_for(|a| a.is_available).await.map(|a| *a)
        else {
            return Err(given_up());
        };
        store.set_timeout(timeout);
        let result = tokio::select! {
            biased;
            result = call(store) => result,
            _ = access.wait_for(|a| a.failures > failures) => return Err(given_up()),
        };
        if result.as_ref().is_err_and(is_unavailable) {
            self.report_failure();
        }
        result
    }

    /// Reports that a call failed or that other hosts cannot reach the store, so that all waiting calls
    /// are given up and the next ones wait for a short read.
    pub fn report_failure(&self) {
        self.access.send_modify(|a| {
            a.is_available = false;
            a.failures += 1;
        });
    }

    /// Sends reads while the store is unavailable, until the process ends.
    pub async fn probe(&self, context: &Rc<ControlContext>) {
        let mut access = self.access.subscribe();
        while access.wait_for(|a| !a.is_available).await.is_ok() {
            let outage_began = Instant::now();
            let response_time = wait_for_response(context).await;
            let timeout = (response_time * TIMEOUT_MULTIPLE).clamp(MIN_TIMEOUT, STORE_TIMEOUT);
            tracing::info!(
                event = 344,
                after_ms = outage_began.elapsed().as_millis() as u64,
                response_ms = response_time.as_millis() as u64,
                timeout_ms = timeout.as_millis() as u64,
                "The store responds again after a failed call."
            );
            self.access.send_modify(|a| {
                a.is_available = true;
                a.timeout = timeout;
            });
        }
    }
}

fn given_up() -> StoreError {
    StoreError::NoResponse("the call was given up, since another one failed".to_owned())
}

/// Whether an error shows that the store did not respond or cannot execute calls at present.
fn is_unavailable(error: &StoreError) -> bool {
    match error {
        StoreError::Unreachable { .. } | StoreError::NoResponse(_) => true,
        StoreError::Rejected(status) => *status == 429 || *status >= 500,
        _ => false,
    }
}

/// Sends reads until one is answered; returns its response time.
async fn wait_for_response(context: &Rc<ControlContext>) -> Duration {
    let mut pending = FuturesUnordered::new();
    let mut period = PROBE_PERIOD;
    loop {
        pending.push(probe_once(context));
        let jitter = 0.75 + rand::random::<f64>() / 2.0;
        let pause = sleep(period.mul_f64(jitter));
        tokio::pin!(pause);
        loop {
            tokio::select! {
                Some(outcome) = pending.next(), if !pending.is_empty() => {
                    if let Some(response_time) = outcome {
                        return response_time;
                    }
                }
                () = &mut pause => break,
            }
        }
        if !context.is_relay() {
            period = (period * 2).min(MAX_FOLLOWER_PROBE_PERIOD);
        }
    }
}

/// Sends a read on a connection of its own; returns the response time if the store executed it.
async fn probe_once(context: &Rc<ControlContext>) -> Option<Duration> {
    let mut store = StoreClient::new(context.shared.cfg.store, STORE_TIMEOUT);
    let (called_at, started) = (clock::now(), Instant::now());
    let after = context.position(ItemKind::Orders);
    let result = store.watch(keys::OPERATOR_PREFIX, after, Duration::ZERO).await;
    let is_answered = !result.as_ref().is_err_and(is_unavailable);
    context.shared.metrics.count_store_call("probe", is_answered);
    if !is_answered {
        context.record_failed_store_read(called_at);
    }
    is_answered.then(|| started.elapsed())
}
