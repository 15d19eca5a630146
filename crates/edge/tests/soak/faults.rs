//! Injection of overlapping faults from outside the host processes.

use std::{sync::Arc, time::Duration};

use jasminestage_platform_standin::{backend, fleet, proxy::ConnectionFault, store};
use rand::{RngExt, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::Instant;

use crate::{Environment, callers::RequestLog};

/// Upper bound of the pause between two faults.
const MAX_PAUSE_MS: u64 = 500;
/// Time within which a host must exit after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(8);

/// Chooses random faults and applies them.
pub struct FaultInjector {
    rng: StdRng,
    history: Vec<String>,
    /// Version of the last configuration that was written.
    version: u64,
    /// Paused hosts, with the time at which each is resumed.
    paused: Vec<(usize, Instant)>,
}

impl FaultInjector {
    /// Creates an injector whose faults are determined by a random number generator.
    pub fn new(rng: StdRng) -> Self {
        FaultInjector { rng, history: Vec::new(), version: 1, paused: Vec::new() }
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
        for server in &environment.servers {
            server.set_fault(backend::Fault::None);
        }
    }
}
