//! Requests that crash servers: the lost connections, and the refusals.

use std::net::SocketAddr;

use super::{Steering, request::Attempt};
use crate::{
    crash::{
        Fingerprint,
        evidence::{CrashedServer, ReportedCrash},
    },
    steer::{digest::TrafficStats, leaving::IncarnationHash, server::ServerKey},
    time::Instant,
};

/// A server to which a connection was lost, and which has to be checked for a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCheck {
    /// Address of the server.
    pub address: SocketAddr,
    server: ServerKey,
    incarnation: IncarnationHash,
}

/// A change in what this host knows about crashes.
#[derive(Clone, Debug, PartialEq)]
pub enum CrashChange {
    /// A server accepts no connection after it has lost some.
    ServerCrashed {
        /// Id of the server.
        server: String,
        /// Short hash of its incarnation, by which hosts name it in their reports.
        incarnation: CrashedServer,
        /// Requests that it ran for this host.
        requests: Vec<Fingerprint>,
    },
    /// A request is refused from now on.
    Refused {
        /// The request.
        request: Fingerprint,
        /// The crashes because of which it is refused.
        crashes: Vec<ReportedCrash>,
    },
    /// A request is no longer refused.
    Admitted(Fingerprint),
}

impl Steering {
    /// The crashes that are known of a request.
    pub fn crashes_of(&self, now: Instant, request: Fingerprint) -> Vec<ReportedCrash> {
        self.crashes.crashes_of(now, request)
    }

    /// Records that a connection was lost while a server ran a request. The end of a server that
    /// announced it says nothing about the requests that it ran.
    pub(super) fn record_lost_connection(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        attempt: &Attempt,
    ) {
        let server = self.servers.get(attempt.server);
        let server = server.filter(|s| s.incarnation == attempt.incarnation);
        if let Some(server) = server.filter(|s| !s.entry.draining && !s.is_leaving) {
            let incarnation = crashed_server(server.incarnation);
            if self.crashes.record_lost_connection(now, fingerprint, incarnation) {
                self.crash_checks.push(CrashCheck {
                    address: server.entry.address,
                    server: attempt.server,
                    incarnation: attempt.incarnation,
                });
            }
        }
    }

    /// Returns the servers that have to be checked for a crash since the last call.
    pub fn take_crash_checks(&mut self) -> Vec<CrashCheck> {
        std::mem::take(&mut self.crash_checks)
    }

    /// Records that a server which was checked refuses connections.
    pub fn record_refused_connection(&mut self, now: Instant, check: &CrashCheck) {
        self.record_connect_failure(now, check.server, check.incarnation);
    }

    /// Records that a server accepts no connection.
    pub(super) fn record_connect_failure(
        &mut self,
        now: Instant,
        server: ServerKey,
        incarnation: IncarnationHash,
    ) {
        let incarnation = crashed_server(incarnation);
        let requests = self.crashes.record_connect_failure(now, incarnation);
        let Some(server) = self.servers.get(server).filter(|_| !requests.is_empty()) else {
            return;
        };
        let server = server.entry.id.clone();
        self.changes.crashes.push(CrashChange::ServerCrashed { server, incarnation, requests });
        self.update_refused_requests(now);
    }

    pub(super) fn receive_crashes(&mut self, now: Instant, stats: &TrafficStats) {
        if self.crashes.receive(now, &stats.crashes) {
            self.update_refused_requests(now);
        }
    }

    /// Notes which requests are refused, and what this host reports.
    pub(super) fn update_refused_requests(&mut self, now: Instant) {
        let refused = self.crashes.refused_requests(now);
        for request in refused.difference(&self.refused_requests) {
            let crashes = self.crashes.crashes_of(now, *request);
            self.changes.crashes.push(CrashChange::Refused { request: *request, crashes });
        }
        for request in self.refused_requests.difference(&refused) {
            self.changes.crashes.push(CrashChange::Admitted(*request));
        }
        self.refused_requests = refused;
        self.crash_report = self.crashes.to_report(now);
    }
}

/// Short hash by which hosts name a server that crashed.
fn crashed_server(incarnation: IncarnationHash) -> CrashedServer {
    incarnation as CrashedServer
}
