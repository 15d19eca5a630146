//! Handling of requests that crash their backend server.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{FlightKey, Step, Traffic, flight::Stage};
use crate::{
    control::PeerMsg,
    crash::{CrashMsg, ServerCrash, SuspectDecision},
    event::{Event, Kind},
    result::{Code, Execution},
    route::BackendKey,
    time::Instant,
    view::LiveHost,
};

/// Number of hosts in each other failure domain that receive a message and relay it there.
const RELAYS_PER_DOMAIN: usize = 2;
/// Time after which a message is resent once, in case the datagram was lost.
const RESEND_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of messages that wait to be resent.
const MAX_PENDING_RESENDS: usize = 256;

impl Traffic {
    /// Delays or refuses a request suspected of crashing servers; returns none if it may be sent now.
    pub(super) fn delay_suspect(&mut self, now: Instant, flight: FlightKey) -> Option<Step> {
        let state = self.flights.get(flight)?;
        if !self.suspects.is_suspect(state.fingerprint) {
            return None;
        }
        let until =
            match self.suspects.admit(now, self.view.me.incarnation, state.fingerprint, flight) {
                SuspectDecision::Run => return None,
                SuspectDecision::Hold(until) => until.min(state.deadline),
                SuspectDecision::Quarantined => {
                    let sent = state.fallback_code.execution() != Execution::NotRun;
                    let code = if sent { state.fallback_code } else { Code::Quarantined };
                    return Some(self.end(now, flight, code, sent));
                }
            };
        (now < until).then_some(Step::Park { flight, until })
    }

    /// Servers to avoid for a suspect: those that already run another suspect.
    pub(super) fn servers_of_suspects(&self, flight: FlightKey) -> Vec<BackendKey> {
        let fingerprint = self.flights.get(flight).map(|f| f.fingerprint);
        if !fingerprint.is_some_and(|f| self.suspects.is_suspect(f)) {
            return Vec::new();
        }
        let others = self
            .flights
            .iter()
            .filter(|(key, f)| *key != flight && self.suspects.is_suspect(f.fingerprint));
        others
            .filter_map(|(_, f)| match f.stage {
                Stage::Sent(server) => Some(server),
                _ => None,
            })
            .collect()
    }

    /// Records that a server crashed while it ran this request, and informs the other hosts.
    pub(super) fn record_crash(&mut self, now: Instant, flight: FlightKey, server: BackendKey) {
        let Some(state) = self.flights.get(flight) else { return };
        let crash = ServerCrash {
            fingerprint: state.fingerprint,
            server: self.balancer.name(server).unwrap_or_default().to_owned(),
            observed_by: self.view.me.incarnation,
        };
        self.apply_crash(now, &crash);
        self.send_crash_message(now, &CrashMsg::Crashes { crashes: vec![crash], relay: false });
    }

    /// Records that a server completed this request; if it was a suspect, clears it on all hosts.
    pub(super) fn record_success(&mut self, now: Instant, flight: FlightKey) {
        let Some(fingerprint) = self.flights.get(flight).map(|f| f.fingerprint) else { return };
        if let Some(delayed) = self.suspects.clear(now, fingerprint) {
            self.outbox.wakes.extend(delayed);
            self.send_crash_message(now, &CrashMsg::Cleared { fingerprint, relay: false });
        }
    }

    /// Applies a message from another host, and relays it inside this failure domain if asked to.
    pub(super) fn handle_crash_message(&mut self, now: Instant, msg: &CrashMsg) {
        let relay = match msg {
            CrashMsg::Crashes { crashes, relay } => {
                let new_count = crashes.iter().filter(|c| self.apply_crash(now, c)).count();
                *relay && new_count > 0
            }
            CrashMsg::Cleared { fingerprint, relay } => {
                let delayed = self.suspects.clear(now, *fingerprint);
                self.outbox.wakes.extend(delayed.iter().flatten());
                *relay && delayed.is_some()
            }
        };
        if relay {
            let msg = PeerMsg::Crash(msg.with_relay(false));
            let same_domain: Vec<_> =
                self.other_hosts().filter(|h| h.domain == self.view.me.domain).collect();
            let sends: Vec<_> = same_domain.iter().map(|h| (h.peer_address, msg.clone())).collect();
            self.outbox.sends.extend(sends);
        }
    }

    /// Expires suspects and resends the messages that are due.
    pub(super) fn tick_crash(&mut self, now: Instant) {
        self.suspects.expire(now);
        while let Some((at, _, _)) = self.pending_resends.front()
            && *at <= now
        {
            if let Some((_, to, msg)) = self.pending_resends.pop_front() {
                self.outbox.sends.push((to, msg));
            }
        }
    }

    /// Applies a server crash; returns whether it was unknown.
    fn apply_crash(&mut self, now: Instant, crash: &ServerCrash) -> bool {
        let (is_new, woken) = self.suspects.record_crash(now, crash);
        self.outbox.wakes.extend(woken);
        if is_new && self.suspects.is_quarantined(now, crash.fingerprint) {
            let detail = format!(
                "request {:016x} after a crash of backend server {}",
                crash.fingerprint, crash.server
            );
            self.outbox.events.push(Event::new(Kind::Quarantined, detail));
        }
        is_new
    }

    /// Sends a message to all hosts of this failure domain and to [`RELAYS_PER_DOMAIN`] hosts of each
    /// other one, which relay it inside theirs.
    fn send_crash_message(&mut self, now: Instant, msg: &CrashMsg) {
        let mut sent_by_domain: BTreeMap<&str, usize> = BTreeMap::new();
        let mut sends: Vec<(SocketAddr, PeerMsg)> = Vec::new();
        for host in self.other_hosts() {
            let is_same_domain = host.domain == self.view.me.domain;
            let sent = sent_by_domain.entry(&host.domain).or_default();
            if is_same_domain || *sent < RELAYS_PER_DOMAIN {
                *sent += 1;
                sends.push((host.peer_address, PeerMsg::Crash(msg.with_relay(!is_same_domain))));
            }
        }
        for (to, msg) in sends {
            if self.pending_resends.len() < MAX_PENDING_RESENDS {
                self.pending_resends.push_back((now + RESEND_DELAY, to, msg.clone()));
            }
            self.outbox.sends.push((to, msg));
        }
    }

    fn other_hosts(&self) -> impl Iterator<Item = &LiveHost> {
        self.view.hosts.iter().filter(|h| h.incarnation != self.view.me.incarnation)
    }
}

impl CrashMsg {
    fn with_relay(&self, relay: bool) -> CrashMsg {
        let mut msg = self.clone();
        match &mut msg {
            CrashMsg::Crashes { relay: r, .. } | CrashMsg::Cleared { relay: r, .. } => *r = relay,
        }
        msg
    }
}
