//! Requests that crash their server, on the request path.

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

/// Hosts of each other failure domain that are told.
const RELAYS: usize = 2;
/// Time after which a message is sent once more, in case a datagram was lost.
const REPEAT_AFTER: Duration = Duration::from_millis(250);
/// Messages that wait to be sent once more.
const MAX_REPEATS: usize = 256;

impl Traffic {
    /// Holds a suspect back or refuses it; none when the flight may be sent now.
    pub(super) fn hold_suspect(&mut self, now: Instant, flight: FlightKey) -> Option<Step> {
        let state = self.flights.get(flight)?;
        if !self.suspects.is_suspect(state.fingerprint) {
            return None;
        }
        let until =
            match self.suspects.admit(now, self.view.me.incarnation, state.fingerprint, flight) {
                SuspectDecision::Run => return None,
                SuspectDecision::Hold(until) => until.min(state.deadline),
                SuspectDecision::Quarantined => {
                    let sent = state.otherwise.execution() != Execution::NotRun;
                    let code = if sent { state.otherwise } else { Code::Quarantined };
                    return Some(self.end(now, flight, code, sent));
                }
            };
        (now < until).then_some(Step::Park { flight, until })
    }

    /// Servers on which a suspect is not tried: those that run another one.
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

    /// Notes the death of a server with this flight on it.
    pub(super) fn note_death(&mut self, now: Instant, flight: FlightKey, server: BackendKey) {
        let Some(state) = self.flights.get(flight) else { return };
        let death = ServerCrash {
            fingerprint: state.fingerprint,
            server: self.balancer.name(server).unwrap_or_default().to_owned(),
            observed_by: self.view.me.incarnation,
        };
        self.take_death(now, &death);
        self.tell(now, &CrashMsg::Crashes { crashes: vec![death], relay: false });
    }

    /// Notes that a server has answered this flight whole.
    pub(super) fn note_survival(&mut self, now: Instant, flight: FlightKey) {
        let Some(fingerprint) = self.flights.get(flight).map(|f| f.fingerprint) else { return };
        if let Some(held) = self.suspects.clear(now, fingerprint) {
            self.outbox.wakes.extend(held);
            self.tell(now, &CrashMsg::Cleared { fingerprint, relay: false });
        }
    }

    pub(super) fn hear_crash(&mut self, now: Instant, msg: &CrashMsg) {
        let relay = match msg {
            CrashMsg::Crashes { crashes, relay } => {
                let news = crashes.iter().filter(|d| self.take_death(now, d)).count();
                *relay && news > 0
            }
            CrashMsg::Cleared { fingerprint, relay } => {
                let held = self.suspects.clear(now, *fingerprint);
                self.outbox.wakes.extend(held.iter().flatten());
                *relay && held.is_some()
            }
        };
        if relay {
            let msg = PeerMsg::Crash(msg.with_relay(false));
            let near: Vec<_> = self.others().filter(|h| h.domain == self.view.me.domain).collect();
            let sends: Vec<_> = near.iter().map(|h| (h.peer_address, msg.clone())).collect();
            self.outbox.sends.extend(sends);
        }
    }

    pub(super) fn tick_crash(&mut self, now: Instant) {
        self.suspects.expire(now);
        while let Some((at, _, _)) = self.repeats.front()
            && *at <= now
        {
            if let Some((_, to, msg)) = self.repeats.pop_front() {
                self.outbox.sends.push((to, msg));
            }
        }
    }

    /// Takes in a death; returns whether it is news.
    fn take_death(&mut self, now: Instant, death: &ServerCrash) -> bool {
        let (news, woken) = self.suspects.record_crash(now, death);
        self.outbox.wakes.extend(woken);
        if news && self.suspects.is_quarantined(now, death.fingerprint) {
            let detail = format!("{:016x} after {}", death.fingerprint, death.server);
            self.outbox.events.push(Event::new(Kind::Quarantined, detail));
        }
        news
    }

    /// Tells the hosts of this failure domain, and a few of each other one, which pass it on.
    fn tell(&mut self, now: Instant, msg: &CrashMsg) {
        let mut domains: BTreeMap<&str, usize> = BTreeMap::new();
        let mut sends: Vec<(SocketAddr, PeerMsg)> = Vec::new();
        for host in self.others() {
            let near = host.domain == self.view.me.domain;
            let told = domains.entry(&host.domain).or_default();
            if near || *told < RELAYS {
                *told += 1;
                sends.push((host.peer_address, PeerMsg::Crash(msg.with_relay(!near))));
            }
        }
        for (to, msg) in sends {
            if self.repeats.len() < MAX_REPEATS {
                self.repeats.push_back((now + REPEAT_AFTER, to, msg.clone()));
            }
            self.outbox.sends.push((to, msg));
        }
    }

    fn others(&self) -> impl Iterator<Item = &LiveHost> {
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
