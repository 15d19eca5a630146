//! Requests that are suspected to crash backend servers.
//!
//! A request in flight when its server crashes becomes a suspect. One host at a time retries a
//! suspect, one try at a time and on a server that runs no other suspect. A complete answer clears
//! it, a second crash quarantines it. If another server crashed recently without the request in
//! flight, the crashes may have another cause, and a third crash is required.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{Fingerprint, OTHER_CRASH_WINDOW, ServerCrash, crashes_to_refuse};
use crate::{host::Incarnation, time::Instant, traffic::FlightKey};

/// Reports on one server within this time count as one crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);
/// Time for which a request stays a suspect after its last crash.
const SUSPECT_DURATION: Duration = Duration::from_secs(600);
/// Time allowed for crash reports to reach the other hosts, which then agree on the prober.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// Time after a crash in which only the prober may retry the request.
const PROBER_PRECEDENCE: Duration = Duration::from_millis(300);
/// Length of the first quarantine; each further one is twice as long.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(60);
/// Largest multiple of [`QUARANTINE_DURATION`].
const MAX_QUARANTINE_FACTOR: u32 = 64;
/// Largest number of suspects; beyond it the one with the oldest crash is dropped.
const MAX_SUSPECTS: usize = 4096;
/// Largest number of recent crashes that are stored.
const MAX_RECENT_CRASHES: usize = 256;
/// Largest number of flights held back for one suspect; further ones are refused.
const MAX_HELD_FLIGHTS: usize = 256;

/// Whether a request may be sent to a backend server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectDecision {
    /// Send it now.
    Run,
    /// Try again at this instant, or earlier when the flight is woken.
    Hold(Instant),
    /// Refuse it: the request is quarantined.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Servers that crashed with the request in flight, and when this host received the report.
    crashes: Vec<(String, Instant)>,
    /// The host that runs the next try: the lowest incarnation of those that observed a crash.
    prober: Incarnation,
    /// The flight that may run on this host; others wait in `held`.
    current_try: Option<FlightKey>,
    held: Vec<FlightKey>,
    quarantined_until: Option<Instant>,
    quarantine_factor: u32,
    last_crash: Instant,
}

/// Suspected and quarantined requests.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_fingerprint: HashMap<Fingerprint, Suspect>,
    recent_crashes: VecDeque<(String, Instant)>,
}

impl Suspects {
    /// Number of suspected and quarantined requests.
    pub fn len(&self) -> usize {
        self.by_fingerprint.len()
    }

