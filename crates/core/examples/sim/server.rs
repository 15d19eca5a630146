//! A backend server under virtual time.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use jasminestage_core::{declaration::Declaration, time::Instant, traffic::Outcome};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Faults of a server from an instant on.
#[derive(Clone, Debug)]
pub struct Fault {
    /// From when.
    pub from: Instant,
    /// Share of requests that fail.
    pub failing: f64,
    /// Factor on the time of a request.
    pub slower: f64,
    /// Only while at least this share of the slots is taken.
    pub from_load: f64,
}

impl Default for Fault {
    fn default() -> Self {
        Fault { from: Instant::ZERO, failing: 0.0, slower: 1.0, from_load: 0.0 }
    }
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct ServerSim {
    pub name: String,
    pub version: String,
    pub route: String,
    /// When its fault first showed.
    pub faulted: Option<Instant>,
    pub region: usize,
    pub slots: u16,
    pub running: u16,
    pub most_running: u16,
    pub service: Duration,
    pub fault: Option<Fault>,
    /// Requests after the start that take three times as long.
    pub cold: u32,
    /// Load that it reports instead of the true one.
    pub reported_load: Option<f64>,
    pub last_work: Instant,
    busy: f64,
    looked: Instant,
}

impl ServerSim {
    /// Starts a request: how it ends and after what time; none when all slots are taken.
    pub fn begin(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> Option<(Outcome, Duration)> {
        if self.running >= self.slots {
            return None;
        }
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
        let spread = 0.5 - 0.5 * (1.0 - rng.random::<f64>()).ln();
        let mut factor = spread.min(4.0);
        if self.cold > 0 {
            self.cold -= 1;
            factor *= 3.0;
        }
        let load = f64::from(self.running) / f64::from(self.slots);
        let fault = self.fault.as_ref().filter(|f| now >= f.from && load >= f.from_load);
        if fault.is_some() && self.faulted.is_none() {
            self.faulted = Some(now);
        }
        let fails = fault.is_some_and(|f| rng.random::<f64>() < f.failing);
        factor *= fault.map_or(1.0, |f| f.slower);
        let took = self.service.mul_f64(factor);
        self.busy += took.as_secs_f64();
        Some((Outcome::Answered(if fails { 500 } else { 200 }), took))
    }

    /// Load that the server reports.
    pub fn reported(&self) -> f64 {
        self.reported_load.unwrap_or(f64::from(self.running) / f64::from(self.slots))
    }

    /// Mean number of busy slots since the last call.
    pub fn busy_since_last(&mut self, now: Instant) -> f64 {
        let span = now.saturating_since(self.looked).as_secs_f64();
        self.looked = now;
        let busy = std::mem::take(&mut self.busy);
        if span > 0.0 { (busy / span).min(f64::from(self.slots)) } else { 0.0 }
    }
}

/// Every server of a declaration.
pub fn all(declaration: &Declaration, service: Duration) -> HashMap<SocketAddr, ServerSim> {
    let region = |name: &str| name[1..2].parse().expect("regions are named r0, r1, ...");
    let servers = declaration.servers.values().map(|s| {
        let server = ServerSim {
            name: s.name.clone(),
            version: s.version.clone(),
            route: declaration.routes[s.route].name.clone(),
            faulted: None,
            region: region(&declaration.domains[s.domain].name),
            slots: s.slots,
            running: 0,
            most_running: 0,
            service,
            fault: None,
            cold: 0,
            reported_load: None,
            last_work: Instant::ZERO,
            busy: 0.0,
            looked: Instant::ZERO,
        };
        (s.address, server)
    });
    servers.collect()
}
