//! Requests that crash the servers that run them.
//!
//! A connection that is lost in the middle of a request makes its fingerprint a suspect; the death
//! counts once a new connection to the same server fails as well.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::time::Instant;

/// Deaths after which a request is refused; later ones would only crash more servers.
const MAX_DEATHS: usize = 2;
/// Time within which a failed connection confirms that a server died.
const CONFIRM_WITHIN: Duration = Duration::from_secs(2);
/// Time for which a request that crashes servers is refused.
const REFUSE_FOR: Duration = Duration::from_secs(60);

/// A death of a server while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Death {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Hash of the server's id.
    pub server: u64,
}

/// What one host knows of requests that crash servers.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    suspects: Vec<(Instant, Death)>,
    deaths: HashMap<u64, (Instant, HashSet<u64>)>,
}

impl Crashes {
    /// Notes that a connection was lost while a server ran a request.
    pub fn note_lost(&mut self, now: Instant, death: Death) {
        self.suspects.push((now, death));
    }

    /// Notes that a server takes no connection: what it ran when it was lost last may have killed it.
    pub fn note_dead(&mut self, now: Instant, server: u64) {
        let confirmed: Vec<Death> = self
            .suspects
            .iter()
            .filter(|(at, d)| d.server == server && now.saturating_since(*at) <= CONFIRM_WITHIN)
            .map(|(_, d)| *d)
            .collect();
        self.suspects.retain(|(_, d)| d.server != server);
        for death in confirmed {
            self.record(now, death);
        }
    }

    /// Takes in a death that this or another host confirmed.
    pub fn record(&mut self, now: Instant, death: Death) {
        let entry = self.deaths.entry(death.fingerprint).or_insert_with(|| (now, HashSet::new()));
        if entry.1.insert(death.server) {
            entry.0 = now;
        }
    }

    /// Whether a request has crashed too many servers.
    pub fn refuses(&self, now: Instant, fingerprint: u64) -> bool {
        self.deaths.get(&fingerprint).is_some_and(|(at, servers)| {
            servers.len() >= MAX_DEATHS && now.saturating_since(*at) <= REFUSE_FOR
        })
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.suspects.retain(|(at, _)| now.saturating_since(*at) <= CONFIRM_WITHIN);
        self.deaths.retain(|_, (at, _)| now.saturating_since(*at) <= REFUSE_FOR);
    }

    /// Deaths to tell other hosts.
    pub fn deaths(&self) -> impl Iterator<Item = Death> {
        self.deaths.iter().flat_map(|(fingerprint, (_, servers))| {
            servers.iter().map(|server| Death { fingerprint: *fingerprint, server: *server })
        })
    }
}
