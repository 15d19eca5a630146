//! Model of a backend server in virtual time.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use jasminestage_core::{declaration::Declaration, time::Instant, traffic::Outcome};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Fault of a server that starts at an instant and lasts.
#[derive(Clone, Debug)]
pub struct Fault {
    pub starts_at: Instant,
    /// Share of requests that fail.
    pub failing_share: f64,
    /// Factor by which requests take longer.
    pub slowdown: f64,
    /// Share of busy slots from which the fault takes effect.
    pub min_load: f64,
}

impl Default for Fault {
    fn default() -> Self {
        Fault { starts_at: Instant::ZERO, failing_share: 0.0, slowdown: 1.0, min_load: 0.0 }
    }
}

/// State of a simulated backend server.
#[derive(Clone, Debug)]
pub struct SimServer {
    pub name: String,
    pub version: String,
    pub route: String,
    /// When its fault first took effect on a request.
    pub faulted_at: Option<Instant>,
    pub region: usize,
    pub slots: u16,
    pub running: u16,
    pub max_running: u16,
    /// Base service time, which a random factor multiplies for each request.
    pub service_time: Duration,
    pub fault: Option<Fault>,
    /// Number of next requests that take three times as long, as after a cold start.
    pub cold_requests: u32,
    /// Load that it reports instead of the actual one.
    pub load_override: Option<f64>,
    /// When it last received a request.
    pub last_request_at: Instant,
    /// Service time in seconds of the requests started since `measured_at`.
    busy_seconds: f64,
    measured_at: Instant,
}

impl SimServer {
    /// Starts a request and returns its outcome and duration, or none if all slots are busy.
    pub fn start_request(
        &mut self,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Outcome, Duration)> {
        if self.running >= self.slots {
            return None;
        }
        self.running += 1;
        self.max_running = self.max_running.max(self.running);
        // Exponentially distributed above a minimum of half the base service time.
        let random_factor = 0.5 - 0.5 * (1.0 - rng.random::<f64>()).ln();
        let mut factor = random_factor.min(4.0);
        if self.cold_requests > 0 {
            self.cold_requests -= 1;
            factor *= 3.0;
        }
        let load = f64::from(self.running) / f64::from(self.slots);
        let fault = self.fault.as_ref().filter(|f| now >= f.starts_at && load >= f.min_load);
        if fault.is_some() && self.faulted_at.is_none() {
            self.faulted_at = Some(now);
        }
        let fails = fault.is_some_and(|f| rng.random::<f64>() < f.failing_share);
        factor *= fault.map_or(1.0, |f| f.slowdown);
        let duration = self.service_time.mul_f64(factor);
        self.busy_seconds += duration.as_secs_f64();
        Some((Outcome::Answered(if fails { 500 } else { 200 }), duration))
    }

    /// Load that the server reports, as a share of its slots.
    pub fn reported_load(&self) -> f64 {
        self.load_override.unwrap_or(f64::from(self.running) / f64::from(self.slots))
    }

    /// Mean number of busy slots since the last call.
    pub fn take_mean_busy_slots(&mut self, now: Instant) -> f64 {
        let elapsed = now.saturating_since(self.measured_at).as_secs_f64();
        self.measured_at = now;
        let busy_seconds = std::mem::take(&mut self.busy_seconds);
        if elapsed > 0.0 { (busy_seconds / elapsed).min(f64::from(self.slots)) } else { 0.0 }
    }
}

/// Models of all servers of a declaration.
pub fn declared_servers(
    declaration: &Declaration,
    service_time: Duration,
) -> HashMap<SocketAddr, SimServer> {
    let region_index = |name: &str| name[1..2].parse().expect("regions are named r0, r1, ...");
    let servers = declaration.servers.values().map(|s| {
        let server = SimServer {
            name: s.name.clone(),
            version: s.version.clone(),
            route: declaration.routes[s.route].name.clone(),
            faulted_at: None,
            region: region_index(&declaration.domains[s.domain].name),
            slots: s.slots,
            running: 0,
            max_running: 0,
            service_time,
            fault: None,
            cold_requests: 0,
            load_override: None,
            last_request_at: Instant::ZERO,
            busy_seconds: 0.0,
            measured_at: Instant::ZERO,
        };
        (s.address, server)
    });
    servers.collect()
}
