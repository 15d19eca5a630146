//! Reports usage to the platform while this host has the duty, and sends this host's counts to the
//! relays of its failure domain.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{StreamExt, future::join_all, stream::FuturesUnordered};
use jasminestage_core::{
    steer::usage::{
        Counts, WindowId,
        clock::ClockChange,
        duty::{
            Action, CallOutcome, Collected, Duty, DutyConfig, DutyItem, Notice, Record, Renewal,
            Reply,
        },
    },
    time::Instant,
};
use jasminestage_net::clock;
use jasminestage_platform::{
    keys,
    store::{Condition, Freshness, StoreClient, StoreError},
    usage,
};
use tokio::{net::UdpSocket, sync::Mutex};

use super::{context::ControlContext, gossip, snapshots};
use crate::shared::Phase;

/// Period in which counts are sent.
const COUNTS_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of the query of one relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// Number of relays of a failure domain that are queried at once.
const RELAYS_QUERIED: usize = 2;
/// Timeout of a call to the store as a fraction of the lease. A renewal consists of two calls.
const STORE_TIMEOUT_FRACTION: f64 = 0.4;

/// Sends this host's counts to the relays of its failure domain until the process ends.
pub async fn send_counts(context: Rc<ControlContext>, udp: Rc<UdpSocket>) {
    loop {
        match context.observe_time() {
            ClockChange::None => {}
            ClockChange::StepObserved(step_ms) => tracing::warn!(
                event = 378,
                step_ms,
                "The time of day has jumped; windows of usage follow only if it lasts."
            ),
            ClockChange::StepAdopted(step_ms) => tracing::warn!(
                event = 379,
                step_ms,
                "The windows of usage follow a jump of the time of day that has lasted."
            ),
        }
        if let Some((message, addresses)) = context.due_usage() {
            gossip::send(&udp, &message, &addresses);
        }
        tokio::time::sleep(COUNTS_PERIOD).await;
    }
}

