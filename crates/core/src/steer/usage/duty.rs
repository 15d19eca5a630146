//! The duty to report usage: which host has it, which windows it records and when it may call the
//! platform.
//!
//! The machine gets times and results, and returns the next actions. It has a lane for each kind of
//! action, with at most one action in progress, so that slow ones do not delay the renewals.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    COLLECTION_END, Counts, WindowId,
    clock::{end_of, start_of},
};
use crate::{
    host::Incarnation,
    steer::position::StorePosition,
    time::{Instant, UnixMillis},
};

/// Time after the end of a window at which its counts are collected, since hosts send them every
/// second.
const COLLECTION_START: Duration = Duration::from_secs(2);
/// Pause between two collections of the same window.
const COLLECTION_PERIOD: Duration = Duration::from_millis(500);
/// Maximum duration of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time in which a call is worth beginning.
const MIN_CALL_TIME: Duration = Duration::from_millis(100);
/// Mean pause after a call that failed for another reason than the limit on calls.
const CALL_BACKOFF: Duration = Duration::from_millis(300);
/// Mean pause after a failed call to the store.
const STORE_BACKOFF: Duration = Duration::from_millis(300);
/// Number of newest windows whose records are kept in the store and in memory.
const RETAINED_RECORDS: u64 = 60;
/// No record is created for a window that is this much older than the newest record: its own record
/// may soon be removed, after which another one could be created.
const MAX_RECORD_DISTANCE: u64 = RETAINED_RECORDS / 2;
/// Largest number of records that are removed at once.
const MAX_REMOVALS: usize = 20;
/// Number of reports in a row that are overdue for lack of a response of the platform, after which
/// the host leaves the duty to another one, which may reach the platform.
const MAX_UNANSWERED_REPORTS: u32 = 3;
/// Time for which a host then does not try to get the duty, also if its clock is wrong.
const FAILED_HOLDER_PAUSE: Duration = Duration::from_secs(20);
/// Largest difference between the clocks of the holder and of most failure domains with which a record
/// is created. The windows of two holders differ by less than the reserve of one window and
/// [`COLLECTION_START`] that is kept after a restore of the store.
const MAX_CLOCK_ERROR_MS: u64 = 1500;
/// Number of windows after which skipped ones are no longer logged, after a long time without the duty.
const MAX_LOGGED_SKIPS: u64 = 12;

/// Bits of the token below the era; the token stays below 2^53.
const TOKEN_REVISION_BITS: u32 = 40;

/// Settings of the duty.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyConfig {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub due_after: Duration,
    /// Time after which the duty is free unless it is renewed.
    pub lease: Duration,
    /// Calls per second that the platform accepts from all hosts together.
    pub calls_per_second: f64,
}

impl Default for DutyConfig {
    fn default() -> Self {
        DutyConfig {
            window: Duration::from_secs(5),
            due_after: Duration::from_secs(10),
            lease: Duration::from_secs(3),
            calls_per_second: 50.0,
        }
    }
}

impl DutyConfig {
    /// Time by which the holder stops before its lease ends, and by which a new holder waits longer.
    /// The bytes of a call may be on their way for that long.
    fn margin(&self) -> Duration {
        self.lease / 6
    }

    /// Time for which a new holder waits before its first call.
    fn takeover_wait(&self) -> Duration {
        self.lease + self.margin()
    }

    fn renewal_period(&self) -> Duration {
        self.lease / 4
    }
}

/// The duty item in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyItem {
    /// The holder.
    pub holder: Incarnation,
    /// Era of the store that the holder knew when it wrote the item.
    pub written_era: u64,
    /// Position at which the item was created.
    pub position: StorePosition,
    /// Lease whose end removes the item; 0 if the read does not return it.
    pub lease: u64,
}

impl DutyItem {
    /// Token of calls under this item. It rises with each item that is created.
    pub fn token(&self) -> u64 {
        (self.position.era << TOKEN_REVISION_BITS) + self.position.revision
    }
}

