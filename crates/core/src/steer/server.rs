//! Backend servers: their announcements and the measurements of this host.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::{
    digest::{NameHash, name_hash},
    leaving::{IncarnationHash, incarnation_hash},
    limits::StatedLimit,
    pacing::RateBound,
};
use crate::time::Instant;

new_key_type! {
    /// Key of a backend server on one host, valid while the server is announced or runs a request of
    /// this host.
    pub struct ServerKey;
}

/// Weight of the newest sample in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Half-life of the deviation of the mean latency from the base latency while no new sample arrives.
const LATENCY_HALF_LIFE: Duration = Duration::from_millis(1500);
/// Weight of the newest outcome in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.25;
/// Half-life of the failure rate while no new outcome arrives.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time constant of the exponential decay of a reported load.
const LOAD_REPORT_DECAY: Duration = Duration::from_millis(150);
/// First backoff of a server after failures; doubles with each further backoff.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff of a server.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Number of consecutive lost or timed-out requests after which a server is backed off.
const LOSSES_BEFORE_BACKOFF: u32 = 2;
/// Longest pause that a server may ask for, so that a faulty value does not take it out for hours.
const MAX_PAUSE: Duration = Duration::from_secs(300);
/// Number of objects of this host's requests that a server is assumed to have cached.
const MAX_CACHED_OBJECTS: usize = 24;

/// Announcement of a server in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Id of the server; a restarted server may keep it.
    pub id: String,
    /// Service that the server provides.
    pub service: String,
    /// HTTP address of the server.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub zone: String,
    /// Software version of the server.
    pub version: String,
    /// Number of requests that the server can run concurrently.
    pub slots: u32,
    /// Whether the server is shutting down and takes no new requests.
    pub draining: bool,
    /// Time for which the server stays cold after the announcement.
    pub cold_duration: Duration,
    /// Sequence number of the announcement, counted from the start of the incarnation.
    pub sequence: u64,
    /// Start of this incarnation in milliseconds since the Unix epoch, if the server announces it.
    pub started_unix_ms: Option<u64>,
}

impl ServerEntry {
    /// Whether `newer` announces another incarnation of the server than this entry.
    pub fn is_succeeded_by(&self, newer: &ServerEntry) -> bool {
        self.started_unix_ms != newer.started_unix_ms
            || (newer.started_unix_ms.is_none() && newer.sequence < self.sequence)
    }
}

/// Outcome of an attempt to run a request on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server gave a complete answer, signed if it reports success.
    Answered {
        /// HTTP status.
        status: u16,
        /// Time from sending the request to the end of the answer.
        took: Duration,
    },
    /// The server reported that it did not run the request.
    Shed,
    /// Another server answered at the address.
    WrongServer,
    /// No byte of the request was sent.
    NotSent,
    /// The connection was lost when the request may already have been sent.
    Lost,
    /// The answer was invalid, incomplete or belongs to another request.
    BadAnswer,
    /// No answer arrived within the timeout of the attempt or before the request moved to another
    /// server.
    TimedOut,
    /// The caller disconnected before the answer.
    Abandoned,
}

/// Load as reported by a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
}

/// What a server reports about itself with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerReport {
    /// Its load.
    pub load: Option<LoadReport>,
    /// Whether it is about to stop and takes no new requests.
    pub is_leaving: bool,
    /// Time for which it asks this host to send it no requests.
    pub pause: Option<Duration>,
    /// Rate of requests that it takes from all hosts together.
    pub limit: StatedLimit,
}

/// A server with the measurements of this host.
#[derive(Clone, Debug)]
pub struct Server {
    /// The server's announcement.
    pub entry: Arc<ServerEntry>,
    /// Hash of the server's id, for rendezvous hashing and digests.
    pub hash: u64,
    /// Region of the server's failure domain.
    pub region: String,
    /// Short hash of the server's id, by which digests refer to it.
    pub short_hash: NameHash,
    /// Whether the server is announced. A server that is not announced only finishes its running
    /// requests.
    pub is_announced: bool,
    /// Number of requests of this host that the server runs or queues.
    pub in_flight: u32,
    /// Number of requests of other hosts at the server, according to their latest digests.
    pub remote_in_flight: u32,
    /// Time until which the server is treated as cold.
    pub cold_until: Instant,
    /// Hash of the announced incarnation.
    pub incarnation: IncarnationHash,
    /// Whether this incarnation has announced in a response that it is about to stop.
    pub is_leaving: bool,
    /// Bound that follows from the limit that this incarnation has stated.
    pub limit_bound: Option<RateBound>,
    /// Whether this host is one of those that send requests to the server while it has a limit.
    pub is_limit_sender: bool,
    /// Time until which the server asked this host to send it no requests.
    paused_until: Instant,
    /// Time of the last answer and mean latency in seconds.
    mean_latency: Option<(Instant, f64)>,
    failure_rate: f64,
    failure_rate_at: Instant,
    consecutive_losses: u32,
    backoff_until: Instant,
    backoff: Duration,
    load_report: Option<(Instant, LoadReport)>,
    cached_objects: VecDeque<u64>,
}

