//! Detection of requests that crash the servers that run them.
//!
//! When a connection is lost in the middle of a request, the request is suspected of having crashed
//! the server. The crash is confirmed when a new connection to the same server fails as well.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::time::Instant;

/// Number of crashed servers from which a request is refused, because further attempts would only
/// crash more servers.
const MAX_CRASHED_SERVERS: usize = 2;
/// Time after a lost connection within which a failed connection confirms the crash.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(2);
/// Time after the last crash of a further server for which the request is refused.
const REFUSAL_DURATION: Duration = Duration::from_secs(60);

/// A crash of a server while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerCrash {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Hash of the server's id.
    pub server: u64,
}

/// Suspected and confirmed crashes, as seen by one host.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    suspected: Vec<(Instant, ServerCrash)>,
    /// Crashed servers with the time at which the last one was added, by fingerprint of the request.
    confirmed: HashMap<u64, (Instant, HashSet<u64>)>,
}

impl CrashTracker {
    /// Records that a connection was lost while a server ran a request.
    pub fn record_lost_connection(&mut self, now: Instant, crash: ServerCrash) {
        self.suspected.push((now, crash));
    }

    /// Records that a server accepts no connection. This confirms the suspected crashes of the server.
    pub fn record_connect_failure(&mut self, now: Instant, server: u64) {
        let crashes: Vec<ServerCrash> = self
            .suspected
            .iter()
            .filter(|(at, crash)| {
                crash.server == server && now.saturating_since(*at) <= CONFIRMATION_WINDOW
            })
            .map(|(_, crash)| *crash)
            .collect();
        self.suspected.retain(|(_, crash)| crash.server != server);
        for crash in crashes {
            self.record_crash(now, crash);
        }
    }

    /// Records a crash that this or another host confirmed.
    pub fn record_crash(&mut self, now: Instant, crash: ServerCrash) {
        let entry =
            self.confirmed.entry(crash.fingerprint).or_insert_with(|| (now, HashSet::new()));
        if entry.1.insert(crash.server) {
            entry.0 = now;
        }
    }

    /// Whether a request has crashed so many servers that it is refused.
    pub fn is_refused(&self, now: Instant, fingerprint: u64) -> bool {
        self.confirmed.get(&fingerprint).is_some_and(|(at, servers)| {
            servers.len() >= MAX_CRASHED_SERVERS && now.saturating_since(*at) <= REFUSAL_DURATION
        })
    }

    /// Removes crashes that no longer lead to a confirmation or a refusal.
    pub fn expire(&mut self, now: Instant) {
        self.suspected.retain(|(at, _)| now.saturating_since(*at) <= CONFIRMATION_WINDOW);
        self.confirmed.retain(|_, (at, _)| now.saturating_since(*at) <= REFUSAL_DURATION);
    }

    /// Confirmed crashes, which this host sends to other hosts.
    pub fn confirmed_crashes(&self) -> impl Iterator<Item = ServerCrash> {
        self.confirmed.iter().flat_map(|(fingerprint, (_, servers))| {
            servers.iter().map(|server| ServerCrash { fingerprint: *fingerprint, server: *server })
        })
    }
}