/// A recorded report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Era of the store that the host knew which wrote the record.
    pub written_era: u64,
    /// Bytes of the report.
    pub report: Arc<[u8]>,
}

/// Result of a read of the store with the era of the response; `None` if it failed.
pub type Reply<T> = Option<(u64, T)>;

/// Result of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The lease was renewed in this era, and then this item was read.
    Done {
        /// Era of both responses.
        era: u64,
        /// The duty item.
        item: Option<DutyItem>,
    },
    /// The lease does not exist.
    LeaseEnded,
    /// A call failed, or the responses are of different eras.
    Failed,
}

/// Result of a query of the failure domains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Collected {
    /// Failure domains that have answered, and by how many milliseconds their clocks are ahead of the
    /// clock of this host.
    pub answers: Vec<(String, i64)>,
    /// Number of failure domains with hosts.
    pub domains: usize,
    /// Counts of the window that are known so far, of all hosts.
    pub counts: Counts,
    /// Whether a host remembers that the window was collected in another era of the store.
    pub is_repeated: bool,
}

/// Result of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform accepted the report.
    Accepted,
    /// The platform answered with another status.
    Rejected(u16),
    /// The call was given up before the request was sent, or its response was lost.
    NoResponse,
}

/// An action that the layer around the machine executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the duty item.
    ReadDuty {
        /// Whether a state that is seconds old is sufficient.
        allows_stale: bool,
    },
    /// Request a lease in this era and create the duty item, if it has this revision (0: does not
    /// exist).
    Acquire {
        /// Era in which the lease must be granted; it is written into the item.
        era: u64,
        /// Revision of the item that is replaced; 0 if there must be none.
        replaced_revision: u64,
    },
    /// Renew the lease, then read the duty item.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Remove the duty item if it has this revision.
    Release {
        /// Revision of the item.
        revision: u64,
    },
    /// Read all records.
    ReadRecords,
    /// Read the record of a window.
    ReadRecord {
        /// The window.
        window: WindowId,
    },
    /// Create the record of a window on the condition that there is none.
    CreateRecord {
        /// The window.
        window: WindowId,
        /// Counts of the report.
        counts: Counts,
        /// Era that is written into the record.
        era: u64,
    },
    /// Remove old records.
    RemoveRecords {
        /// Their windows.
        windows: Vec<WindowId>,
    },
    /// Query the relays of the failure domains for the counts of a window.
    Collect {
        /// The window.
        window: WindowId,
        /// Failure domains that have answered already.
        answered: BTreeSet<String>,
        /// Era in which the window is to be recorded.
        era: u64,
        /// Number of earlier queries for the window.
        attempt: u32,
    },
    /// Send a report to the platform.
    Call {
        /// The window.
        window: WindowId,
        /// Bytes of the report.
        report: Arc<[u8]>,
        /// Token of the holder.
        token: u64,
        /// Time after which no byte may be sent; the call is given up then.
        until: Instant,
    },
}

/// Something that operators are told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This host has got the duty; it calls the platform after the wait.
    Acquired {
        /// Token of its calls.
        token: u64,
        /// Time until its first call.
        wait: Duration,
    },
    /// This host has lost or released the duty.
    Lost {
        /// Token of its calls.
        token: u64,
        /// Why.
        reason: &'static str,
    },
    /// A report is recorded in the store.
    Recorded {
        /// The window.
        window: WindowId,
    },
    /// The platform accepted a report.
    Sent {
        /// The window.
        window: WindowId,
        /// Token of the call.
        token: u64,
    },
    /// A call to the platform failed.
    CallFailed {
        /// The window.
        window: WindowId,
        /// Token of the call.
        token: u64,
        /// Its outcome.
        outcome: CallOutcome,
    },
    /// A window is not reported by this host.
    Skipped {
        /// The window.
        window: WindowId,
        /// Why.
        reason: &'static str,
    },
}

