//! Membership: which hosts were heard lately.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{config::Revision, host::HostInfo, time::Instant};

/// Time between two heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Silence after which a host counts as not reachable.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Silence after which a host is forgotten.
pub const FORGET_LIMIT: Duration = Duration::from_secs(60);

/// A heartbeat of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub host: HostInfo,
    /// Number of the heartbeat in this life of the host.
    pub sequence: u64,
    /// The revision in force on the host.
    pub revision: Revision,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// The sender's clock, echoed by the receiver.
    pub stamp: Instant,
    /// The receiver's stamp that the sender saw last.
    pub echo: Option<Instant>,
}

/// What is known of another host.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its last heartbeat.
    pub last: Heartbeat,
    /// When it was heard last, on this host's clock.
    pub heard: Instant,
    /// When this host sent the stamp that the member echoed last.
    pub echoed: Option<Instant>,
}

impl Member {
    /// Whether it was heard lately.
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_since(self.heard) <= SILENCE_LIMIT
    }
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A host or a new life of it.
    Joined,
    /// Something that others act on has changed.
    Changed,
    /// Nothing but the time.
    Same,
    /// The heartbeat is older than one already seen.
    Old,
}

/// The members of the fleet that this host knows.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_name: HashMap<String, Member>,
    /// Addresses from the settings and the platform's host list.
    pub hints: Vec<SocketAddr>,
}

impl Members {
    /// No members yet, only addresses to try.
    pub fn with_hints(hints: &[SocketAddr]) -> Self {
        Members { by_name: HashMap::new(), hints: hints.to_vec() }
    }

    /// Takes in a heartbeat.
    pub fn hear(&mut self, now: Instant, beat: &Heartbeat) -> Heard {
        let old = self.by_name.get(&beat.host.name);
        let heard = match old {
            None => Heard::Joined,
            Some(m) if m.last.host.incarnation != beat.host.incarnation => Heard::Joined,
            Some(m) if m.last.sequence >= beat.sequence => return Heard::Old,
            Some(m) if !m.is_live(now) || m.last.stopping != beat.stopping => Heard::Changed,
            Some(_) => Heard::Same,
        };
        let echoed = beat.echo.or(old.and_then(|m| m.echoed));
        let member = Member { last: beat.clone(), heard: now, echoed };
        self.by_name.insert(beat.host.name.clone(), member);
        heard
    }

    /// Forgets hosts that were silent for long; returns the names that fell silent since `before`.
    pub fn expire(&mut self, now: Instant, before: Instant) -> Vec<String> {
        self.by_name.retain(|_, m| now.saturating_since(m.heard) <= FORGET_LIMIT);
        let fell = |m: &&Member| m.is_live(before) && !m.is_live(now);
        self.by_name.values().filter(fell).map(|m| m.last.host.name.clone()).collect()
    }

    /// All members that are known.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values()
    }

    /// The member of this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name)
    }

    /// Addresses to send heartbeats to: known members and hints, each once.
    pub fn targets(&self, me: SocketAddr) -> Vec<SocketAddr> {
        let known = self.by_name.values().map(|m| m.last.host.peer_address);
        let mut all: Vec<_> =
            known.chain(self.hints.iter().copied()).filter(|a| *a != me).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}
