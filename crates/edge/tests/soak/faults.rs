//! Injection of overlapping faults from outside the host processes.

use std::{sync::Arc, time::Duration};

use jasminestage_platform_standin::{
    backend, fleet,
    proxy::ConnectionFault,
    raw::{RawResponse, RawServer},
    store,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::Instant;

use crate::{Environment, callers::RequestLog, drills::Drills};

/// Upper bound of the pause between two faults.
const MAX_PAUSE_MS: u64 = 500;
/// Time within which a host must exit after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(8);

/// Key of the entry of the server that [`FaultInjector`] adds.
const RAW_SERVER_KEY: &str = "servers/raw";
/// Probability that a report, a raw response or an odd entry of a server follows a fault.
const SERVER_TROUBLE_PROBABILITY: f64 = 0.3;
/// Probability that a change of the limit of a server follows a fault.
const LIMIT_PROBABILITY: f64 = 0.2;

/// Chooses random faults and applies them.
pub struct FaultInjector {
    rng: StdRng,
    /// Draws the troubles of servers, so that the sequence of the other faults stays the same.
    trouble_rng: StdRng,
    /// Draws the limits of servers, for the same reason.
    limit_rng: StdRng,
    drills: Drills,
    history: Vec<String>,
    /// Version of the last configuration that was written.
    version: u64,
    /// Paused hosts, with the time at which each is resumed.
    paused: Vec<(usize, Instant)>,
    /// Server that has announced its stop or asks for pauses.
    reporting_server: Option<usize>,
    /// Server that has a limit.
    limited_server: Option<usize>,
    /// Server whose responses do not end, end early or come twice.
    raw_server: Option<RawServer>,
}

impl FaultInjector {
    /// Creates an injector whose faults are determined by a seed.
    pub fn new(seed: u64) -> Self {
        FaultInjector {
            rng: StdRng::seed_from_u64(seed),
            trouble_rng: StdRng::seed_from_u64(!seed),
            limit_rng: StdRng::seed_from_u64(seed.rotate_left(32)),
            drills: Drills::new(seed),
            history: Vec::new(),
            version: 1,
            paused: Vec::new(),
            reporting_server: None,
            limited_server: None,
            raw_server: None,
        }
    }

    /// Returns descriptions of the injected faults in order.
    pub fn history(&self) -> &[String] {
        &self.history
    }

    /// Injects faults for `span`.
    pub async fn inject(
        &mut self,
        environment: &mut Environment,
        request_log: &Arc<RequestLog>,
        span: Duration,
    ) {
        let start = Instant::now();
        while start.elapsed() < span {
            let pause = self.rng.random_range(20..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.resume_paused(environment, false);
            let description = self.inject_one(environment, request_log).await;
            self.history.push(format!("{:?} {description}", start.elapsed()));
            if self.trouble_rng.random_bool(SERVER_TROUBLE_PROBABILITY) {
                let description = self.inject_server_trouble(environment).await;
                self.history.push(format!("{:?} {description}", start.elapsed()));
            }
            if self.limit_rng.random_bool(LIMIT_PROBABILITY) {
                let description = self.change_limit(environment);
                self.history.push(format!("{:?} {description}", start.elapsed()));
            }
            if let Some(description) = self.drills.step(environment).await {
                self.history.push(format!("{:?} {description}", start.elapsed()));
            }
        }
    }

    async fn inject_one(
        &mut self,
        environment: &mut Environment,
        request_log: &Arc<RequestLog>,
    ) -> String {
        let host = self.rng.random_range(0..environment.hosts.len());
        let server = self.rng.random_range(0..environment.servers.len());
        match self.rng.random_range(0..10) {
            0 => {
                request_log.record_disruption(host, Instant::now() + Duration::from_secs(1));
                environment.hosts[host].restart();
                format!("host {host} killed")
            }
            1 => {
                let span = Duration::from_millis(self.rng.random_range(100..2500));
                request_log.record_disruption(host, Instant::now() + span + Duration::from_secs(1));
                environment.hosts[host].send_signal(Signal::STOP);
                self.paused.push((host, Instant::now() + span));
                format!("host {host} paused for {span:?}")
            }
            2 if !self.paused.iter().any(|(h, _)| *h == host) => {
                environment.hosts[host].send_signal(Signal::TERM);
                let code = environment.hosts[host].wait_for_exit(STOP_LIMIT).await;
                assert_eq!(code, Some(0), "host {host} did not stop: {:#?}", self.history);
                environment.hosts[host].restart();
                format!("host {host} stopped and started")
            }
            3 | 4 => {
                let faults = [
                    ConnectionFault::None,
                    ConnectionFault::Delay(Duration::from_millis(300)),
                    ConnectionFault::Reset,
                    ConnectionFault::DropToServer,
                    ConnectionFault::DropToClient,
                    ConnectionFault::DropAll,
                ];
                let fault = faults[self.rng.random_range(0..faults.len())];
                environment.store_proxies[host].set_fault(fault);
                format!("connection of host {host} to the store: {fault:?}")
            }
            5 => {
                let faults = [
                    store::Fault::None,
                    store::Fault::Unavailable,
                    store::Fault::RateLimited,
                    store::Fault::ClosesConnections,
                    store::Fault::NeverResponds,
                    store::Fault::DropsResponses,
                    store::Fault::Slow(Duration::from_millis(400)),
                ];
                let fault = faults[self.rng.random_range(0..faults.len())];
                environment.store.set_fault(fault);
                format!("store: {fault:?}")
            }
            6 => {
                environment.store.compact();
                "the store compacted its history".to_owned()
            }
            7 => {
                self.version += self.rng.random_range(1..5u64);
                fleet::write_config(&environment.store, self.version);
                format!("configuration {}", self.version)
            }
            _ => {
                let faults = [
                    backend::Fault::None,
                    backend::Fault::InternalError,
                    backend::Fault::ShedsRequests,
                    backend::Fault::DropsResponses,
                    backend::Fault::Unsigned,
                    backend::Fault::WrongRequestId,
                    backend::Fault::Slow(Duration::from_millis(500)),
                ];
                let fault = faults[self.rng.random_range(0..faults.len())];
                environment.servers[server].set_fault(fault);
                format!("server {server}: {fault:?}")
            }
        }
    }

    /// Ends the limit of the limited server, or gives one to a server.
    fn change_limit(&mut self, environment: &Environment) -> String {
        if let Some(server) = self.limited_server.take() {
            environment.servers[server].set_fault(backend::Fault::None);
            return format!("the limit of server {server} ends");
        }
        let server = self.limit_rng.random_range(0..environment.servers.len());
        let rate = self.limit_rng.random_range(0..30);
        if self.reporting_server == Some(server) {
            return format!("server {server} gets no limit, since it leaves or pauses");
        }
        self.limited_server = Some(server);
        environment.servers[server].set_fault(backend::Fault::Limited(rate));
        format!("server {server} takes {rate} requests per second")
    }

    async fn inject_server_trouble(&mut self, environment: &Environment) -> String {
        // At most one server leaves or pauses at a time, as if others replaced it.
        if let Some(server) = self.reporting_server.take() {
            environment.servers[server].restart(&environment.store);
        }
        let server = self.trouble_rng.random_range(0..environment.servers.len());
        match self.trouble_rng.random_range(0..4) {
            0 => {
                self.reporting_server = Some(server);
                environment.servers[server].set_fault(backend::Fault::Leaving);
                format!("server {server} leaves")
            }
            1 => {
                self.reporting_server = Some(server);
                let pause = Duration::from_millis(self.trouble_rng.random_range(100..1500));
                environment.servers[server].set_fault(backend::Fault::Pauses(pause));
                format!("server {server} pauses for {pause:?}")
            }
            2 => {
                let odd = [b"[".repeat(50_000), b"{\"born\":1e400}".to_vec(), vec![0xff, 0x00]];
                let value = odd[self.trouble_rng.random_range(0..odd.len())].clone();
                environment.store.put_bytes("servers/odd", value);
                "an odd entry among the servers".to_owned()
            }
            _ => {
                let kinds = [
                    RawResponse::EndlessHead,
                    RawResponse::EndlessChunks,
                    RawResponse::BytesAfterResponse,
                    RawResponse::LateCopy,
                    RawResponse::ShortBody,
                ];
                let kind = kinds[self.trouble_rng.random_range(0..kinds.len())];
                environment.store.remove(RAW_SERVER_KEY);
                let started = RawServer::start(&environment.store, "raw", "lookup", kind);
                self.raw_server = Some(started.await);
                format!("a server with responses of the kind {kind:?}")
            }
        }
    }

    fn resume_paused(&mut self, environment: &Environment, all: bool) {
        let now = Instant::now();
        self.paused.retain(|(host, until)| {
            let stays_paused = !all && now < *until;
            if !stays_paused {
                environment.hosts[*host].send_signal(Signal::CONT);
            }
            stays_paused
        });
    }

    /// Ends all faults and resumes all paused hosts.
    pub async fn end(&mut self, environment: &mut Environment) {
        self.resume_paused(environment, true);
        environment.store.set_fault(store::Fault::None);
        for proxy in &environment.store_proxies {
            proxy.set_fault(ConnectionFault::None);
        }
        self.drills.end(environment);
        environment.store.remove(RAW_SERVER_KEY);
        self.raw_server = None;
        for server in &environment.servers {
            server.restart(&environment.store);
        }
    }
}