#[derive(Clone, Debug)]
struct Held {
    item: DutyItem,
    /// Earliest time of the first call.
    first_call_at: Instant,
    /// Time until which this host may call the platform.
    valid_until: Instant,
    renew_at: Instant,
    /// Whether the records were read since the duty was acquired.
    has_records: bool,
}

/// State of a window whose report is not recorded yet.
#[derive(Clone, Debug, Default)]
struct Collection {
    /// Failure domains that have answered, with the difference of their clocks in milliseconds.
    answered: BTreeMap<String, i64>,
    attempts: u32,
    next_at: Instant,
    /// Counts of the report, once they are complete or the time is over.
    report: Option<Counts>,
    /// Whether the record was written, so that it has to be read back.
    is_written: bool,
}

/// State of the duty on one host.
#[derive(Clone, Debug)]
pub struct Duty {
    cfg: DutyConfig,
    own: Incarnation,
    /// Newest era of the store, and when this host first saw it.
    era: Option<(u64, Instant)>,
    held: Option<Held>,
    /// Time of day less the boot-time clock, in milliseconds.
    clock_offset_ms: Option<i64>,
    read_at: Instant,
    /// Whether the next read of the duty item must be of the newest state.
    needs_latest: bool,
    candidate_from: Instant,
    /// End of the last call, and its token.
    last_call: Option<(Instant, u64)>,
    next_call_at: Instant,
    records_at: Instant,
    /// Window whose record has to be read next.
    record_to_read: Option<WindowId>,
    collections: BTreeMap<WindowId, Collection>,
    /// Largest number of failure domains with hosts that was seen.
    domains: usize,
    /// Reports that are certainly the recorded ones.
    reports: BTreeMap<WindowId, Arc<[u8]>>,
    /// Windows with a record of this era in the store, whoever wrote it.
    stored: BTreeSet<WindowId>,
    /// Windows whose report was accepted, or that are never sent by this host.
    finished: BTreeSet<WindowId>,
    /// First window that is neither finished nor overdue.
    next_window: Option<WindowId>,
    is_duty_busy: bool,
    is_records_busy: bool,
    is_collecting: bool,
    is_calling: bool,
    /// Whether the last call got no response.
    is_unanswered: bool,
    /// Number of reports in a row that were not accepted in time for lack of a response.
    unanswered_reports: u32,
    notices: Vec<Notice>,
}

impl Duty {
    /// Creates the state of a process that has just started.
    pub fn new(cfg: DutyConfig, own: Incarnation) -> Self {
        Duty {
            cfg,
            own,
            era: None,
            held: None,
            clock_offset_ms: None,
            read_at: Instant::ZERO,
            needs_latest: false,
            candidate_from: Instant::ZERO,
            last_call: None,
            next_call_at: Instant::ZERO,
            records_at: Instant::ZERO,
            record_to_read: None,
            collections: BTreeMap::new(),
            domains: 0,
            reports: BTreeMap::new(),
            stored: BTreeSet::new(),
            finished: BTreeSet::new(),
            next_window: None,
            is_duty_busy: false,
            is_records_busy: false,
            is_collecting: false,
            is_calling: false,
            is_unanswered: false,
            unanswered_reports: 0,
            notices: Vec::new(),
        }
    }

