//! The ids that this life of the host has run, each remembered until its end.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use super::{Answer, RunKey};
use crate::{crash::Fingerprint, result::Code, time::UnixMillis, traffic::FlightKey};

/// Time that a run is remembered past the end of its id while it has not finished.
const RUNNING_EXTENSION: Duration = Duration::from_secs(10);

/// Bounds on what is remembered.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest number of ids.
    pub ids: usize,
    /// Largest sum of the answers kept, in bytes.
    pub answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { ids: 200_000, answer_bytes: 16 * 1024 * 1024 }
    }
}

/// What the owner says to a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// This try may run; it is the only one.
    Run,
    /// An earlier try has not finished; the flight is woken when it has.
    Wait,
    /// An earlier try was answered.
    Answered(Arc<Answer>),
    /// An earlier try ended with this code.
    Ended(Code),
    /// The id was used for another body.
    OtherBody,
    /// The id is past its end.
    Expired,
    /// The memory is full.
    Full,
    /// An id that is remembered was begun again: a broken invariant, and it is not run.
    Broken,
}

#[derive(Clone, Debug)]
enum State {
    Running { waiters: Vec<FlightKey> },
    Ended { code: Code, answer: Option<Arc<Answer>> },
}

#[derive(Clone, Debug)]
struct Entry {
    end: UnixMillis,
    fingerprint: Fingerprint,
    state: State,
}

/// The ids that this life of the host owns and has been asked to run.
#[derive(Clone, Debug, Default)]
pub struct Table {
    limits: Limits,
    entries: HashMap<RunKey, Entry>,
    ends: BTreeSet<(UnixMillis, RunKey)>,
    /// Ids whose answers are kept, the oldest answer first.
    answered: VecDeque<RunKey>,
    answer_bytes: usize,
    /// Highest clock reading seen: ids that end before it are refused, whatever the clock says.
    unix: UnixMillis,
}

impl Table {
    /// An empty table.
    pub fn new(limits: Limits) -> Self {
        Table { limits, ..Table::default() }
    }

    /// Number of ids remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Whether an id is remembered.
    pub fn knows(&self, key: RunKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// What is known of an id, without asking for the right to run it. A flight that must wait is
    /// noted as a waiter.
    pub fn look(
        &mut self,
        key: RunKey,
        fingerprint: Fingerprint,
        flight: FlightKey,
    ) -> Option<Begin> {
        let entry = self.entries.get_mut(&key)?;
        if entry.fingerprint != fingerprint {
            return Some(Begin::OtherBody);
        }
        Some(match &mut entry.state {
            State::Running { waiters } => {
                waiters.push(flight);
                Begin::Wait
            }
            State::Ended { answer: Some(answer), .. } => Begin::Answered(Arc::clone(answer)),
            State::Ended { code: Code::Done, answer: None } => Begin::Ended(Code::AnswerNotKept),
            State::Ended { code, answer: None } => Begin::Ended(*code),
        })
    }

    /// Asks for the right to run an id that is not known; `unix` is this host's clock.
    pub fn begin(
        &mut self,
        unix: UnixMillis,
        key: RunKey,
        end: UnixMillis,
        fingerprint: Fingerprint,
    ) -> Begin {
        self.expire(unix);
        if end <= self.unix {
            return Begin::Expired;
        }
        if self.entries.len() >= self.limits.ids {
            return Begin::Full;
        }
        if self.knows(key) {
            return Begin::Broken;
        }
        let state = State::Running { waiters: Vec::new() };
        self.entries.insert(key, Entry { end, fingerprint, state });
        self.ends.insert((end, key));
        Begin::Run
    }

    /// Notes the end of a run and returns the flights that wait for it. A run of which no byte was
    /// sent leaves the id as if never used.
    pub fn end(
        &mut self,
        key: RunKey,
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
            self.ends.remove(&(entry.end, key));
            self.entries.remove(&key);
        } else if let Some(answer) = answer {
            self.answer_bytes += answer.size();
            self.answered.push_back(key);
            self.drop_old_answers();
        }
        waiters
    }

    /// Forgets the ids whose end has passed.
    pub fn expire(&mut self, unix: UnixMillis) {
        self.unix = self.unix.max(unix);
        while let Some((end, key)) = self.ends.first().copied()
            && end <= self.unix
        {
            self.ends.pop_first();
            match self.entries.get_mut(&key) {
                Some(entry) if matches!(entry.state, State::Running { .. }) => {
                    entry.end = self.unix + RUNNING_EXTENSION.as_millis() as u64;
                    self.ends.insert((entry.end, key));
                }
                _ => self.forget(key),
            }
        }
        while self.answered.front().is_some_and(|key| !self.entries.contains_key(key)) {
            self.answered.pop_front();
        }
    }

    fn forget(&mut self, key: RunKey) {
        if let Some(Entry { state: State::Ended { answer: Some(answer), .. }, .. }) =
            self.entries.remove(&key)
        {
            self.answer_bytes -= answer.size();
        }
    }

    /// Drops the oldest answers until the rest is within the limit; their ids stay.
    fn drop_old_answers(&mut self) {
        while self.answer_bytes > self.limits.answer_bytes {
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