    /// Whether no request is suspected or quarantined.
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Whether a request is suspected or quarantined.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.by_fingerprint.contains_key(&fingerprint)
    }

    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let until = self.by_fingerprint.get(&fingerprint).and_then(|s| s.quarantined_until);
        until.is_some_and(|until| now < until)
    }

    /// Decides whether a flight may be sent to a backend server now.
    pub fn admit(
        &mut self,
        now: Instant,
        me: Incarnation,
        fingerprint: Fingerprint,
        flight: FlightKey,
    ) -> SuspectDecision {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else {
            return SuspectDecision::Run;
        };
        if suspect.quarantined_until.is_some_and(|until| now < until) {
            return SuspectDecision::Quarantined;
        }
        let reports_due = suspect.last_crash + REPORT_DELAY;
        if now < reports_due {
            return SuspectDecision::Hold(reports_due);
        }
        let prober_deadline = suspect.last_crash + PROBER_PRECEDENCE;
        let is_my_turn = suspect.prober == me || now >= prober_deadline;
        if is_my_turn && suspect.current_try.is_none_or(|f| f == flight) {
            suspect.current_try = Some(flight);
            return SuspectDecision::Run;
        }
        if !suspect.held.contains(&flight) {
            if suspect.held.len() >= MAX_HELD_FLIGHTS {
                return SuspectDecision::Quarantined;
            }
            suspect.held.push(flight);
        }
        SuspectDecision::Hold(prober_deadline.max(now + PROBER_PRECEDENCE))
    }

    /// Records that a try has ended; returns the flights to wake.
    pub fn release(&mut self, fingerprint: Fingerprint, flight: FlightKey) -> Vec<FlightKey> {
        match self.by_fingerprint.get_mut(&fingerprint) {
            Some(suspect) if suspect.current_try == Some(flight) => {
                suspect.current_try = None;
                std::mem::take(&mut suspect.held)
            }
            _ => Vec::new(),
        }
    }

    /// Records a crash. Returns whether the report is new, and the flights to wake.
    pub fn record_crash(&mut self, now: Instant, crash: &ServerCrash) -> (bool, Vec<FlightKey>) {
        self.record_recent_crash(now, &crash.server);
        self.make_room(crash.fingerprint);
        let suspect = self.by_fingerprint.entry(crash.fingerprint).or_insert_with(|| Suspect {
            crashes: Vec::new(),
            prober: crash.observed_by,
            current_try: None,
            held: Vec::new(),
            quarantined_until: None,
            quarantine_factor: 1,
            last_crash: now,
        });
        suspect.prober = suspect.prober.min(crash.observed_by);
        match suspect.quarantined_until {
            Some(until) if now < until => return (false, Vec::new()),
            // One crash after a quarantine is enough to quarantine the request again.
            Some(_) => {
                suspect.quarantined_until = None;
                suspect.crashes.truncate(1);
            }
            None => {}
        }
        let is_same_crash = |(server, at): &(String, Instant)| {
            *server == crash.server && now.saturating_since(*at) < SAME_CRASH_WINDOW
        };
        if suspect.crashes.iter().any(is_same_crash) {
            return (false, Vec::new());
        }
        suspect.crashes.push((crash.server.clone(), now));
        suspect.last_crash = now;
        let is_unrelated = |(server, at): &(String, Instant)| {
            now.saturating_since(*at) < OTHER_CRASH_WINDOW
                && !suspect.crashes.iter().any(|(s, _)| s == server)
        };
        let others_crashed = self.recent_crashes.iter().any(is_unrelated);
        if suspect.crashes.len() < crashes_to_refuse(others_crashed) {
            return (true, Vec::new());
        }
        suspect.quarantined_until = Some(now + QUARANTINE_DURATION * suspect.quarantine_factor);
        suspect.quarantine_factor = (suspect.quarantine_factor * 2).min(MAX_QUARANTINE_FACTOR);
        (true, std::mem::take(&mut suspect.held))
    }

    /// Clears a suspect that got a complete answer; returns the flights to wake, or `None` when the
    /// request is not suspected or is quarantined.
    pub fn clear(&mut self, now: Instant, fingerprint: Fingerprint) -> Option<Vec<FlightKey>> {
        if self.is_quarantined(now, fingerprint) {
            return None;
        }
        self.by_fingerprint.remove(&fingerprint).map(|s| s.held)
    }

    /// Removes suspects whose last crash or quarantine is longer ago than `SUSPECT_DURATION`.
    pub fn expire(&mut self, now: Instant) {
        self.by_fingerprint.retain(|_, s| {
            let since = s.quarantined_until.unwrap_or(s.last_crash).max(s.last_crash);
            now.saturating_since(since) < SUSPECT_DURATION
        });
    }

    fn record_recent_crash(&mut self, now: Instant, server: &str) {
        self.recent_crashes
            .retain(|(s, at)| s != server && now.saturating_since(*at) < OTHER_CRASH_WINDOW);
        if self.recent_crashes.len() < MAX_RECENT_CRASHES {
            self.recent_crashes.push_back((server.to_owned(), now));
        }
    }

    /// Makes room for a new suspect by dropping the one whose last crash is the oldest.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.by_fingerprint.len() < MAX_SUSPECTS || self.is_suspect(fingerprint) {
            return;
        }
        let oldest = self.by_fingerprint.iter().min_by_key(|(_, s)| s.last_crash).map(|(f, _)| *f);
        if let Some(oldest) = oldest {
            self.by_fingerprint.remove(&oldest);
        }
    }
}