    /// Whether this host has the duty, as far as it knows.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Token of the duty, if this host has it.
    pub fn token(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.item.token())
    }

    /// Returns what has happened since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Applies the era of a response of the store, also to other calls of this host. A host that has
    /// the duty of an earlier era loses it.
    pub fn observe_era(&mut self, now: Instant, era: u64) {
        if self.era.is_some_and(|(known, _)| known >= era) {
            return;
        }
        self.era = Some((era, now));
        self.stored.clear();
        self.record_to_read = None;
        for collection in self.collections.values_mut() {
            collection.is_written = false;
        }
        if self.held.as_ref().is_some_and(|held| held.item.position.era != era) {
            self.lose(now, "the store was restored from a copy");
        }
    }

    /// Returns the actions that are due. `unix_ms` is the filtered time of day, `is_candidate` whether
    /// this host should try to get the duty, `is_stopping` whether the process is about to end.
    pub fn actions(
        &mut self,
        now: Instant,
        unix_ms: UnixMillis,
        is_candidate: bool,
        is_stopping: bool,
    ) -> Vec<Action> {
        self.check_clock(now, unix_ms);
        self.skip_overdue(now, unix_ms);
        let mut actions = Vec::new();
        actions.extend(self.duty_action(now, is_candidate && !is_stopping, is_stopping));
        if self.held.is_some() {
            self.open_collections(now, unix_ms);
            actions.extend(self.records_action(now, unix_ms));
            actions.extend(self.collect_action(now));
            actions.extend(self.call_action(now, unix_ms));
        }
        actions
    }

    /// Gives the duty up when the time of day has jumped. A holder whose clock was set back would
    /// otherwise wait until it passes the windows that it has reported.
    fn check_clock(&mut self, now: Instant, unix_ms: UnixMillis) {
        let offset_ms = unix_ms as i64 - (now.as_micros() / 1000) as i64;
        let before = self.clock_offset_ms.replace(offset_ms);
        let has_jumped = before.is_some_and(|b| b.abs_diff(offset_ms) > MAX_CLOCK_ERROR_MS);
        if has_jumped && self.held.is_some() {
            self.candidate_from = now + FAILED_HOLDER_PAUSE;
            self.lose(now, "its time of day has jumped");
        }
    }

    fn duty_action(
        &mut self,
        now: Instant,
        is_candidate: bool,
        is_stopping: bool,
    ) -> Option<Action> {
        if self.is_duty_busy {
            return None;
        }
        let action = match &mut self.held {
            // The duty is released after the last call has ended.
            Some(_) if is_stopping && self.is_calling => return None,
            Some(held) if is_stopping => {
                let revision = held.item.position.revision;
                self.lose(now, "the host is stopping");
                Action::Release { revision }
            }
            Some(held) if now >= held.renew_at => Action::Renew { lease: held.item.lease },
            Some(_) => return None,
            None if is_candidate && now >= self.read_at.max(self.candidate_from) => {
                Action::ReadDuty { allows_stale: !self.needs_latest }
            }
            None => return None,
        };
        self.is_duty_busy = true;
        Some(action)
    }

    /// Applies the result of [`Action::ReadDuty`]; returns the action that has to follow. `jitter` is
    /// between 0 and 1.
    pub fn duty_read(
        &mut self,
        now: Instant,
        allows_stale: bool,
        reply: Reply<Option<DutyItem>>,
        jitter: f64,
    ) -> Option<Action> {
        self.is_duty_busy = false;
        let Some((era, item)) = self.accept_reply(now, reply) else {
            self.read_at = now + STORE_BACKOFF.mul_f64(1.0 + jitter);
            return None;
        };
        let is_valid = |item: &DutyItem| item.written_era == era && item.position.era == era;
        match item {
            // The holder of an item that was written in an earlier era does not call any more.
            Some(item) if is_valid(&item) && item.holder != self.own => {
                self.needs_latest = false;
                self.read_at = now + self.cfg.lease.mul_f64(0.75 + jitter / 2.0);
                None
            }
            _ if allows_stale => {
                self.needs_latest = true;
                self.read_at = now;
                None
            }
            Some(item) if is_valid(&item) => {
                self.needs_latest = false;
                self.hold(now, item);
                None
            }
            replaced => {
                self.is_duty_busy = true;
                let replaced_revision = replaced.map_or(0, |item| item.position.revision);
                Some(Action::Acquire { era, replaced_revision })
            }
        }
    }

    /// Applies the end of [`Action::Acquire`], whether or not it succeeded: the item is read back.
    pub fn acquire_finished(&mut self, now: Instant, is_answered: bool, jitter: f64) {
        self.is_duty_busy = false;
        self.needs_latest = true;
        let pause = STORE_BACKOFF.mul_f64(1.0 + jitter);
        self.read_at = if is_answered { now } else { now + pause };
    }

    /// Applies the result of [`Action::Renew`], whose first request was sent at `sent_at`.
    pub fn renewed(&mut self, now: Instant, sent_at: Instant, renewal: Renewal) {
        self.is_duty_busy = false;
        if let Renewal::Done { era, .. } = renewal {
            self.observe_era(now, era);
        }
        let (lease, margin) = (self.cfg.lease, self.cfg.margin());
        let (period, backoff) = (self.cfg.renewal_period(), STORE_BACKOFF);
        let Some(held) = &mut self.held else { return };
        match renewal {
            Renewal::Done { item: Some(item), .. } if item == held.item => {
                held.valid_until = held.valid_until.max(sent_at + (lease - margin));
                held.renew_at = sent_at + period;
            }
            Renewal::Done { era, .. } if era == held.item.position.era => {
                self.lose(now, "another host or none has it");
            }
            Renewal::LeaseEnded => self.lose(now, "its lease has ended"),
            Renewal::Done { .. } | Renewal::Failed => held.renew_at = now + backoff,
        }
    }

    /// Applies the end of [`Action::Release`].
    pub fn released(&mut self) {
        self.is_duty_busy = false;
    }

    fn hold(&mut self, now: Instant, item: DutyItem) {
        let wait = self.cfg.takeover_wait();
        self.held = Some(Held {
            item,
            first_call_at: now + wait,
            valid_until: Instant::ZERO,
            renew_at: now,
            has_records: false,
        });
        self.records_at = now;
        self.unanswered_reports = 0;
        self.notices.push(Notice::Acquired { token: item.token(), wait });
    }

    fn lose(&mut self, now: Instant, reason: &'static str) {
        if let Some(held) = self.held.take() {
            self.notices.push(Notice::Lost { token: held.item.token(), reason });
        }
        self.needs_latest = false;
        self.read_at = now;
        self.record_to_read = None;
        for collection in self.collections.values_mut() {
            collection.is_written = false;
        }
    }

    /// Accepts a response unless it is of an earlier era than another one before.
    fn accept_reply<T>(&mut self, now: Instant, reply: Reply<T>) -> Reply<T> {
        let (era, value) = reply?;
        self.observe_era(now, era);
        (self.era?.0 == era).then_some((era, value))
    }

    fn due_at(&self, window: WindowId) -> UnixMillis {
        end_of(window, self.cfg.window) + self.cfg.due_after.as_millis() as u64
    }

    /// Moves past windows that are finished or overdue.
    fn skip_overdue(&mut self, now: Instant, unix_ms: UnixMillis) {
        let length_ms = (self.cfg.window.as_millis() as u64).max(1);
        let current = unix_ms / length_ms;
        let due_windows = (self.cfg.due_after.as_millis() as u64).div_ceil(length_ms);
        // Before the first duty of this host, overdue windows are the former holder's.
        let next = match self.next_window {
            Some(next) => next,
            None if self.held.is_none() => return,
            None => unix_ms.saturating_sub(due_windows * length_ms) / length_ms,
        };
        // After the clock was set back, or a long time without the duty, windows are counted from there.
        let oldest = current.saturating_sub(due_windows + MAX_LOGGED_SKIPS);
        let mut window = next.clamp(oldest, current);
        while self.due_at(window) <= unix_ms || self.finished.contains(&window) {
            if self.finished.insert(window) && self.held.is_some() {
                let is_recorded = self.reports.contains_key(&window);
                self.unanswered_reports += u32::from(is_recorded && self.is_unanswered);
                let reason = if is_recorded {
                    "it was not accepted in time"
                } else {
                    "it was not recorded in time"
                };
                self.notices.push(Notice::Skipped { window, reason });
            }
            window += 1;
        }
        self.next_window = Some(window);
        let oldest_kept = current.saturating_sub(RETAINED_RECORDS);
        // After the clock was set back, windows that were overdue by the earlier time are still to come.
        self.finished.retain(|w| *w <= current);
        self.reports.retain(|w, _| *w >= oldest_kept);
        self.finished.retain(|w| *w >= oldest_kept);
        self.collections.retain(|w, _| *w >= window);
        if self.unanswered_reports >= MAX_UNANSWERED_REPORTS && self.held.is_some() {
            self.candidate_from = now + FAILED_HOLDER_PAUSE;
            self.lose(now, "the platform does not answer it");
        }
    }

    /// Whether a record of the window may be created. After a restore of the store, windows that may
    /// have been recorded in the lost seconds are left out, with a whole window as reserve for clocks
    /// that differ.
    fn may_create(&self, now: Instant, unix_ms: UnixMillis, window: WindowId) -> bool {
        let Some((_, first_seen_at)) = self.era else { return false };
        let era_age_ms = now.saturating_since(first_seen_at).as_millis() as u64;
        let first_seen_ms = unix_ms.saturating_sub(era_age_ms);
        let newest = self.stored.last().copied().unwrap_or_default();
        start_of(window, self.cfg.window) >= first_seen_ms && window + MAX_RECORD_DISTANCE > newest
    }

    /// Begins to collect windows that have ended.
    fn open_collections(&mut self, now: Instant, unix_ms: UnixMillis) {
        let Some(first) = self.next_window else { return };
        if !self.held.as_ref().is_some_and(|held| held.has_records) {
            return;
        }
        let mut window = first;
        while end_of(window, self.cfg.window) + COLLECTION_START.as_millis() as u64 <= unix_ms {
            let is_known = self.finished.contains(&window)
                || self.reports.contains_key(&window)
                || self.collections.contains_key(&window);
            if !is_known {
                if self.may_create(now, unix_ms, window) {
                    self.collections.insert(window, Collection::default());
                } else {
                    let reason = "it may have been reported before the store was restored or this \
                                  host started";
                    self.skip(window, reason);
                }
            }
            window += 1;
        }
    }

    fn skip(&mut self, window: WindowId, reason: &'static str) {
        self.collections.remove(&window);
        if self.finished.insert(window) {
            self.notices.push(Notice::Skipped { window, reason });
        }
    }

    fn records_action(&mut self, now: Instant, unix_ms: UnixMillis) -> Option<Action> {
        if self.is_records_busy || now < self.records_at {
            return None;
        }
        let (era, _) = self.era?;
        let has_records = self.held.as_ref()?.has_records;
        let action = if !has_records {
            Action::ReadRecords
        } else if let Some(window) = self.record_to_read {
            Action::ReadRecord { window }
        } else if let Some((window, collection)) = self
            .collections
            .iter()
            .find(|(_, c)| c.report.is_some() && !c.is_written)
            .map(|(w, c)| (*w, c.clone()))
        {
            if !self.may_create(now, unix_ms, window) {
                self.skip(window, "the store was restored from a copy meanwhile");
                return None;
            }
            Action::CreateRecord { window, counts: collection.report?, era }
        } else {
            let newest = self.stored.last().copied().unwrap_or_default();
            let old = self.stored.iter().copied().take_while(|w| w + RETAINED_RECORDS < newest);
            let windows: Vec<WindowId> = old.take(MAX_REMOVALS).collect();
            if windows.is_empty() {
                return None;
            }
            Action::RemoveRecords { windows }
        };
        self.is_records_busy = true;
        Some(action)
    }

    /// Applies the result of [`Action::ReadRecords`].
    pub fn records_read(
        &mut self,
        now: Instant,
        reply: Reply<Vec<(WindowId, Option<Record>)>>,
        jitter: f64,
    ) {
        self.is_records_busy = false;
        let Some((era, records)) = self.accept_reply(now, reply) else {
            self.records_at = now + STORE_BACKOFF.mul_f64(1.0 + jitter);
            return;
        };
        for (window, record) in records {
            self.apply_record(window, era, record);
        }
        if let Some(held) = self.held.as_mut().filter(|held| held.item.position.era == era) {
            held.has_records = true;
        }
    }

    /// Applies the result of [`Action::ReadRecord`].
    pub fn record_read(
        &mut self,
        now: Instant,
        window: WindowId,
        reply: Reply<Option<Option<Record>>>,
        jitter: f64,
    ) {
        self.is_records_busy = false;
        let Some((era, found)) = self.accept_reply(now, reply) else {
            self.records_at = now + STORE_BACKOFF.mul_f64(1.0 + jitter);
            return;
        };
        if self.record_to_read == Some(window) {
            self.record_to_read = None;
        }
        match found {
            Some(record) => self.apply_record(window, era, record),
            // The write was not executed, or is executed later with the same bytes.
            None => {
                if let Some(collection) = self.collections.get_mut(&window) {
                    collection.is_written = false;
                }
            }
        }
    }

    /// Applies the end of [`Action::CreateRecord`], whether or not it succeeded: the record is read
    /// back.
    pub fn record_created(
        &mut self,
        now: Instant,
        window: WindowId,
        is_answered: bool,
        jitter: f64,
    ) {
        self.is_records_busy = false;
        if let Some(collection) = self.collections.get_mut(&window) {
            collection.is_written = true;
            self.record_to_read = Some(window);
        }
        if !is_answered {
            self.records_at = now + STORE_BACKOFF.mul_f64(jitter);
        }
    }

    /// Applies the result of [`Action::RemoveRecords`].
    pub fn records_removed(&mut self, now: Instant, windows: &[WindowId], is_done: bool) {
        self.is_records_busy = false;
        if is_done {
            for window in windows {
                self.stored.remove(window);
            }
        } else {
            self.records_at = now + STORE_BACKOFF;
        }
    }

    /// Takes over the record of a window. One that was written in an earlier era, or cannot be read, is
    /// not sent: a write that was delayed past a restore may have created it after another one was lost.
    fn apply_record(&mut self, window: WindowId, era: u64, record: Option<Record>) {
        self.stored.insert(window);
        let record = record.filter(|r| r.written_era == era);
        match (self.reports.get(&window), record) {
            (None, Some(record)) => {
                self.collections.remove(&window);
                self.reports.insert(window, record.report);
                self.notices.push(Notice::Recorded { window });
            }
            (Some(own), Some(record)) if *own != record.report => {
                self.skip(window, "there are two different records");
            }
            // What this host has recorded itself is the report, whatever the store has lost.
            (Some(_), _) => {
                self.collections.remove(&window);
            }
            (None, None) => {
                if self.next_window.is_some_and(|next| window >= next) {
                    self.skip(window, "its record was written before the store was restored");
                }
            }
        }
    }

    fn collect_action(&mut self, now: Instant) -> Option<Action> {
        if self.is_collecting {
            return None;
        }
        let (era, _) = self.era?;
        let is_due = |c: &Collection| c.report.is_none() && now >= c.next_at;
        let (window, collection) = self.collections.iter_mut().find(|(_, c)| is_due(c))?;
        let answered = collection.answered.keys().cloned().collect();
        let action =
            Action::Collect { window: *window, answered, era, attempt: collection.attempts };
        collection.attempts += 1;
        self.is_collecting = true;
        Some(action)
    }

    /// Applies the result of [`Action::Collect`].
    pub fn collected(
        &mut self,
        now: Instant,
        unix_ms: UnixMillis,
        window: WindowId,
        collected: Collected,
    ) {
        self.is_collecting = false;
        let end = end_of(window, self.cfg.window) + COLLECTION_END.as_millis() as u64;
        let Some(collection) = self.collections.get_mut(&window) else { return };
        collection.answered.extend(collected.answers);
        collection.next_at = now + COLLECTION_PERIOD;
        self.domains = self.domains.max(collected.domains);
        let answered = collection.answered.len();
        let is_near = |difference: &&i64| difference.unsigned_abs() <= MAX_CLOCK_ERROR_MS;
        let near = collection.answered.values().filter(is_near).count();
        if collected.is_repeated {
            self.skip(window, "it was collected before the store was restored");
        } else if collection.report.is_some() || (answered < collected.domains && unix_ms < end) {
        } else if !is_majority(answered, self.domains) {
            self.skip(window, "most failure domains did not answer");
        } else if !is_majority(near, self.domains) {
            self.skip(window, "the clock of this host differs from those of the others");
            self.candidate_from = now + FAILED_HOLDER_PAUSE;
            self.lose(now, "its clock differs from those of the others");
        } else {
            collection.report = Some(collected.counts);
        }
    }

    fn call_action(&mut self, now: Instant, unix_ms: UnixMillis) -> Option<Action> {
        let held = self.held.as_ref()?;
        let until = held.valid_until.min(now + CALL_TIMEOUT);
        let may_call = !self.is_calling
            && held.has_records
            && now >= held.first_call_at
            && now >= self.next_call_at
            && now + MIN_CALL_TIME < until;
        if !may_call {
            return None;
        }
        let token = held.item.token();
        // A call under an earlier token may have ended after this host got the duty again.
        let wait = self.cfg.takeover_wait();
        if self.last_call.is_some_and(|(at, earlier)| earlier != token && now < at + wait) {
            return None;
        }
        let next = self.next_window?;
        let (window, report) = self
            .reports
            .range(next..)
            .find(|(w, _)| !self.finished.contains(w) && unix_ms < self.due_at(**w))?;
        self.is_calling = true;
        self.last_call = Some((now, token));
        Some(Action::Call { window: *window, report: Arc::clone(report), token, until })
    }

    /// Applies the result of [`Action::Call`].
    pub fn called(
        &mut self,
        now: Instant,
        window: WindowId,
        token: u64,
        outcome: CallOutcome,
        jitter: f64,
    ) {
        self.is_calling = false;
        self.last_call = Some((now, token));
        self.is_unanswered = outcome == CallOutcome::NoResponse;
        if outcome == CallOutcome::Accepted {
            self.unanswered_reports = 0;
            self.finished.insert(window);
            self.notices.push(Notice::Sent { window, token });
            return;
        }
        let pause = match outcome {
            CallOutcome::Rejected(429) => {
                Duration::from_secs_f64(1.0 / self.cfg.calls_per_second.max(1.0))
            }
            _ => CALL_BACKOFF,
        };
        self.next_call_at = now + pause.mul_f64(1.0 + jitter);
        self.notices.push(Notice::CallFailed { window, token, outcome });
    }

    /// Time until which nothing has to be done unless a result arrives.
    pub fn next_check(&self, now: Instant) -> Instant {
        /// Period in which a host with the duty checks what is due.
        const HOLDER_PERIOD: Duration = Duration::from_millis(50);
        /// Period in which another host checks whether it should try to get the duty.
        const CANDIDATE_PERIOD: Duration = Duration::from_millis(250);
        now + if self.held.is_some() { HOLDER_PERIOD } else { CANDIDATE_PERIOD }
    }
}

/// Whether this is more than half of the failure domains. One of two is sufficient, since reports would
/// end with the first host otherwise.
fn is_majority(count: usize, domains: usize) -> bool {
    count * 2 > domains || (domains == 2 && count == 1)
}
