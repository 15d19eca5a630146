//! Which requests are suspected to crash backend servers.
//!
//! A request in flight when its server dies is suspect. While it is, one host at a time runs it,
//! one try at a time and on a server that runs no other suspect; a whole answer clears it, a
//! second death condemns it. Where another server died lately without the request in flight,
//! deaths have another cause and a third one is needed.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{Death, Fingerprint};
use crate::{host::Incarnation, time::Instant, traffic::FlightKey};

/// Deaths that condemn a request.
const DEATHS: usize = 2;
/// Deaths that condemn a request while other servers die without it.
const DEATHS_AMONG_OTHERS: usize = 3;
/// Time within which reports on one server mean one death.
const SAME_DEATH: Duration = Duration::from_secs(5);
/// Time for which the death of another server counts as a sign of another cause.
const OTHER_DEATHS: Duration = Duration::from_secs(5);
/// Time for which a request stays suspect after a death.
const SUSPECT_TIME: Duration = Duration::from_secs(600);
/// Time in which the hosts that saw a death hear of each other.
const SPREAD_TIME: Duration = Duration::from_millis(20);
/// Time for which a host leaves the next try to the host that saw the death.
const HOLD: Duration = Duration::from_millis(300);
/// Time for which a condemned request is refused at first; each further time is twice as long.
pub const QUARANTINE: Duration = Duration::from_secs(60);
/// Largest factor of the quarantine.
const MAX_FACTOR: u32 = 64;
/// Largest number of suspects.
const MAX_SUSPECTS: usize = 4096;
/// Recent deaths that are remembered.
const MAX_RECENT: usize = 256;
/// Flights that are held back for one suspect.
const MAX_HELD: usize = 256;

/// Whether a request may be sent to a backend server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Run,
    /// Not before this instant, or until the flight is woken.
    Hold(Instant),
    /// It is condemned.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Servers that died with it, and when this host learnt of it.
    deaths: Vec<(String, Instant)>,
    /// The host that runs the next try.
    prober: Incarnation,
    /// The flight that runs the next try on this host.
    trial: Option<FlightKey>,
    held: Vec<FlightKey>,
    quarantined_until: Option<Instant>,
    factor: u32,
    last: Instant,
}

/// The requests that are suspected.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_fingerprint: HashMap<Fingerprint, Suspect>,
    recent: VecDeque<(String, Instant)>,
}

impl Suspects {
    /// Requests that are suspected or condemned.
    pub fn len(&self) -> usize {
        self.by_fingerprint.len()
    }

    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Whether a request is suspected.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.by_fingerprint.contains_key(&fingerprint)
    }

    /// Whether a request is condemned.
    pub fn is_quarantined(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let until = self.by_fingerprint.get(&fingerprint).and_then(|s| s.quarantined_until);
        until.is_some_and(|until| now < until)
    }

    /// Whether a flight may be sent to a backend server now.
    pub fn admit(
        &mut self,
        now: Instant,
        me: Incarnation,
        fingerprint: Fingerprint,
        flight: FlightKey,
    ) -> Verdict {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else { return Verdict::Run };
        if suspect.quarantined_until.is_some_and(|until| now < until) {
            return Verdict::Quarantined;
        }
        let settled = suspect.last + SPREAD_TIME;
        if now < settled {
            return Verdict::Hold(settled);
        }
        let their_turn_ends = suspect.last + HOLD;
        let mine = suspect.prober == me || now >= their_turn_ends;
        if mine && suspect.trial.is_none_or(|f| f == flight) {
            suspect.trial = Some(flight);
            return Verdict::Run;
        }
        if !suspect.held.contains(&flight) {
            if suspect.held.len() >= MAX_HELD {
                return Verdict::Quarantined;
            }
            suspect.held.push(flight);
        }
        Verdict::Hold(their_turn_ends.max(now + HOLD))
    }

    /// Notes that a try has ended; returns the flights to wake.
    pub fn leave(&mut self, fingerprint: Fingerprint, flight: FlightKey) -> Vec<FlightKey> {
        match self.by_fingerprint.get_mut(&fingerprint) {
            Some(suspect) if suspect.trial == Some(flight) => {
                suspect.trial = None;
                std::mem::take(&mut suspect.held)
            }
            _ => Vec::new(),
        }
    }

    /// Notes a death. Returns whether it is news, and the flights to wake.
    pub fn died(&mut self, now: Instant, death: &Death) -> (bool, Vec<FlightKey>) {
        self.note_recent(now, &death.server);
        self.make_room(death.fingerprint);
        let suspect = self.by_fingerprint.entry(death.fingerprint).or_insert_with(|| Suspect {
            deaths: Vec::new(),
            prober: death.seen_by,
            trial: None,
            held: Vec::new(),
            quarantined_until: None,
            factor: 1,
            last: now,
        });
        suspect.prober = suspect.prober.min(death.seen_by);
        match suspect.quarantined_until {
            Some(until) if now < until => return (false, Vec::new()),
            // The first death after the quarantine condemns again.
            Some(_) => {
                suspect.quarantined_until = None;
                suspect.deaths.truncate(1);
            }
            None => {}
        }
        let same = |(server, at): &(String, Instant)| {
            *server == death.server && now.saturating_since(*at) < SAME_DEATH
        };
        if suspect.deaths.iter().any(same) {
            return (false, Vec::new());
        }
        suspect.deaths.push((death.server.clone(), now));
        suspect.last = now;
        let elsewhere = |(server, at): &(String, Instant)| {
            now.saturating_since(*at) < OTHER_DEATHS
                && !suspect.deaths.iter().any(|(s, _)| s == server)
        };
        let others = self.recent.iter().any(elsewhere);
        let needed = if others { DEATHS_AMONG_OTHERS } else { DEATHS };
        if suspect.deaths.len() < needed {
            return (true, Vec::new());
        }
        suspect.quarantined_until = Some(now + QUARANTINE * suspect.factor);
        suspect.factor = (suspect.factor * 2).min(MAX_FACTOR);
        (true, std::mem::take(&mut suspect.held))
    }

    /// Clears a suspect that was answered whole; returns the flights to wake, none when it is not
    /// suspected or condemned.
    pub fn clear(&mut self, now: Instant, fingerprint: Fingerprint) -> Option<Vec<FlightKey>> {
        if self.is_quarantined(now, fingerprint) {
            return None;
        }
        self.by_fingerprint.remove(&fingerprint).map(|s| s.held)
    }

    /// Forgets the suspects whose time has passed.
    pub fn expire(&mut self, now: Instant) {
        self.by_fingerprint.retain(|_, s| {
            let since = s.quarantined_until.unwrap_or(s.last).max(s.last);
            now.saturating_since(since) < SUSPECT_TIME
        });
    }

    fn note_recent(&mut self, now: Instant, server: &str) {
        self.recent.retain(|(s, at)| s != server && now.saturating_since(*at) < OTHER_DEATHS);
        if self.recent.len() < MAX_RECENT {
            self.recent.push_back((server.to_owned(), now));
        }
    }

    /// Drops the suspect whose last death is the oldest when there is no room for another one.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.by_fingerprint.len() < MAX_SUSPECTS || self.is_suspect(fingerprint) {
            return;
        }
        let oldest = self.by_fingerprint.iter().min_by_key(|(_, s)| s.last).map(|(f, _)| *f);
        if let Some(oldest) = oldest {
            self.by_fingerprint.remove(&oldest);
        }
    }
}
