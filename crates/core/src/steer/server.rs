//! Backend servers: what they announce and what this host has seen of them.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::digest::{NameHash, name_hash};
use crate::time::Instant;

new_key_type! {
    /// Key of a backend server on one host, kept while the server is announced.
    pub struct ServerKey;
}

/// Weight of the newest latency sample in the mean.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time in which an old latency loses half of its weight.
const LATENCY_HALF_LIFE: Duration = Duration::from_millis(1500);
/// Weight of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time in which an old failure rate loses half of its weight.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time in which a reported load loses most of its weight.
const REPORT_LIFETIME: Duration = Duration::from_millis(150);
/// First time that a server which refuses connections is left alone; doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time that a server which refuses connections is left alone.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Consecutive lost requests after which a server is left alone for a while.
const LOST_BEFORE_BACKOFF: u32 = 2;
/// Objects that a server is assumed to keep warm for this host.
const WARM_OBJECTS: usize = 24;

/// What a server announces in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Id of this life of the server.
    pub id: String,
    /// Service that it offers.
    pub service: String,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub draining: bool,
    /// How long it stays cold after the announcement.
    pub cold_for: Duration,
    /// Count of its announcements.
    pub sequence: u64,
    /// Start of this life in milliseconds since the Unix epoch, when announced.
    pub born: Option<u64>,
}

/// How a try at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer that the server signed.
    Answered {
        /// HTTP status.
        status: u16,
        /// Time from sending to the end of the answer.
        took: Duration,
    },
    /// The server said that it did not run the request.
    Shed,
    /// Another server has the address.
    WrongServer,
    /// No byte of the request was sent.
    NotSent,
    /// The connection ended after the request may have been sent.
    Lost,
    /// The answer was incomplete or belongs to another request.
    BadAnswer,
    /// No answer within the time of the try.
    TimedOut,
    /// The caller left.
    Abandoned,
}

/// Load that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Its slots.
    pub slots: u32,
}

/// A server with what this host has seen of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its announcement.
    pub entry: Arc<ServerEntry>,
    /// Hash of its id, for rendezvous hashing and digests.
    pub hash: u64,
    /// Region of its failure domain.
    pub region: String,
    /// Short hash of its id, as digests name it.
    pub name: NameHash,
    /// Whether it is announced; one that is not only finishes what it runs.
    pub is_announced: bool,
    /// Requests of this host that it runs or queues.
    pub in_flight: u32,
    /// Requests of other hosts, as they said last.
    pub in_flight_elsewhere: u32,
    /// Until when it counts as cold.
    pub cold_until: Instant,
    /// Mean latency of its answers in seconds, with the time of the last one.
    latency: Option<(Instant, f64)>,
    failure_rate: f64,
    failure_at: Instant,
    lost_in_a_row: u32,
    backoff_until: Instant,
    backoff: Duration,
    report: Option<(Instant, LoadReport)>,
    recent: VecDeque<u64>,
}

impl Server {
    /// A server that has just been announced.
    pub fn new(entry: Arc<ServerEntry>, region: String, cold_until: Instant) -> Self {
        Server {
            hash: super::stable_hash(0, entry.id.as_bytes()),
            name: name_hash(&entry.id),
            is_announced: true,
            entry,
            region,
            in_flight: 0,
            in_flight_elsewhere: 0,
            cold_until,
            latency: None,
            failure_rate: 0.0,
            failure_at: Instant::ZERO,
            lost_in_a_row: 0,
            backoff_until: Instant::ZERO,
            backoff: FIRST_BACKOFF,
            report: None,
            recent: VecDeque::new(),
        }
    }

    /// Whether it is left alone after failures.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        now < self.backoff_until
    }

    /// Requests that it runs or queues, by the best estimate of this host.
    pub fn load(&self, now: Instant) -> f64 {
        let seen = f64::from(self.in_flight + self.in_flight_elsewhere);
        let Some((at, report)) = self.report else { return seen };
        let age = now.saturating_since(at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        let reported = f64::from(report.running + report.waiting) * (-age).exp();
        seen.max(reported)
    }

    /// Age of the load that it reported last.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.map(|(at, _)| now.saturating_since(at))
    }

    /// Its latency as a multiple of `base`, that of its service in seconds. What was seen fades, so that a
    /// server which was slow is tried again.
    pub fn slowness(&self, now: Instant, base: f64) -> f64 {
        let Some((at, mean)) = self.latency else { return 1.0 };
        let age = now.saturating_since(at).as_secs_f64();
        let weight = 0.5f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64());
        1.0 + (mean / base.max(0.001) - 1.0) * weight
    }

    /// Share of requests that fail, fading with time.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_since(self.failure_at).as_secs_f64();
        self.failure_rate * 0.5f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Whether this host has sent requests for the object here lately.
    pub fn knows(&self, object: u64) -> bool {
        self.recent.contains(&object)
    }

    /// Forgets an object that the server turned out not to have.
    pub fn forget(&mut self, object: u64) {
        self.recent.retain(|o| *o != object);
    }

    /// Notes that a request is sent.
    pub fn start(&mut self, object: Option<u64>) {
        self.in_flight += 1;
        let Some(object) = object else { return };
        self.recent.retain(|o| *o != object);
        self.recent.push_back(object);
        if self.recent.len() > WARM_OBJECTS {
            self.recent.pop_front();
        }
    }

    /// Notes how a request ended.
    pub fn finish(&mut self, now: Instant, outcome: Outcome, report: Option<LoadReport>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(report) = report {
            self.report = Some((now, report));
        }
        let failed = match outcome {
            Outcome::Answered { status, took } => {
                self.note_latency(now, took);
                self.lost_in_a_row = 0;
                self.backoff = FIRST_BACKOFF;
                status >= 500
            }
            Outcome::Shed => {
                self.lost_in_a_row = 0;
                true
            }
            Outcome::Abandoned => return,
            Outcome::WrongServer | Outcome::NotSent => {
                self.back_off(now);
                true
            }
            Outcome::TimedOut | Outcome::Lost => {
                self.lost_in_a_row += 1;
                if self.lost_in_a_row >= LOST_BEFORE_BACKOFF {
                    self.back_off(now);
                }
                true
            }
            Outcome::BadAnswer => true,
        };
        let old = self.failure_rate(now);
        let new = if failed { 1.0 } else { 0.0 };
        self.failure_rate = old + FAILURE_WEIGHT * (new - old);
        self.failure_at = now;
    }

    fn back_off(&mut self, now: Instant) {
        if now < self.backoff_until {
            return;
        }
        self.backoff_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn note_latency(&mut self, now: Instant, took: Duration) {
        let took = took.as_secs_f64();
        let mean = self.latency.map_or(took, |(_, mean)| mean + LATENCY_WEIGHT * (took - mean));
        self.latency = Some((now, mean));
    }
}

/// Announced servers by id.
pub type ServerEntries = HashMap<String, Arc<ServerEntry>>;