/// Executes the actions of the duty until the process ends.
pub async fn report(context: Rc<ControlContext>, address: SocketAddr, cfg: DutyConfig) {
    let executor = Rc::new(Executor::new(Rc::clone(&context), address, &cfg));
    let mut duty = Duty::new(cfg, context.shared.announcement.incarnation);
    let mut running = FuturesUnordered::new();
    loop {
        let now = clock::now();
        if let Some(era) = context.store_era() {
            duty.observe_era(now, era);
        }
        if let Some(unix_ms) = context.unix_millis() {
            let is_stopping = *context.shared.phase().borrow() >= Phase::Draining;
            let is_candidate = context.is_usage_candidate();
            for action in duty.actions(now, unix_ms, is_candidate, is_stopping) {
                running.push(execute(Rc::clone(&executor), action));
            }
        }
        for notice in duty.take_notices() {
            log_notice(&context, &notice);
        }
        context.shared.metrics.record_usage_token(duty.token().unwrap_or(0));
        let pause = duty.next_check(now).saturating_since(now);
        tokio::select! {
            Some(apply) = running.next(), if !running.is_empty() => {
                let unix_ms = context.unix_millis().unwrap_or_default();
                let jitter = rand::random::<f64>();
                if let Some(next) = apply(&mut duty, clock::now(), unix_ms, jitter) {
                    running.push(execute(Rc::clone(&executor), next));
                }
            }
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Applies the result of an action; returns the action that has to follow at once.
type Apply = Box<dyn FnOnce(&mut Duty, Instant, u64, f64) -> Option<Action>>;

/// Connections for the actions. Those for the duty item and for the records are separate, so that a
/// slow call for a record does not delay a renewal.
struct Executor {
    context: Rc<ControlContext>,
    /// Address of the platform's API.
    address: SocketAddr,
    duty_store: Mutex<StoreClient>,
    records_store: Mutex<StoreClient>,
}

impl Executor {
    fn new(context: Rc<ControlContext>, address: SocketAddr, cfg: &DutyConfig) -> Self {
        let timeout = cfg.lease.mul_f64(STORE_TIMEOUT_FRACTION);
        let store = || Mutex::new(StoreClient::new(context.shared.cfg.store, timeout));
        let (duty_store, records_store) = (store(), store());
        Executor { context, address, duty_store, records_store }
    }

    /// Counts and logs the result of a call to the store.
    fn observe<T>(&self, operation: &'static str, result: Result<T, StoreError>) -> Option<T> {
        self.context.shared.metrics.count_store_call(operation, result.is_ok());
        result
            .inspect_err(|e| {
                tracing::info!(event = 376, operation, error = %e, "A call to the store for the usage reports failed.");
            })
            .ok()
    }

    async fn read_duty(&self, allows_stale: bool) -> Reply<Option<DutyItem>> {
        let mut store = self.duty_store.lock().await;
        let item = if allows_stale {
            let read = store.range(keys::USAGE_DUTY_KEY, Freshness::Stale).await;
            let items = self.observe("range duty", read)?.items;
            let item = items.into_iter().find(|item| item.key == keys::USAGE_DUTY_KEY);
            item.map(|item| usage::decode_duty(&item, 0))
        } else {
            let read = store.get_with_lease(keys::USAGE_DUTY_KEY).await;
            self.observe("get duty", read)?.map(|(item, lease)| usage::decode_duty(&item, lease))
        };
        Some((store.era(), item))
    }

    /// Tries to create the duty item; returns whether the store has answered.
    async fn acquire(&self, era: u64, replaced_revision: u64, ttl: Duration) -> bool {
        let mut store = self.duty_store.lock().await;
        let Some(lease) = self.observe("grant duty lease", store.grant_lease(ttl).await) else {
            return false;
        };
        // The lease may belong to another writer.
        if store.era() != era {
            return true;
        }
        let holder = self.context.shared.announcement.incarnation;
        match usage::duty_write(holder, era, replaced_revision, lease) {
            Ok((condition, put)) => {
                let written = store.write(&[condition], &[put], &[]).await;
                self.observe("write duty", written).is_some()
            }
            Err(e) => {
                tracing::warn!(event = 376, error = %e, "An item for the usage reports could not be encoded.");
                false
            }
        }
    }

    async fn renew(&self, lease: u64) -> Renewal {
        let mut store = self.duty_store.lock().await;
        let renewed = store.renew_lease(lease).await;
        if matches!(renewed, Err(StoreError::LeaseNotFound)) {
            return Renewal::LeaseEnded;
        }
        if self.observe("renew duty", renewed).is_none() {
            return Renewal::Failed;
        }
        let read = store.get_with_lease(keys::USAGE_DUTY_KEY).await;
        let Some(found) = self.observe("get duty", read) else { return Renewal::Failed };
        let item = found.map(|(item, lease)| usage::decode_duty(&item, lease));
        Renewal::Done { era: store.era(), item }
    }

    async fn release(&self, revision: u64) {
        let key = keys::USAGE_DUTY_KEY.to_owned();
        let conditions = [Condition { key: key.clone(), revision }];
        let written = self.duty_store.lock().await.write(&conditions, &[], &[key]).await;
        self.observe("release duty", written);
    }

    async fn read_records(&self) -> Reply<Vec<(WindowId, Option<Record>)>> {
        let mut store = self.records_store.lock().await;
        let read = store.range(keys::USAGE_RECORD_PREFIX, Freshness::Latest).await;
        let items = self.observe("range usage", read)?.items;
        Some((store.era(), items.iter().filter_map(usage::decode_record).collect()))
    }

    async fn read_record(&self, window: WindowId) -> Reply<Option<Option<Record>>> {
        let mut store = self.records_store.lock().await;
        let read = store.get(&usage::record_key(window)).await;
        let found = self.observe("get usage", read)?;
        // A record that cannot be decoded exists nevertheless.
        let record = found.map(|item| usage::decode_record(&item).and_then(|(_, record)| record));
        Some((store.era(), record))
    }

    /// Tries to create a record; returns whether the store has answered.
    async fn create_record(&self, window: WindowId, counts: &Counts, era: u64) -> bool {
        match usage::record_write(window, counts, era) {
            Ok((condition, put)) => {
                let mut store = self.records_store.lock().await;
                let written = store.write(&[condition], &[put], &[]).await;
                self.observe("write usage", written).is_some()
            }
            Err(e) => {
                tracing::warn!(event = 376, error = %e, "An item for the usage reports could not be encoded.");
                false
            }
        }
    }

    async fn remove_records(&self, windows: &[WindowId]) -> bool {
        let keys: Vec<String> = windows.iter().map(|window| usage::record_key(*window)).collect();
        let written = self.records_store.lock().await.write(&[], &[], &keys).await;
        self.observe("remove usage", written).is_some()
    }

    /// Queries the relays of the failure domains that have not answered yet.
    async fn collect(
        &self,
        window: WindowId,
        answered: &BTreeSet<String>,
        era: u64,
        attempt: u32,
    ) -> Collected {
        let domains = self.context.usage_domains();
        let missing = domains.iter().filter(|domain| !answered.contains(&domain.zone));
        let queries = missing.map(|domain| async {
            let offset = attempt as usize * RELAYS_QUERIED % domain.relays.len().max(1);
            let relays = domain.relays.iter().cycle().skip(offset);
            let relays = relays.take(domain.relays.len().min(RELAYS_QUERIED));
            let answers = join_all(relays.map(|relay| self.query(*relay, window, era))).await;
            let is_repeated = answers.iter().flatten().any(|(_, is_repeated)| *is_repeated);
            let difference = answers.into_iter().flatten().map(|(difference, _)| difference).next();
            // A relay has the counts of its failure domain itself.
            let difference = difference.or(domain.is_local.then_some(0));
            difference.map(|difference| (domain.zone.clone(), difference, is_repeated))
        });
        let received: Vec<_> = join_all(queries).await.into_iter().flatten().collect();
        let is_repeated = self.context.record_usage_query(window, era)
            || received.iter().any(|(.., is_repeated)| *is_repeated);
        let answers = received.into_iter().map(|(zone, difference, _)| (zone, difference));
        Collected {
            answers: answers.collect(),
            domains: domains.len(),
            counts: self.context.usage_total(window),
            is_repeated,
        }
    }

    /// Fetches the counts of a window from a relay; returns by how many milliseconds its clock is ahead,
    /// and whether it remembers a query for the window in another era.
    async fn query(&self, relay: SocketAddr, window: WindowId, era: u64) -> Option<(i64, bool)> {
        match snapshots::fetch_usage(relay, window, era, RELAY_TIMEOUT).await {
            Ok(received) => {
                for counts in &received.hosts {
                    self.context.receive_usage(counts);
                }
                let own_ms = self.context.unix_millis()?;
                Some((received.unix_ms as i64 - own_ms as i64, received.is_repeated))
            }
            Err(e) => {
                tracing::debug!(%relay, window, error = %e, "Fetching counts of usage failed.");
                None
            }
        }
    }
}

/// Executes an action and returns how its result is applied.
async fn execute(executor: Rc<Executor>, action: Action) -> Apply {
    match action {
        Action::ReadDuty { allows_stale } => {
            let reply = executor.read_duty(allows_stale).await;
            Box::new(move |duty, now, _, jitter| duty.duty_read(now, allows_stale, reply, jitter))
        }
        Action::Acquire { era, replaced_revision } => {
            let ttl = executor.context.shared.cfg.usage.lease;
            let is_answered = executor.acquire(era, replaced_revision, ttl).await;
            Box::new(move |duty, now, _, jitter| {
                duty.acquire_finished(now, is_answered, jitter);
                None
            })
        }
        Action::Renew { lease } => {
            let sent_at = clock::now();
            let renewal = executor.renew(lease).await;
            Box::new(move |duty, now, _, _| {
                duty.renewed(now, sent_at, renewal);
                None
            })
        }
        Action::Release { revision } => {
            executor.release(revision).await;
            Box::new(|duty, _, _, _| {
                duty.released();
                None
            })
        }
        Action::ReadRecords => {
            let reply = executor.read_records().await;
            Box::new(move |duty, now, _, jitter| {
                duty.records_read(now, reply, jitter);
                None
            })
        }
        Action::ReadRecord { window } => {
            let reply = executor.read_record(window).await;
            Box::new(move |duty, now, _, jitter| {
                duty.record_read(now, window, reply, jitter);
                None
            })
        }
        Action::CreateRecord { window, counts, era } => {
            let is_answered = executor.create_record(window, &counts, era).await;
            Box::new(move |duty, now, _, jitter| {
                duty.record_created(now, window, is_answered, jitter);
                None
            })
        }
        Action::RemoveRecords { windows } => {
            let is_done = executor.remove_records(&windows).await;
            Box::new(move |duty, now, _, _| {
                duty.records_removed(now, &windows, is_done);
                None
            })
        }
        Action::Collect { window, answered, era, attempt } => {
            let collected = executor.collect(window, &answered, era, attempt).await;
            Box::new(move |duty, now, unix_ms, _| {
                duty.collected(now, unix_ms, window, collected);
                None
            })
        }
        Action::Call { window, report, token, until } => {
            let holder = executor.context.shared.cfg.name.as_str();
            let outcome = usage::send_report(executor.address, holder, token, &report, until).await;
            Box::new(move |duty, now, _, jitter| {
                duty.called(now, window, token, outcome, jitter);
                None
            })
        }
    }
}

fn log_notice(context: &ControlContext, notice: &Notice) {
    let metrics = &context.shared.metrics;
    match notice {
        Notice::Acquired { token, wait } => tracing::info!(
            event = 370,
            token,
            wait_ms = wait.as_millis() as u64,
            "This host has the duty to report usage."
        ),
        Notice::Lost { token, reason } => tracing::info!(
            event = 371,
            token,
            reason,
            "This host no longer has the duty to report usage."
        ),
        Notice::Recorded { window } => {
            tracing::info!(event = 372, window, "A usage report is recorded in the store.");
        }
        Notice::Sent { window, token } => {
            metrics.count_usage_report("accepted");
            tracing::info!(event = 373, window, token, "The platform accepted a usage report.");
        }
        Notice::CallFailed { window, token, outcome } => {
            metrics.count_usage_report("failed");
            let status = match outcome {
                CallOutcome::Rejected(status) => *status,
                CallOutcome::Accepted | CallOutcome::NoResponse => 0,
            };
            tracing::info!(
                event = 374,
                window,
                token,
                status,
                "A usage report was not accepted; it is sent again while it is not overdue."
            );
        }
        Notice::Skipped { window, reason } => {
            metrics.count_usage_report("skipped");
            tracing::warn!(event = 375, window, reason, "This host does not report a window.");
        }
    }
}
