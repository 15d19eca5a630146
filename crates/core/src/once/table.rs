//! Deduplication table: the ids that this incarnation of the host has run, each stored until it
//! expires.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{Answer, DedupKey};
use crate::{crash::Fingerprint, result::Code, time::UnixMillis, traffic::FlightKey};

/// Extension of the expiry of an id whose run has not finished.
const RUNNING_EXTENSION: Duration = Duration::from_secs(10);

/// Limits on the size of the table.
#[derive(Clone, Debug)]
pub struct DedupLimits {
    /// Largest number of ids.
    pub max_ids: usize,
    /// Largest total size of the stored answers, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for DedupLimits {
    fn default() -> Self {
        DedupLimits { max_ids: 200_000, max_answer_bytes: 16 * 1024 * 1024 }
    }
}

/// Decision of the owner on a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// This try may run; no other try of the id may.
    Run,
    /// An earlier try is running; the flight is woken when it has ended.
    Wait,
    /// An earlier try was answered.
    Answered(Arc<Answer>),
    /// An earlier try ended with this code.
    Ended(Code),
    /// The id was used for a request with another body.
    DifferentBody,
    /// The id has expired.
    Expired,
    /// The table is full.
    Full,
    /// The id is already in the table, which violates an invariant; it is not run again.
    AlreadyKnown,
}

#[derive(Clone, Debug)]
enum State {
    Running { waiters: Vec<FlightKey> },
    Ended { code: Code, answer: Option<Arc<Answer>> },
}

#[derive(Clone, Debug)]
struct Entry {
    expires_at: UnixMillis,
    fingerprint: Fingerprint,
    state: State,
}

/// Ids that this incarnation of the host owns and has received requests for.
#[derive(Clone, Debug, Default)]
pub struct DedupTable {
    limits: DedupLimits,
    entries: HashMap<DedupKey, Entry>,
    expiries: BTreeSet<(UnixMillis, DedupKey)>,
    /// Ids with stored answers, the oldest answer first.
    answered: VecDeque<DedupKey>,
    answer_bytes: usize,
    /// Latest wall-clock time seen. Ids that expire before it are refused even if the clock is set
    /// back, because they may have been removed.
    latest_unix: UnixMillis,
}

impl DedupTable {
    /// An empty table.
    pub fn new(limits: DedupLimits) -> Self {
        DedupTable { limits, ..DedupTable::default() }
    }

    /// Number of ids in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no ids.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Total size of the stored answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Whether an id is in the table.
    pub fn contains_id(&self, key: DedupKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// Looks up an earlier try of an id, without starting a run. If that try is still running, adds
    /// the flight to its waiters.
    pub fn join_existing(
        &mut self,
        key: DedupKey,
        fingerprint: Fingerprint,
        flight: FlightKey,
    ) -> Option<BeginOutcome> {
        let entry = self.entries.get_mut(&key)?;
        if entry.fingerprint != fingerprint {
            return Some(BeginOutcome::DifferentBody);
        }
        Some(match &mut entry.state {
            State::Running { waiters } => {
                waiters.push(flight);
                BeginOutcome::Wait
            }
            State::Ended { answer: Some(answer), .. } => BeginOutcome::Answered(Arc::clone(answer)),
            State::Ended { code: Code::Done, answer: None } => {
                BeginOutcome::Ended(Code::AnswerNotKept)
            }
            State::Ended { code, answer: None } => BeginOutcome::Ended(*code),
        })
    }

    /// Starts the run of an id that is not in the table; `unix` is this host's wall-clock time.
    pub fn begin(
        &mut self,
        unix: UnixMillis,
        key: DedupKey,
        expires_at: UnixMillis,
        fingerprint: Fingerprint,
    ) -> BeginOutcome {
        self.expire(unix);
        if expires_at <= self.latest_unix {
            return BeginOutcome::Expired;
        }
        if self.entries.len() >= self.limits.max_ids {
            return BeginOutcome::Full;
        }
        if self.contains_id(key) {
            return BeginOutcome::AlreadyKnown;
        }
        let state = State::Running { waiters: Vec::new() };
        self.entries.insert(key, Entry { expires_at, fingerprint, state });
        self.expiries.insert((expires_at, key));
        BeginOutcome::Run
    }

    /// Records the end of a run and returns the flights that wait for it. If no byte of the request
    /// was sent, the id is removed and can be run again.
    pub fn end_run(
        &mut self,
        key: DedupKey,
        sent: bool,
        code: Code,
        answer: Option<Arc<Answer>>,
    ) -> Vec<FlightKey> {
        let Some(entry) = self.entries.get_mut(&key) else { return Vec::new() };
        let ended = State::Ended { code, answer: answer.clone() };
        let State::Running { waiters } = std::mem::replace(&mut entry.state, ended) else {
            return Vec::new();
        };
        if !sent {
            self.expiries.remove(&(entry.expires_at, key));
            self.entries.remove(&key);
        } else if let Some(answer) = answer {
            self.answer_bytes += answer.size();
            self.answered.push_back(key);
            self.drop_old_answers();
        }
        waiters
    }

    /// Removes expired ids; extends those that are still running.
    pub fn expire(&mut self, unix: UnixMillis) {
        self.latest_unix = self.latest_unix.max(unix);
        while let Some((expires_at, key)) = self.expiries.first().copied()
            && expires_at <= self.latest_unix
        {
            self.expiries.pop_first();
            match self.entries.get_mut(&key) {
                Some(entry) if matches!(entry.state, State::Running { .. }) => {
                    entry.expires_at = self.latest_unix + RUNNING_EXTENSION.as_millis() as u64;
                    self.expiries.insert((entry.expires_at, key));
                }
                _ => self.remove_id(key),
            }
        }
        while self.answered.front().is_some_and(|key| !self.entries.contains_key(key)) {
            self.answered.pop_front();
        }
    }

    fn remove_id(&mut self, key: DedupKey) {
        if let Some(Entry { state: State::Ended { answer: Some(answer), .. }, .. }) =
            self.entries.remove(&key)
        {
            self.answer_bytes -= answer.size();
        }
    }

    /// Drops the oldest answers until the rest fits the limit; their ids stay, so that they are not
    /// run again.
    fn drop_old_answers(&mut self) {
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(key) = self.answered.pop_front() else { return };
            if let Some(Entry { state: State::Ended { answer, .. }, .. }) =
                self.entries.get_mut(&key)
                && let Some(answer) = answer.take()
            {
                self.answer_bytes -= answer.size();
            }
        }
    }
}