impl Server {
    /// Creates the state of a server that has just been announced.
    pub fn new(entry: Arc<ServerEntry>, region: String, cold_until: Instant) -> Self {
        Server {
            hash: super::stable_hash(0, entry.id.as_bytes()),
            short_hash: name_hash(&entry.id),
            incarnation: incarnation_hash(&entry),
            is_announced: true,
            entry,
            region,
            in_flight: 0,
            remote_in_flight: 0,
            cold_until,
            is_leaving: false,
            limit_bound: None,
            is_limit_sender: false,
            paused_until: Instant::ZERO,
            mean_latency: None,
            failure_rate: 0.0,
            failure_rate_at: Instant::ZERO,
            consecutive_losses: 0,
            backoff_until: Instant::ZERO,
            backoff: INITIAL_BACKOFF,
            load_report: None,
            cached_objects: VecDeque::new(),
        }
    }

    /// Applies a new entry of the server; returns whether it announces another incarnation, of which
    /// nothing is known yet.
    pub fn renew(&mut self, entry: Arc<ServerEntry>, region: &str, cold_until: Instant) -> bool {
        if self.entry.is_succeeded_by(&entry) {
            *self = Server::new(entry, region.to_owned(), cold_until);
            return true;
        }
        if self.entry.sequence != entry.sequence {
            self.cold_until = cold_until;
        }
        self.entry = entry;
        false
    }

    /// Whether the server gets no requests because of recent failures.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        now < self.backoff_until
    }

    /// End of the pause that the server asked for, if it has not passed.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        (now < self.paused_until).then_some(self.paused_until)
    }

    /// Estimated number of requests that the server runs or queues.
    pub fn load(&self, now: Instant) -> f64 {
        let counted = f64::from(self.in_flight + self.remote_in_flight);
        let Some((at, report)) = self.load_report else { return counted };
        let age = now.saturating_since(at).as_secs_f64() / LOAD_REPORT_DECAY.as_secs_f64();
        let reported = (f64::from(report.running) + f64::from(report.waiting)) * (-age).exp();
        counted.max(reported)
    }

    /// Age of the last load report.
    pub fn load_report_age(&self, now: Instant) -> Option<Duration> {
        self.load_report.map(|(at, _)| now.saturating_since(at))
    }

    /// Latency of the server as a multiple of the base latency of its service. The ratio decays towards
    /// 1, so that a server which was slow gets requests again.
    pub fn latency_ratio(&self, now: Instant, base_latency_s: f64) -> f64 {
        let Some((at, mean)) = self.mean_latency else { return 1.0 };
        let age = now.saturating_since(at).as_secs_f64();
        let weight = 0.5f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64());
        1.0 + (mean / base_latency_s.max(0.001) - 1.0) * weight
    }

    /// Fraction of requests that fail, decaying with time.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_since(self.failure_rate_at).as_secs_f64();
        self.failure_rate * 0.5f64.powf(age / FAILURE_RATE_HALF_LIFE.as_secs_f64())
    }

    /// Whether the server is assumed to have the object cached, because this host recently sent it a
    /// request for the object.
    pub fn has_cached(&self, object: u64) -> bool {
        self.cached_objects.contains(&object)
    }

    /// Removes an object that turned out not to be in the server's cache.
    pub fn remove_cached(&mut self, object: u64) {
        self.cached_objects.retain(|o| *o != object);
    }

    /// Records that a request is sent.
    pub fn start_request(&mut self, object: Option<u64>) {
        self.in_flight += 1;
        let Some(object) = object else { return };
        self.cached_objects.retain(|o| *o != object);
        self.cached_objects.push_back(object);
        if self.cached_objects.len() > MAX_CACHED_OBJECTS {
            self.cached_objects.pop_front();
        }
    }

    /// Records the outcome of a request.
    pub fn finish_request(
        &mut self,
        now: Instant,
        outcome: AttemptOutcome,
        report: Option<ServerReport>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(report) = report {
            self.apply_report(now, report);
        }
        let failed = match outcome {
            AttemptOutcome::Answered { status, took } => {
                self.record_latency(now, took);
                self.consecutive_losses = 0;
                self.backoff = INITIAL_BACKOFF;
                status >= 500
            }
            AttemptOutcome::Shed => {
                self.consecutive_losses = 0;
                true
            }
            AttemptOutcome::Abandoned => return,
            AttemptOutcome::WrongServer | AttemptOutcome::NotSent => {
                self.back_off(now);
                true
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Lost => {
                self.consecutive_losses += 1;
                if self.consecutive_losses >= LOSSES_BEFORE_BACKOFF {
                    self.back_off(now);
                }
                true
            }
            AttemptOutcome::BadAnswer => true,
        };
        let old_rate = self.failure_rate(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = old_rate + FAILURE_RATE_WEIGHT * (sample - old_rate);
        self.failure_rate_at = now;
    }

    fn apply_report(&mut self, now: Instant, report: ServerReport) {
        if let Some(load) = report.load {
            self.load_report = Some((now, load));
        }
        self.is_leaving |= report.is_leaving;
        if let Some(pause) = report.pause {
            self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
        }
    }

    fn back_off(&mut self, now: Instant) {
        if now < self.backoff_until {
            return;
        }
        self.backoff_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn record_latency(&mut self, now: Instant, took: Duration) {
        let sample = took.as_secs_f64();
        let mean =
            self.mean_latency.map_or(sample, |(_, mean)| mean + LATENCY_WEIGHT * (sample - mean));
        self.mean_latency = Some((now, mean));
    }
}

/// Announced servers by id.
pub type ServerEntries = HashMap<String, Arc<ServerEntry>>;
